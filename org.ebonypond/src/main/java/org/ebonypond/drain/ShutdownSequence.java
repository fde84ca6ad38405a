package org.ebonypond.drain;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/**
 * Takes an entry out of service without an interrupted request. Each request ends by its deadline,
 * so the sequence ends too. Not thread-safe.
 */
public final class ShutdownSequence {
  /** Shares that are not returned lapse by themselves, so the exit waits only this long. */
  static final long RETURN_MILLIS = 1_000;

  /** The entry that refuses is about to exit; the load balancer offers others at once. */
  private static final int RETRY_SECONDS = 1;

  private final long noticeMillis;
  private Phase phase = Phase.SERVING;
  private int inFlight;
  private long phaseEnds = Long.MAX_VALUE;

  /** The phases of the sequence. */
  public enum Phase {
    /** No signal has come. */
    SERVING,
    /** Not ready to the load balancer, which may still send requests; they are served. */
    NOTICE,
    /** New requests are refused as not run; those in flight go on. */
    FINISHING,
    /** No request is left; the shares are being returned. */
    RETURNING,
    /** The process exits. */
    EXITED
  }

  /** What the daemon must do. */
  public enum Action {
    /** Answer the readiness check with not ready. */
    REPORT_NOT_READY,
    /** Send a share request without demand. */
    RETURN_SHARES,
    /** End the process. */
    EXIT
  }

  /**
   * Creates the sequence of an entry that serves.
   *
   * @param noticeMillis the time that the load balancer needs to notice, in milliseconds
   */
  public ShutdownSequence(long noticeMillis) {
    this.noticeMillis = noticeMillis;
  }

  /** Takes SIGTERM. A further signal changes nothing, so that it cannot cut requests off. */
  public List<Action> onSignal(long nowMillis) {
    if (phase != Phase.SERVING) {
      return List.of();
    }
    phase = Phase.NOTICE;
    phaseEnds = nowMillis + noticeMillis;
    List<Action> actions = new ArrayList<>(List.of(Action.REPORT_NOT_READY));
    actions.addAll(onTimer(nowMillis));
    return actions;
  }

  /**
   * Takes a new request.
   *
   * @return whether it is served; if so, {@link #requestEnded} must follow. If not, the entry
   *     answers {@code not-run} with {@code shutting-down} and {@link #retryAfterSeconds}.
   */
  public boolean tryBegin(long nowMillis) {
    boolean open = phase == Phase.SERVING || (phase == Phase.NOTICE && nowMillis < phaseEnds);
    if (open) {
      inFlight++;
    }
    return open;
  }

  /** Takes the end of a request: its answer is sent, or its caller is gone. */
  public List<Action> requestEnded(long nowMillis) {
    if (inFlight == 0) {
      throw new EbonypondException(ErrorCode.INVARIANT_VIOLATED, "more requests ended than began");
    }
    inFlight--;
    return onTimer(nowMillis);
  }

  /** Takes the leader's answer to the return of the shares. */
  public List<Action> onSharesReturned() {
    return phase == Phase.RETURNING ? exit() : List.of();
  }

  /** Does what is due. */
  public List<Action> onTimer(long nowMillis) {
    if (phase == Phase.NOTICE && nowMillis >= phaseEnds) {
      phase = Phase.FINISHING;
      phaseEnds = Long.MAX_VALUE;
    }
    if (phase == Phase.FINISHING && inFlight == 0) {
      phase = Phase.RETURNING;
      phaseEnds = nowMillis + RETURN_MILLIS;
      return List.of(Action.RETURN_SHARES);
    }
    return phase == Phase.RETURNING && nowMillis >= phaseEnds ? exit() : List.of();
  }

  /** Returns the time of the next {@link #onTimer}, or {@link Long#MAX_VALUE}. */
  public long nextWakeMillis() {
    return phaseEnds;
  }

  /** Returns whether the load balancer may send requests. */
  public boolean isReady() {
    return phase == Phase.SERVING;
  }

  /** Returns the value of {@code Retry-After} of a refusal, in seconds. */
  public int retryAfterSeconds() {
    return RETRY_SECONDS;
  }

  /** Returns the phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns the requests in flight. */
  public int inFlight() {
    return inFlight;
  }

  private List<Action> exit() {
    if (inFlight > 0) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED, "exit with " + inFlight + " requests in flight");
    }
    phase = Phase.EXITED;
    phaseEnds = Long.MAX_VALUE;
    return List.of(Action.EXIT);
  }
}
