package org.ebonypond.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;
import org.ebonypond.time.TimerService;

/**
 * Simulates a group that serves one model with continuous batching. Each pass prefills a bounded
 * part of the prompts in the batch and produces one event for every request whose prompt is
 * complete. The queue is ordered by urgency, then by submission.
 */
final class ExperimentGroup {
  /** The maximum number of prompt tokens that one pass prefills. */
  private static final int PREFILL_TOKENS_PER_PASS = 2_048;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final EngineProfile engine;
  private final ModelProfile model;
  private final TimerService timers;
  private final List<Job> queue = new ArrayList<>();
  private final List<Job> batch = new ArrayList<>();
  private boolean passScheduled;
  private boolean hung;
  private double slowdown = 1;

  /** The fraction of a millisecond by which the last pass was rounded down. */
  private double fractionalMillis;

  ExperimentGroup(EngineProfile engine, ModelProfile model, TimerService timers) {
    this.engine = engine;
    this.model = model;
    this.timers = timers;
  }

  /** Receives the progress of a request. */
  interface Listener {
    /** Called for each event. */
    void event();

    /** Called after the last event. */
    void ended();

    /** Called when the group restarts and aborts the request. */
    void aborted();
  }

  /** A request in the queue or the batch of the group. */
  static final class Job {
    private final int urgency;
    private final long order;
    private final Listener listener;
    private final int promptTokens;
    private int prefillLeft;
    private int eventsLeft;

    Job(int urgency, long order, int promptTokens, int events, Listener listener) {
      this.urgency = urgency;
      this.order = order;
      this.promptTokens = promptTokens;
      this.prefillLeft = promptTokens;
      this.eventsLeft = events;
      this.listener = listener;
    }
  }

  ModelProfile model() {
    return model;
  }

  /** Sets the factor by which passes take longer than published; 1 is the published time. */
  void slowDown(double factor) {
    slowdown = factor;
  }

  /** Simulates the loss of a member: requests make no progress until {@link #restart}. */
  void hang() {
    hung = true;
  }

  /** Aborts all requests and restarts with an empty queue. */
  void restart() {
    List<Job> dropped = new ArrayList<>(batch);
    dropped.addAll(queue);
    batch.clear();
    queue.clear();
    hung = false;
    dropped.forEach(j -> j.listener.aborted());
  }

  /** Drops all requests because their connections have closed. */
  void drop() {
    batch.clear();
    queue.clear();
  }

  boolean isHung() {
    return hung;
  }

  void submit(Job j) {
    queue.add(j);
    queue.sort(Comparator.comparingInt((Job q) -> q.urgency).thenComparingLong(q -> q.order));
    if (!passScheduled) {
      passScheduled = true;
      timers.after(0, this::startPass);
    }
  }

  void remove(Job j) {
    queue.remove(j);
    batch.remove(j);
  }

  private void startPass() {
    if (hung) {
      passScheduled = false;
      return;
    }
    while (batch.size() < engine.slots() && !queue.isEmpty()) {
      batch.add(queue.remove(0));
    }
    if (batch.isEmpty()) {
      passScheduled = false;
      return;
    }
    int budget = PREFILL_TOKENS_PER_PASS;
    int decoding = 0;
    double context = 0;
    List<Job> producing = new ArrayList<>();
    for (Job j : batch) {
      int prefilled = Math.min(budget, j.prefillLeft);
      j.prefillLeft -= prefilled;
      budget -= prefilled;
      if (j.prefillLeft == 0) {
        decoding++;
        context += j.promptTokens;
        producing.add(j);
      }
    }
    double prefillMillis =
        (PREFILL_TOKENS_PER_PASS - budget) * MILLIS_PER_SECOND / engine.prefillPerSecond();
    double decodeMillis =
        engine.stepMillis()
            + decoding * engine.perSequenceMillis()
            + engine.contextPerThousandMillis() * context / 1_000;
    double passMillis =
        slowdown * model.timeFactor() * (prefillMillis + engine.stride() * decodeMillis)
            + fractionalMillis;
    long wholeMillis = (long) passMillis;
    fractionalMillis = passMillis - wholeMillis;
    timers.after(Math.max(1, wholeMillis), () -> endPass(producing));
  }

  private void endPass(List<Job> producing) {
    if (hung) {
      passScheduled = false;
      return;
    }
    for (Job j : producing) {
      if (batch.contains(j)) {
        j.listener.event();
        j.eventsLeft--;
        if (j.eventsLeft <= 0) {
          batch.remove(j);
          j.listener.ended();
        }
      }
    }
    startPass();
  }
}
