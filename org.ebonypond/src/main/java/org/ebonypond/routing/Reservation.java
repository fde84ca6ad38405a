package org.ebonypond.routing;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A chosen target and the capacity reserved there for one attempt. The first call of {@link
 * #complete}, {@link #fail} or {@link #release} returns the capacity; later calls do nothing.
 * Thread-safe.
 */
public final class Reservation {
  private final RouteRequest request;
  private final Target target;
  private final long startedAtMillis;
  private final Closer closer;
  private final LoadEstimator.Ticket ticket;
  private final AtomicBoolean open = new AtomicBoolean(true);

  Reservation(
      RouteRequest request,
      Target target,
      long startedAtMillis,
      LoadEstimator.Ticket ticket,
      Closer closer) {
    this.request = request;
    this.target = target;
    this.startedAtMillis = startedAtMillis;
    this.ticket = ticket;
    this.closer = closer;
  }

  /** Returns the request. */
  public RouteRequest request() {
    return request;
  }

  /** Returns the chosen group or instance. */
  public Target target() {
    return target;
  }

  /** Returns when the target was chosen, in milliseconds of the entry's clock. */
  public long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns the expected tokens of the attempt, prompt and answer. */
  public long expectedTokens() {
    return ticket.expectedTokens();
  }

  /**
   * Subtracts tokens that the target has processed or produced from its outstanding load.
   *
   * @param tokens the tokens since the last call
   */
  public void progress(long tokens) {
    if (open.get()) {
      ticket.progress(tokens);
    }
  }

  /**
   * Ends an attempt that was answered completely.
   *
   * @param outputTokens the tokens of the answer
   * @param latencyMillis the latency by which the target is compared with its peers, in
   *     milliseconds: the mean time between two tokens of a model stream, or the duration of a
   *     plain call; NaN if there is none. The time to the first token is not comparable, since it
   *     depends on the prompt's length and on what is cached.
   * @param nowMillis the monotonic time in milliseconds
   */
  public void complete(int outputTokens, double latencyMillis, long nowMillis) {
    if (open.compareAndSet(true, false)) {
      closer.completed(this, outputTokens, latencyMillis, nowMillis);
    }
  }

  /**
   * Ends an attempt that the target failed or left unanswered.
   *
   * @param nowMillis the monotonic time in milliseconds
   */
  public void fail(long nowMillis) {
    if (open.compareAndSet(true, false)) {
      closer.failed(this, nowMillis);
    }
  }

  /**
   * Ends an attempt that provides no evidence about the target, for example a request that its
   * caller cancelled or that was never dispatched.
   *
   * @param nowMillis the monotonic time in milliseconds
   */
  public void release(long nowMillis) {
    if (open.compareAndSet(true, false)) {
      closer.released(this, nowMillis);
    }
  }

  LoadEstimator.Ticket ticket() {
    return ticket;
  }

  /** Receives the capacity of ended reservations. */
  interface Closer {
    void completed(Reservation r, int outputTokens, double latencyMillis, long nowMillis);

    void failed(Reservation r, long nowMillis);

    void released(Reservation r, long nowMillis);
  }
}
