package org.ebonypond.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.ebonypond.errors.ErrorCode;

/**
 * Decides whether a streaming model call resumes on another group or ends after a failed or stalled
 * attempt. A stalled attempt goes on until another one delivers a chunk, because another group may
 * refuse the request. The entry calls {@link #onTimer} at {@link #nextWakeMillis}. Not thread-safe.
 */
public final class StreamResume {
  private static final int RETRY_AFTER_SECONDS = 1;

  private final ChunkAssembler assembler;
  private final Limits limits;
  private final Set<Integer> running = new TreeSet<>();
  private int dispatches;
  private boolean mayHaveRun;
  private boolean ended;
  // Whether the entry waits for another group to accept the request.
  private boolean asking;
  // When the stall time started: at the last chunk, dispatch or refusal.
  private long silentSinceMillis;

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

  /**
   * Records that an attempt delivered a chunk. The others are cancelled, since their chunks would
   * not match its text.
   */
  public List<StreamAction> onProgress(int attempt, long nowMillis) {
    mayHaveRun = true;
    asking = false;
    silentSinceMillis = nowMillis;
    ended |= assembler.isComplete();
    if (running.size() == 1) {
      return List.of();
    }
    List<StreamAction> actions = new ArrayList<>();
    running.stream()
        .filter(n -> n != attempt)
        .forEach(n -> actions.add(new StreamAction.Cancel(n)));
    running.retainAll(Set.of(attempt));
    return actions;
  }

  /**
   * Handles a failed attempt: refused, interrupted, or inconsistent with the answer so far.
   *
   * @param failed the number of the attempt; ignored if it has been replaced
   * @param notRun whether the request certainly did not reach the group
   * @param conditions the conditions for a further attempt if no other one is running
   */
  public List<StreamAction> onFailed(
      int failed, boolean notRun, ResumeConditions conditions, long nowMillis) {
    return onEnded(failed, notRun) && running.isEmpty()
        ? resumeOrFail(conditions, nowMillis)
        : List.of();
  }

  /**
   * Records a failed attempt, without a decision on a further one.
   *
   * @param failed the number of the attempt; ignored if it has been replaced
   * @param notRun whether the request certainly did not reach the group
   * @return whether the attempt was running
   */
  public boolean onEnded(int failed, boolean notRun) {
    if (ended || !running.remove(failed)) {
      return false;
    }
    assembler.dropAttempt(failed);
    mayHaveRun |= !notRun;
    return true;
  }

  /** Returns whether the attempts have stalled and another group should be asked now. */
  public boolean wantsAnother(long nowMillis) {
    return !ended && nowMillis >= nextWakeMillis() && canDispatch(nowMillis);
  }

  /** Records that another group is asked to accept the request, beside the stalled attempts. */
  public void onAsked() {
    mayHaveRun = true;
    asking = true;
  }

  /** Handles that another group has accepted the request. */
  public List<StreamAction> onAccepted(long nowMillis) {
    asking = false;
    mayHaveRun = true;
    return running.isEmpty() || canDispatch(nowMillis)
        ? resumeOrFail(new ResumeConditions(true, true), nowMillis)
        : List.of();
  }

  /**
   * Records that no other group accepts the request; the next one is asked after the stall time.
   */
  public void onRefused(long nowMillis) {
    asking = false;
    silentSinceMillis = nowMillis;
  }

  /**
   * Ends the call at its deadline, and starts another attempt beside stalled ones.
   *
   * @param conditions the conditions for a further attempt
   */
  public List<StreamAction> onTimer(ResumeConditions conditions, long nowMillis) {
    if (ended || nowMillis < nextWakeMillis()) {
      return List.of();
    }
    mayHaveRun = true;
    if (nowMillis >= limits.deadlineMillis()) {
      List<StreamAction> actions = cancelAll();
      actions.addAll(fail(ErrorCode.DEADLINE_TOO_CLOSE));
      return actions;
    }
    if (wantsAnother(nowMillis) && conditions.otherGroup() && conditions.budget()) {
      return List.of(dispatch(nowMillis));
    }
    silentSinceMillis = nowMillis;
    return List.of();
  }

  /** Handles the disconnection of the caller. */
  public List<StreamAction> onCallerDisconnected() {
    if (ended) {
      return List.of();
    }
    ended = true;
    return cancelAll();
  }

  /**
   * Returns the time at which {@link #onTimer} must be called next, {@link Long#MAX_VALUE} if
   * never.
   */
  public long nextWakeMillis() {
    if (ended) {
      return Long.MAX_VALUE;
    }
    return asking
        ? limits.deadlineMillis()
        : Math.min(limits.deadlineMillis(), silentSinceMillis + limits.stallMillis());
  }

  /** Returns whether the call is complete, has failed or was cancelled. */
  public boolean isEnded() {
    return ended;
  }

  private boolean canDispatch(long nowMillis) {
    return nowMillis + limits.minRemainingMillis() <= limits.deadlineMillis()
        && dispatches < limits.maxDispatches();
  }

  private List<StreamAction> cancelAll() {
    List<StreamAction> actions = new ArrayList<>();
    running.forEach(n -> actions.add(new StreamAction.Cancel(n)));
    running.clear();
    return actions;
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
    silentSinceMillis = nowMillis;
    int attempt = running.isEmpty() ? assembler.startAttempt() : assembler.addAttempt();
    running.add(attempt);
    return new StreamAction.Dispatch(attempt, assembler.resumeOffset());
  }

  private List<StreamAction> fail(ErrorCode code) {
    ended = true;
    return List.of(new StreamAction.Fail(!mayHaveRun, code, RETRY_AFTER_SECONDS));
  }
}
