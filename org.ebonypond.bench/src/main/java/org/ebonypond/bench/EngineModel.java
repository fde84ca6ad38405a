package org.ebonypond.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ebonypond.routing.CacheEvent;
import org.ebonypond.routing.LoadReport;
import org.ebonypond.routing.PromptBlocks;
import org.ebonypond.time.TimerService;

/**
 * A queueing model of an engine with continuous batching. Each step produces one token for every
 * request whose prompt is prefilled, and prefills a bounded part of the other prompts. Prompt
 * blocks are cached in bounded memory, with eviction of the least recently used.
 */
final class EngineModel {
  /** The number of tokens in a prompt block. */
  static final int BLOCK_TOKENS = 64;

  private static final int PREFILL_TOKENS_PER_STEP = 512;
  private static final double STEP_MILLIS = 15;
  private static final double DECODE_MILLIS_PER_REQUEST = 0.6;
  private static final double PREFILL_MILLIS_PER_TOKEN = 0.08;

  /** The answer length in tokens that load reports assume for every request. */
  private static final int ASSUMED_OUTPUT_TOKENS = 150;

  private final TimerService timers;
  private final int maxBatch;
  private final int cacheBlocks;
  private final Consumer<CacheEvent> events;
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final List<Job> batch = new ArrayList<>();
  private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private boolean stepping;
  private double slowdown = 1;
  private long seq;
  private long promptTokens;
  private long cachedTokens;

  EngineModel(TimerService timers, int maxBatch, int cacheBlocks, Consumer<CacheEvent> events) {
    this.timers = timers;
    this.maxBatch = maxBatch;
    this.cacheBlocks = cacheBlocks;
    this.events = events;
  }

  /** A request in the queue or the batch of the engine. */
  static final class Job {
    private final PromptBlocks prompt;
    private final int promptTokens;
    private final int outputTokens;
    private final Consumer<Integer> onTokens;
    private int prefillLeft;
    private int produced;

    /**
     * Creates a request.
     *
     * @param onTokens receives the number of tokens produced so far, after each step
     */
    Job(PromptBlocks prompt, int promptTokens, int outputTokens, Consumer<Integer> onTokens) {
      this.prompt = prompt;
      this.promptTokens = promptTokens;
      this.outputTokens = outputTokens;
      this.onTokens = onTokens;
    }
  }

  void submit(Job j) {
    j.prefillLeft = j.promptTokens;
    queue.add(j);
    if (!stepping) {
      stepping = true;
      timers.after(0, this::step);
    }
  }

  void slowDown(double factor) {
    slowdown = factor;
  }

  LoadReport report() {
    long tokens = 0;
    for (Job j : batch) {
      tokens += j.prefillLeft + Math.max(0, ASSUMED_OUTPUT_TOKENS - j.produced);
    }
    for (Job j : queue) {
      tokens += j.prefillLeft + ASSUMED_OUTPUT_TOKENS;
    }
    return new LoadReport("boot1", timers.nowMillis(), batch.size(), queue.size(), tokens);
  }

  long promptTokens() {
    return promptTokens;
  }

  long cachedTokens() {
    return cachedTokens;
  }

  private void step() {
    while (batch.size() < maxBatch && !queue.isEmpty()) {
      Job j = queue.remove();
      int cached = Math.min(cachedBlocks(j.prompt) * BLOCK_TOKENS, j.promptTokens - 1);
      j.prefillLeft = j.promptTokens - cached;
      promptTokens += j.promptTokens;
      cachedTokens += cached;
      batch.add(j);
    }
    if (batch.isEmpty()) {
      stepping = false;
      return;
    }
    int budget = PREFILL_TOKENS_PER_STEP;
    int decoding = 0;
    for (Job j : batch) {
      if (j.prefillLeft == 0) {
        decoding++;
        continue;
      }
      int prefilled = Math.min(budget, j.prefillLeft);
      j.prefillLeft -= prefilled;
      budget -= prefilled;
    }
    double millis =
        STEP_MILLIS
            + DECODE_MILLIS_PER_REQUEST * decoding
            + PREFILL_MILLIS_PER_TOKEN * (PREFILL_TOKENS_PER_STEP - budget);
    timers.after(Math.round(millis * slowdown), this::finishStep);
  }

  private void finishStep() {
    List<Job> advanced = new ArrayList<>();
    for (Iterator<Job> i = batch.iterator(); i.hasNext(); ) {
      Job j = i.next();
      if (j.prefillLeft > 0) {
        continue;
      }
      if (j.produced == 0) {
        store(j.prompt);
      }
      j.produced++;
      advanced.add(j);
      if (j.produced >= j.outputTokens) {
        i.remove();
      }
    }
    advanced.forEach(j -> j.onTokens.accept(j.produced));
    step();
  }

  private int cachedBlocks(PromptBlocks p) {
    int n = 0;
    while (n < p.size() && cache.get(p.hash(n)) != null) {
      n++;
    }
    return n;
  }

  private void store(PromptBlocks p) {
    boolean added = false;
    // Inserts from the end, so that the last block of a prefix is evicted before the blocks it
    // depends on.
    for (int i = p.size() - 1; i >= 0; i--) {
      added |= cache.put(p.hash(i), true) == null;
    }
    if (added) {
      events.accept(new CacheEvent(++seq, true, p));
    }
    Iterator<Long> leastRecent = cache.keySet().iterator();
    List<Long> evicted = new ArrayList<>();
    for (int n = cache.size() - cacheBlocks; n > 0; n--) {
      evicted.add(leastRecent.next());
    }
    for (long hash : evicted) {
      cache.remove(hash);
      events.accept(new CacheEvent(++seq, false, PromptBlocks.ofHashes(hash)));
    }
  }
}
