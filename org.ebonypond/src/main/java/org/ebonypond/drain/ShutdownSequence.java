package org.ebonypond.drain;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/**
 * The graceful shutdown of an entry, which lets requests in flight finish. Since each request ends
 * by its deadline, the shutdown also ends. Not thread-safe.
 */
public final class ShutdownSequence {
  /**
   * The maximum time in milliseconds to wait for the return of the shares. Shares that are not
   * returned expire by themselves.
   */
  static final long SHARE_RETURN_MILLIS = 1_000;

  /**
   * The {@code Retry-After} value of a refusal in seconds. This entry is about to exit, and the
   * load balancer sends the retry to another one at once.
   */
  private static final int RETRY_AFTER_SECONDS = 1;

  private final long noticeMillis;
  private Phase phase = Phase.SERVING;
  private int inFlight;
  private long phaseEndMillis = Long.MAX_VALUE;

  /** The phases of the sequence. */
  public enum Phase {
    /** No signal was received. */
    SERVING,
    /** Reported as not ready; requests that the load balancer still sends are served. */
    NOTICE,
    /** New requests are refused as not run; requests in flight continue. */
    FINISHING,
    /** No request is in flight; the shares are being returned. */
    RETURNING,
    /** The process exits. */
    EXITED
  }

  /** The actions that the daemon must perform. */
  public enum Action {
    /** Report not ready to the readiness check. */
    REPORT_NOT_READY,
    /** Send a share request without demand. */
    RETURN_SHARES,
    /** End the process. */
    EXIT
  }

  /**
   * Creates the sequence in the phase {@code SERVING}.
   *
   * @param noticeMillis the time that the load balancer needs to detect an entry that is not ready,
   *     in milliseconds
   */
  public ShutdownSequence(long noticeMillis) {
    this.noticeMillis = noticeMillis;
  }

  /** Handles SIGTERM. Further signals are ignored, so that they cannot interrupt requests. */
  public List<Action> onSignal(long nowMillis) {
    if (phase != Phase.SERVING) {
      return List.of();
    }
    phase = Phase.NOTICE;
    phaseEndMillis = nowMillis + noticeMillis;
    List<Action> actions = new ArrayList<>(List.of(Action.REPORT_NOT_READY));
    actions.addAll(onTimer(nowMillis));
    return actions;
  }

  /**
   * Admits a new request if the phase permits it.
   *
   * @return whether the request is served; if so, {@link #requestEnded} must follow. If not, the
   *     entry answers {@code not-run} with {@code shutting-down} and {@link #retryAfterSeconds}.
   */
  public boolean tryBegin(long nowMillis) {
    boolean open = phase == Phase.SERVING || (phase == Phase.NOTICE && nowMillis < phaseEndMillis);
    if (open) {
      inFlight++;
    }
    return open;
  }

  /** Records the end of a request: its answer was sent, or its caller has disconnected. */
  public List<Action> requestEnded(long nowMillis) {
    if (inFlight == 0) {
      throw new EbonypondException(ErrorCode.INVARIANT_VIOLATED, "more requests ended than began");
    }
    inFlight--;
    return onTimer(nowMillis);
  }

  /** Handles the leader's confirmation that the shares were returned. */
  public List<Action> onSharesReturned() {
    return phase == Phase.RETURNING ? exit() : List.of();
  }

  /** Performs the phase changes that are due. */
  public List<Action> onTimer(long nowMillis) {
    if (phase == Phase.NOTICE && nowMillis >= phaseEndMillis) {
      phase = Phase.FINISHING;
      phaseEndMillis = Long.MAX_VALUE;
    }
    if (phase == Phase.FINISHING && inFlight == 0) {
      phase = Phase.RETURNING;
      phaseEndMillis = nowMillis + SHARE_RETURN_MILLIS;
      return List.of(Action.RETURN_SHARES);
    }
    return phase == Phase.RETURNING && nowMillis >= phaseEndMillis ? exit() : List.of();
  }

  /**
   * Returns the time at which {@link #onTimer} must be called next, {@link Long#MAX_VALUE} if
   * never.
   */
  public long nextWakeMillis() {
    return phaseEndMillis;
  }

  /** Returns whether the readiness check reports ready. */
  public boolean isReady() {
    return phase == Phase.SERVING;
  }

  /** Returns the value of {@code Retry-After} of a refusal, in seconds. */
  public int retryAfterSeconds() {
    return RETRY_AFTER_SECONDS;
  }

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight;
  }

  private List<Action> exit() {
    if (inFlight > 0) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED, "exit with " + inFlight + " requests in flight");
    }
    phase = Phase.EXITED;
    phaseEndMillis = Long.MAX_VALUE;
    return List.of(Action.EXIT);
  }
}
