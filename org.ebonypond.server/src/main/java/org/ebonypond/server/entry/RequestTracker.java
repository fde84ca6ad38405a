package org.ebonypond.server.entry;

import java.util.List;
import java.util.function.Consumer;
import org.ebonypond.drain.ShutdownSequence;
import org.ebonypond.time.TimerService;

/** Counts the requests in flight and drives the shutdown of the entry. Thread-safe. */
public final class RequestTracker {
  private final TimerService timers;
  private final ShutdownSequence sequence;
  private final Consumer<ShutdownSequence.Action> actionHandler;

  /**
   * Creates a tracker.
   *
   * @param timers schedules the steps of the shutdown
   * @param noticeMillis how long the entry still serves after it reports that it is not ready,
   *     until the load balancer has noticed, in milliseconds
   * @param actionHandler executes the actions of the shutdown
   */
  public RequestTracker(
      TimerService timers, long noticeMillis, Consumer<ShutdownSequence.Action> actionHandler) {
    this.timers = timers;
    this.sequence = new ShutdownSequence(noticeMillis);
    this.actionHandler = actionHandler;
  }

  /**
   * Counts a new request unless new ones are refused. If it returns true, {@link #end} must follow.
   */
  public synchronized boolean tryBegin() {
    return sequence.tryBegin(timers.nowMillis());
  }

  /** Records the end of a request. */
  public void end() {
    List<ShutdownSequence.Action> due;
    synchronized (this) {
      due = sequence.requestEnded(timers.nowMillis());
    }
    run(due);
  }

  /** Starts the shutdown after a SIGTERM. */
  public void signal() {
    List<ShutdownSequence.Action> due;
    synchronized (this) {
      due = sequence.onSignal(timers.nowMillis());
    }
    run(due);
  }

  /** Continues the shutdown after all shares were returned. */
  public void sharesReturned() {
    List<ShutdownSequence.Action> due;
    synchronized (this) {
      due = sequence.onSharesReturned();
    }
    run(due);
  }

  /** Returns whether the entry reports to the load balancer that it is ready. */
  public synchronized boolean isReady() {
    return sequence.isReady();
  }

  /** Returns the number of requests in flight. */
  public synchronized int inFlight() {
    return sequence.inFlight();
  }

  /** Returns the {@code Retry-After} of refusals, in seconds. */
  public int retryAfterSeconds() {
    return sequence.retryAfterSeconds();
  }

  private void onTimer() {
    List<ShutdownSequence.Action> due;
    synchronized (this) {
      due = sequence.onTimer(timers.nowMillis());
    }
    run(due);
  }

  private void run(List<ShutdownSequence.Action> due) {
    due.forEach(actionHandler);
    long wake;
    synchronized (this) {
      wake = sequence.nextWakeMillis();
    }
    if (wake != Long.MAX_VALUE) {
      timers.after(Math.max(0, wake - timers.nowMillis()), this::onTimer);
    }
  }
}
