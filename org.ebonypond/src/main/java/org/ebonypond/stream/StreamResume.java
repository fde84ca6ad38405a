package org.ebonypond.stream;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.errors.ErrorCode;

/**
 * Decides whether a streaming model call resumes on another group or ends after a failed or stalled
 * attempt. The entry calls {@link #onTimer} at {@link #nextWakeMillis}. Not thread-safe.
 */
public final class StreamResume {
  private static final int RETRY_AFTER_SECONDS = 1;

  private final ChunkAssembler assembler;
  private final Limits limits;
  private int attempt;
  private int dispatches;
  private boolean mayHaveRun;
  private boolean ended;
  private long progressMillis;

  /**
   * The limits of a call.
   *
   * @param deadlineMillis the time by which the answer must be complete, in milliseconds of the
   *     entry's clock
   * @param stallMillis the time in milliseconds without a chunk after which an attempt is
   *     considered stalled
   * @param minRemainingMillis the minimum time in milliseconds before the deadline for a further
   *     attempt, for example the time to the first token
   * @param maxDispatches the maximum number of attempts, including the first
   */
  public record Limits(
      long deadlineMillis, long stallMillis, long minRemainingMillis, int maxDispatches) {}

  /**
   * The conditions of the entry for a further attempt.
   *
   * @param otherGroup whether another group can accept the request now
   * @param budget whether the retry budget allows it; the entry charges the budget if the actions
   *     contain a dispatch
   */
  public record ResumeConditions(boolean otherGroup, boolean budget) {}

  /**
   * Creates the state of one call.
   *
   * @param assembler the assembler of the call's answer
   * @param limits the limits
   */
  public StreamResume(ChunkAssembler assembler, Limits limits) {
    this.assembler = assembler;
    this.limits = limits;
  }

  /** Starts the first attempt. */
  public List<StreamAction> start(long nowMillis) {
    return List.of(dispatch(nowMillis));
  }

  /** Records that the current attempt delivered a chunk. */
  public void onProgress(long nowMillis) {
    mayHaveRun = true;
    progressMillis = nowMillis;
    ended |= assembler.isComplete();
  }

  /**
   * Handles a failed attempt: refused, interrupted, or inconsistent with the answer so far.
   *
   * @param failed the number of the attempt; ignored if it has been replaced
   * @param notRun whether the request certainly did not reach the group
   * @param conditions the conditions for a further attempt
   */
  public List<StreamAction> onFailed(
      int failed, boolean notRun, ResumeConditions conditions, long nowMillis) {
    if (ended || failed != attempt) {
      return List.of();
    }
    mayHaveRun |= !notRun;
    return resumeOrFail(conditions, nowMillis);
  }

  /**
   * Ends the call at its deadline, and replaces a stalled attempt.
   *
   * @param conditions the conditions for a further attempt
   */
  public List<StreamAction> onTimer(ResumeConditions conditions, long nowMillis) {
    if (ended || nowMillis < nextWakeMillis()) {
      return List.of();
    }
    mayHaveRun = true;
    List<StreamAction> actions = new ArrayList<>();
    actions.add(new StreamAction.Cancel(attempt));
    actions.addAll(resumeOrFail(conditions, nowMillis));
    return actions;
  }

  /** Handles the disconnection of the caller. */
  public List<StreamAction> onCallerDisconnected() {
    if (ended) {
      return List.of();
    }
    ended = true;
    return List.of(new StreamAction.Cancel(attempt));
  }

  /**
   * Returns the time at which {@link #onTimer} must be called next, {@link Long#MAX_VALUE} if
   * never.
   */
  public long nextWakeMillis() {
    if (ended) {
      return Long.MAX_VALUE;
    }
    return Math.min(limits.deadlineMillis(), progressMillis + limits.stallMillis());
  }

  /** Returns whether the call is complete, has failed or was cancelled. */
  public boolean isEnded() {
    return ended;
  }

  private List<StreamAction> resumeOrFail(ResumeConditions conditions, long nowMillis) {
    if (nowMillis + limits.minRemainingMillis() > limits.deadlineMillis()) {
      return fail(ErrorCode.DEADLINE_TOO_CLOSE);
    }
    if (dispatches >= limits.maxDispatches()) {
      return fail(ErrorCode.UPSTREAM_FAILED);
    }
    if (!conditions.otherGroup()) {
      return fail(ErrorCode.NO_CAPACITY);
    }
    if (!conditions.budget()) {
      return fail(ErrorCode.RETRY_BUDGET_EXHAUSTED);
    }
    return List.of(dispatch(nowMillis));
  }

  private StreamAction dispatch(long nowMillis) {
    dispatches++;
    progressMillis = nowMillis;
    attempt = assembler.startAttempt();
    return new StreamAction.Dispatch(attempt, assembler.resumeOffset());
  }

  private List<StreamAction> fail(ErrorCode code) {
    ended = true;
    return List.of(new StreamAction.Fail(!mayHaveRun, code, RETRY_AFTER_SECONDS));
  }
}
