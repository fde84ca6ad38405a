package org.ebonypond.stream;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.errors.ErrorCode;

/**
 * Decides whether a streaming model call that failed or stalled resumes on another group or ends.
 * The entry calls {@link #onTimer} at {@link #nextWakeMillis}. Not thread-safe.
 */
public final class StreamResume {
  private static final int RETRY_SECONDS = 1;

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
   * @param deadlineMillis the time until which the caller waits
   * @param stallMillis the longest time without a chunk before an attempt counts as stalled
   * @param usefulMillis the least time before the deadline in which a resumed attempt can help, for
   *     example the time to the first token
   * @param maxDispatches the most attempts, the first included
   */
  public record Limits(
      long deadlineMillis, long stallMillis, long usefulMillis, int maxDispatches) {}

  /**
   * What the entry offers for another attempt.
   *
   * @param otherGroup whether another group could take the request now
   * @param budget whether the retry budget allows it; the entry takes from the budget if the
   *     actions contain a dispatch
   */
  public record Chance(boolean otherGroup, boolean budget) {}

  /**
   * Creates the decision for one call.
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

  /** Takes the news that the current attempt delivered a chunk. */
  public void onProgress(long nowMillis) {
    mayHaveRun = true;
    progressMillis = nowMillis;
    ended |= assembler.isWhole();
  }

  /**
   * Takes the news that an attempt failed: refused, cut off, or contradicting itself.
   *
   * @param failed the number of the attempt; an attempt that was replaced is ignored
   * @param notRun whether the request surely did not reach the group
   * @param chance what the entry offers
   */
  public List<StreamAction> onFailed(int failed, boolean notRun, Chance chance, long nowMillis) {
    if (ended || failed != attempt) {
      return List.of();
    }
    mayHaveRun |= !notRun;
    return resumeOrFail(chance, nowMillis);
  }

  /**
   * Ends the call at its deadline, and replaces an attempt that stalled.
   *
   * @param chance what the entry offers
   */
  public List<StreamAction> onTimer(Chance chance, long nowMillis) {
    if (ended || nowMillis < nextWakeMillis()) {
      return List.of();
    }
    mayHaveRun = true;
    List<StreamAction> actions = new ArrayList<>();
    actions.add(new StreamAction.Cancel(attempt));
    actions.addAll(resumeOrFail(chance, nowMillis));
    return actions;
  }

  /** Takes the news that the caller is gone. */
  public List<StreamAction> onCallerGone() {
    if (ended) {
      return List.of();
    }
    ended = true;
    return List.of(new StreamAction.Cancel(attempt));
  }

  /** Returns the time of the next {@link #onTimer}, or {@link Long#MAX_VALUE}. */
  public long nextWakeMillis() {
    if (ended) {
      return Long.MAX_VALUE;
    }
    return Math.min(limits.deadlineMillis(), progressMillis + limits.stallMillis());
  }

  /** Returns whether the answer is whole, failed, or no longer wanted. */
  public boolean isEnded() {
    return ended;
  }

  private List<StreamAction> resumeOrFail(Chance chance, long nowMillis) {
    if (nowMillis + limits.usefulMillis() > limits.deadlineMillis()) {
      return fail(ErrorCode.DEADLINE_TOO_CLOSE);
    }
    if (dispatches >= limits.maxDispatches()) {
      return fail(ErrorCode.UPSTREAM_FAILED);
    }
    if (!chance.otherGroup()) {
      return fail(ErrorCode.NO_CAPACITY);
    }
    if (!chance.budget()) {
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
    return List.of(new StreamAction.Fail(!mayHaveRun, code, RETRY_SECONDS));
  }
}
