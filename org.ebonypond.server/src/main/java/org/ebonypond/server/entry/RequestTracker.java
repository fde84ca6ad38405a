package org.ebonypond.server.entry;

import java.util.List;
import java.util.function.Consumer;
import org.ebonypond.drain.ShutdownSequence;
import org.ebonypond.time.TimerService;

/** Counts the requests in flight and drives the shutdown of the entry. Thread-safe. */
public final class RequestTracker {
  private final TimerService timers;
  private final ShutdownSequence sequence;
  private final Consumer<ShutdownSequence.Action> actions;

  /**
   * Creates a tracker.
   *
   * @param timers runs the steps of the shutdown
   * @param noticeMillis the time that the load balancer needs to notice, in milliseconds
   * @param actions carries out what the shutdown asks for
   */
  public RequestTracker(
      TimerService timers, long noticeMillis, Consumer<ShutdownSequence.Action> actions) {
    this.timers = timers;
    this.sequence = new ShutdownSequence(noticeMillis);
    this.actions = actions;
  }

  /** Returns whether a new request is served; if so, {@link #end} must follow. */
  public synchronized boolean tryBegin() {
    return sequence.tryBegin(timers.nowMillis());
  }

  /** Ends a request. */
  public void end() {
    List<ShutdownSequence.Action> todo;
    synchronized (this) {
      todo = sequence.requestEnded(timers.nowMillis());
    }
    run(todo);
  }

  /** Takes SIGTERM. */
  public void signal() {
    List<ShutdownSequence.Action> todo;
    synchronized (this) {
      todo = sequence.onSignal(timers.nowMillis());
    }
    run(todo);
  }

  /** Takes the news that the shares are returned. */
  public void sharesReturned() {
    List<ShutdownSequence.Action> todo;
    synchronized (this) {
      todo = sequence.onSharesReturned();
    }
    run(todo);
  }

  /** Returns whether the load balancer may send requests. */
  public synchronized boolean isReady() {
    return sequence.isReady();
  }

  /** Returns the number of requests in flight. */
  public synchronized int inFlight() {
    return sequence.inFlight();
  }

  /** Returns the value of {@code Retry-After} of a refusal, in seconds. */
  public int retryAfterSeconds() {
    return sequence.retryAfterSeconds();
  }

  private void timer() {
    List<ShutdownSequence.Action> todo;
    synchronized (this) {
      todo = sequence.onTimer(timers.nowMillis());
    }
    run(todo);
  }

  private void run(List<ShutdownSequence.Action> todo) {
    todo.forEach(actions);
    long wake;
    synchronized (this) {
      wake = sequence.nextWakeMillis();
    }
    if (wake != Long.MAX_VALUE) {
      timers.after(Math.max(0, wake - timers.nowMillis()), this::timer);
    }
  }
}
