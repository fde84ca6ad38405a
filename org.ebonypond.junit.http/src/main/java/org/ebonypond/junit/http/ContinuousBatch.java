package org.ebonypond.junit.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Simulates continuous batching: waiting requests join the running batch when a slot is free, by
 * descending priority and then in order of arrival. Not thread-safe.
 */
public final class ContinuousBatch {
  private final int maxBatch;
  private final long stepMillis;
  private final long prefillMillisPerBlock;
  private final List<Run> running = new ArrayList<>();
  private final PriorityQueue<Run> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt((Run r) -> -r.request.priority()).thenComparing(r -> r.order));
  private long nextOrder;

  /**
   * Creates an empty batch.
   *
   * @param maxBatch the maximum number of requests in the batch
   * @param stepMillis the time between two tokens of a request, in milliseconds; values below 1
   *     count as 1
   * @param prefillMillisPerBlock the prefill time of an uncached prompt block, in milliseconds
   */
  public ContinuousBatch(int maxBatch, long stepMillis, long prefillMillisPerBlock) {
    this.maxBatch = maxBatch;
    this.stepMillis = Math.max(1, stepMillis);
    this.prefillMillisPerBlock = prefillMillisPerBlock;
  }

  /** Adds a request to the queue for a slot in the batch. */
  public void add(EngineRequest request) {
    waiting.add(new Run(request, nextOrder++));
  }

  /**
   * Produces the tokens that are due, then moves waiting requests into free slots.
   *
   * @param now monotonic milliseconds
   * @param slowFactor the factor by which the engine is slowed down
   * @param cache the prefix cache that shortens prefill
   * @return the requests whose answers are complete
   */
  public List<EngineRequest> advance(long now, double slowFactor, PrefixCache cache) {
    List<EngineRequest> completed = new ArrayList<>();
    for (Run r : List.copyOf(running)) {
      if (r.produce(now, (long) (stepMillis * slowFactor))) {
        running.remove(r);
        completed.add(r.request);
        r.request.sink().end();
      }
    }
    while (running.size() < maxBatch && !waiting.isEmpty()) {
      Run r = waiting.remove();
      List<String> prefixes = EngineContent.prefixes(r.request.prompt());
      int uncached = prefixes.size() - cache.hit(prefixes);
      cache.store(prefixes, now);
      r.nextTokenAt = now + (long) ((stepMillis + uncached * prefillMillisPerBlock) * slowFactor);
      running.add(r);
    }
    return completed;
  }

  /** Removes matching requests without ending their answers, and returns them. */
  public List<EngineRequest> remove(Predicate<EngineRequest> which) {
    List<EngineRequest> removed = new ArrayList<>();
    Predicate<Run> take = r -> which.test(r.request) && removed.add(r.request);
    running.removeIf(take);
    waiting.removeIf(take);
    return removed;
  }

  /** Returns the number of requests in the batch. */
  public int running() {
    return running.size();
  }

  /** Returns the number of requests in the queue. */
  public int waiting() {
    return waiting.size();
  }

  /** Returns the number of tokens that remain to be produced. */
  public long remainingTokens() {
    long sum = 0;
    for (Run r : running) {
      sum += r.request.length() - r.next;
    }
    for (Run r : waiting) {
      sum += r.request.length() - r.next;
    }
    return sum;
  }

  private static final class Run {
    private final EngineRequest request;
    private final long order;
    private int next;
    private long nextTokenAt;

    Run(EngineRequest request, long order) {
      this.request = request;
      this.order = order;
      this.next = Math.min(request.offset(), request.length());
    }

    /** Produces the tokens that are due; returns whether the answer is complete. */
    boolean produce(long now, long step) {
      while (next < request.length() && nextTokenAt <= now) {
        boolean last = next + 1 == request.length();
        request.sink().token(next, EngineContent.token(request.prompt(), next), last);
        next++;
        nextTokenAt += Math.max(1, step);
      }
      return next >= request.length();
    }
  }
}
