package org.ebonypond.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;
import org.ebonypond.time.TimerService;

/**
 * A group that serves one model. It works in passes: each reads a part of the waiting prompts and
 * makes one event for every request whose prompt is read. The queue is ordered by urgency.
 */
final class GroupModel {
  /** The prompt tokens that one pass reads at most. */
  private static final int CHUNK_TOKENS = 2_048;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final EngineProfile engine;
  private final ModelProfile model;
  private final TimerService timers;
  private final List<Job> queue = new ArrayList<>();
  private final List<Job> batch = new ArrayList<>();
  private boolean passing;
  private boolean standing;
  private double slowdown = 1;
  private double partOfMilli;

  GroupModel(EngineProfile engine, ModelProfile model, TimerService timers) {
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

    /** Called when the group is lost. */
    void brokenOff();
  }

  /** A request at the group. */
  static final class Job {
    private final int urgency;
    private final long order;
    private final Listener listener;
    private final int promptTokens;
    private int unread;
    private int eventsLeft;

    Job(int urgency, long order, int promptTokens, int events, Listener listener) {
      this.urgency = urgency;
      this.order = order;
      this.promptTokens = promptTokens;
      this.unread = promptTokens;
      this.eventsLeft = events;
      this.listener = listener;
    }
  }

  ModelProfile model() {
    return model;
  }

  /** Makes the group slower by a factor. */
  void slow(double factor) {
    slowdown = factor;
  }

  /** Loses a member: nothing moves until {@link #repair}. */
  void stand() {
    standing = true;
  }

  /** Breaks off all requests and begins anew. */
  void repair() {
    List<Job> lost = new ArrayList<>(batch);
    lost.addAll(queue);
    batch.clear();
    queue.clear();
    standing = false;
    lost.forEach(j -> j.listener.brokenOff());
  }

  boolean isStanding() {
    return standing;
  }

  void submit(Job j) {
    queue.add(j);
    queue.sort(Comparator.comparingInt((Job q) -> q.urgency).thenComparingLong(q -> q.order));
    if (!passing) {
      passing = true;
      timers.after(0, this::pass);
    }
  }

  void remove(Job j) {
    queue.remove(j);
    batch.remove(j);
  }

  private void pass() {
    if (standing) {
      passing = false;
      return;
    }
    while (batch.size() < engine.slots() && !queue.isEmpty()) {
      batch.add(queue.remove(0));
    }
    if (batch.isEmpty()) {
      passing = false;
      return;
    }
    int budget = CHUNK_TOKENS;
    int decoding = 0;
    double context = 0;
    List<Job> made = new ArrayList<>();
    for (Job j : batch) {
      int read = Math.min(budget, j.unread);
      j.unread -= read;
      budget -= read;
      if (j.unread == 0) {
        decoding++;
        context += j.promptTokens;
        made.add(j);
      }
    }
    double read = (CHUNK_TOKENS - budget) * MILLIS_PER_SECOND / engine.prefillPerSecond();
    double step =
        engine.stepMillis()
            + decoding * engine.perSequenceMillis()
            + engine.contextPerThousandMillis() * context / 1_000;
    double exact = slowdown * model.timeFactor() * (read + engine.stride() * step) + partOfMilli;
    long whole = (long) exact;
    partOfMilli = exact - whole;
    timers.after(Math.max(1, whole), () -> endPass(made));
  }

  private void endPass(List<Job> made) {
    if (standing) {
      passing = false;
      return;
    }
    for (Job j : made) {
      if (batch.contains(j)) {
        j.listener.event();
        j.eventsLeft--;
        if (j.eventsLeft <= 0) {
          batch.remove(j);
          j.listener.ended();
        }
      }
    }
    pass();
  }
}
