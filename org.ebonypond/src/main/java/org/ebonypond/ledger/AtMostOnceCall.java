package org.ebonypond.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.ledger.CallAction.AnswerNotKept;
import org.ebonypond.ledger.CallAction.AnswerProblem;
import org.ebonypond.ledger.CallAction.AnswerWhole;
import org.ebonypond.ledger.CallAction.Dispatch;
import org.ebonypond.ledger.CallAction.ProposeIntent;
import org.ebonypond.ledger.CallAction.ProposeRecord;
import org.jspecify.annotations.Nullable;

/**
 * State machine of an entry for one non-idempotent request. Each event method returns the actions
 * that the entry must carry out; the entry also calls {@link #onTimer} at {@link #nextWakeMillis}.
 * Late and duplicate events are ignored. Not thread-safe.
 *
 * <p>If the intent of a keyed request may have reached the ledger but no reply arrived, the request
 * ends as {@code outcome-unknown}: an earlier request with the same key may have run, which only
 * the ledger knows.
 */
public final class AtMostOnceCall {
  /** Time after which an unanswered proposal is sent again; an election takes about 1 s. */
  static final long RESEND_MILLIS = 500;

  /** Time without any reply of the ledger after which the caller gets a final answer. */
  static final long LEDGER_TIMEOUT_MILLIS = 3_000;

  /** Maximum time for which an answer is delayed until its outcome is recorded. */
  static final long MAX_ANSWER_DELAY_MILLIS = 1_000;

  /** Time for which an outcome, not-run or unknown record is proposed again. */
  static final long RECORD_TIMEOUT_MILLIS = 30_000;

  /** Time after the caller's deadline for which a late answer is still awaited and recorded. */
  static final long LATE_ANSWER_MILLIS = 60_000;

  private static final long UNREACHABLE_RETRY_MILLIS = 200;
  private static final long FIRST_POLL_MILLIS = 50;
  private static final long MAX_POLL_MILLIS = 400;
  private static final int RETRY_SOON_SECONDS = 1;

  /** Only expiry frees space in a full ledger, so an earlier retry would be refused again. */
  private static final int RETRY_FULL_SECONDS = 30;

  private final CallRequest request;
  private final @Nullable CallCommands commands;
  private Phase phase = Phase.NEW;
  private boolean answered;
  private @Nullable CallAction pendingAnswer;
  private @Nullable LedgerCommand pendingRecord;
  private int intentsProposed;
  private int intentsNotSent;
  private long phaseSince;
  private long wakeMillis = Long.MAX_VALUE;
  private long pollMillis = FIRST_POLL_MILLIS;

  /** Phase of a call. */
  public enum Phase {
    /** Not started. */
    NEW,
    /** Waiting for the ledger's reply to the intent. */
    INTENT,
    /** Waiting for the outcome of another attempt, which runs the call. */
    JOINED,
    /** The request may have reached a backend server. */
    DISPATCHED,
    /** Waiting for the ledger's reply to an outcome, not-run or unknown record. */
    RECORDING,
    /** Ended. */
    FINISHED
  }

  /**
   * Creates a call that has not started.
   *
   * @param request the request to run at most once
   */
  public AtMostOnceCall(CallRequest request) {
    this.request = request;
    this.commands = request.key() == null ? null : new CallCommands(request, request.key());
  }

  /** Starts the call. */
  public List<CallAction> start(long nowMillis) {
    check(phase == Phase.NEW, "start called twice");
    if (commands == null) {
      enter(Phase.DISPATCHED, nowMillis, request.deadlineMillis());
      return List.of(new Dispatch());
    }
    return proposeIntent(nowMillis);
  }

  /** Handles the ledger's reply to an intent. */
  public List<CallAction> onIntentResult(LedgerResult result, long nowMillis) {
    // A reply to an earlier copy of the intent may arrive while the call waits for another attempt.
    if (phase != Phase.INTENT && phase != Phase.JOINED) {
      return List.of();
    }
    return switch (result.kind()) {
      case RUN -> run(result, nowMillis);
      case JOIN -> join(result, nowMillis);
      case DONE -> replay(result);
      case UNKNOWN -> onUnknown(result, nowMillis);
      case MISMATCH ->
          finish(new AnswerProblem(Outcome.FAILED, ErrorCode.KEY_REUSED, RETRY_SOON_SECONDS));
      case KEY_EXPIRED -> finish(unknown(ErrorCode.KEY_EXPIRED));
      case FULL -> refuse(notRun(ErrorCode.LEDGER_FULL, RETRY_FULL_SECONDS), nowMillis);
      case FENCED -> refuse(notRun(ErrorCode.SHUTTING_DOWN, RETRY_SOON_SECONDS), nowMillis);
      default -> throw violated("reply to an intent: " + result.kind());
    };
  }

  /** Handles the reply to a lookup. */
  public List<CallAction> onPollResult(LedgerResult result, long nowMillis) {
    if (phase != Phase.JOINED) {
      return List.of();
    }
    return switch (result.kind()) {
      case JOIN -> join(result, nowMillis);
      case DONE -> replay(result);
      case UNKNOWN -> onUnknown(result, nowMillis);
      case RELEASED, ABSENT -> proposeIntent(nowMillis);
      default -> throw violated("reply to a lookup: " + result.kind());
    };
  }

  /** Handles the ledger's reply to an outcome, not-run or unknown record. */
  public List<CallAction> onRecordResult(LedgerResult result, long nowMillis) {
    if (phase != Phase.RECORDING) {
      return List.of();
    }
    check(result.kind() != LedgerResult.Kind.CONFLICT, "the ledger holds a conflicting record");
    return finish(pendingAnswer);
  }

  /**
   * Handles a proposal that certainly cannot commit: no replica could be reached, or each one that
   * was reached refused it. Unless this is called, the call assumes that the proposal may commit.
   */
  public List<CallAction> onLedgerUnreachable(long nowMillis) {
    if (phase == Phase.INTENT) {
      intentsNotSent++;
    }
    if (phase == Phase.INTENT || phase == Phase.RECORDING) {
      wakeMillis = Math.min(wakeMillis, nowMillis + UNREACHABLE_RETRY_MILLIS);
    }
    return List.of();
  }

  /**
   * Handles a request that certainly did not run: nothing was written, no server had a free slot,
   * or the server declared it not run.
   *
   * @param mayRetry whether another server is available and the retry budget allows a dispatch to
   *     it
   */
  public List<CallAction> onNotRun(boolean mayRetry, long nowMillis) {
    if (phase != Phase.DISPATCHED) {
      return List.of();
    }
    boolean wanted = commands != null && !answered && nowMillis < request.deadlineMillis();
    if (wanted && mayRetry) {
      return List.of(new Dispatch());
    }
    return release(notRun(ErrorCode.NO_CAPACITY, RETRY_SOON_SECONDS), nowMillis);
  }

  /** Handles a connection failure after part of the request was written. */
  public List<CallAction> onConnectionLost(long nowMillis) {
    return phase == Phase.DISPATCHED ? abandonDispatched(nowMillis) : List.of();
  }

  /** Handles the complete answer of the backend server. */
  public List<CallAction> onAnswer(StoredAnswer value, long nowMillis) {
    if (phase != Phase.DISPATCHED) {
      return List.of();
    }
    CallAction whole = new AnswerWhole(value, false);
    if (commands == null) {
      return finish(whole);
    }
    pendingAnswer = whole;
    return propose(commands.outcome(value, nowMillis), nowMillis);
  }

  /** Handles the end of the caller's connection. A dispatched call continues. */
  public List<CallAction> onCallerDisconnected(long nowMillis) {
    answered = true;
    return switch (phase) {
      case NEW -> finish(null);
      case INTENT, JOINED -> release(null, nowMillis);
      default -> List.of();
    };
  }

  /** Handles the end of the notice time. A started call continues; any other is refused. */
  public List<CallAction> onShutdown(long nowMillis) {
    if (phase != Phase.NEW) {
      return List.of();
    }
    return finish(notRun(ErrorCode.SHUTTING_DOWN, RETRY_SOON_SECONDS));
  }

  /** Runs due work: sends proposals again, polls the ledger, and answers at the deadline. */
  public List<CallAction> onTimer(long nowMillis) {
    if (nowMillis < wakeMillis) {
      return List.of();
    }
    boolean deadlinePassed = nowMillis >= request.deadlineMillis();
    return switch (phase) {
      case INTENT ->
          deadlinePassed || nowMillis - phaseSince >= LEDGER_TIMEOUT_MILLIS
              ? giveUpIntent(nowMillis)
              : repeatIntent(nowMillis);
      case JOINED ->
          deadlinePassed ? release(unknown(ErrorCode.OUTCOME_UNKNOWN), nowMillis) : poll(nowMillis);
      case DISPATCHED -> awaitLateAnswer(nowMillis);
      case RECORDING -> repeatRecord(nowMillis);
      case NEW, FINISHED -> List.of();
    };
  }

  /** Returns the time of the next {@link #onTimer}, or {@link Long#MAX_VALUE}. */
  public long nextWakeMillis() {
    return wakeMillis;
  }

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns whether the caller has its final answer or has disconnected. */
  public boolean isAnswered() {
    return answered;
  }

  private List<CallAction> proposeIntent(long nowMillis) {
    enter(Phase.INTENT, nowMillis, nowMillis);
    return repeatIntent(nowMillis);
  }

  private List<CallAction> repeatIntent(long nowMillis) {
    intentsProposed++;
    wakeMillis = Math.min(nowMillis + RESEND_MILLIS, request.deadlineMillis());
    return List.of(new ProposeIntent(commands().intent(nowMillis)));
  }

  private List<CallAction> giveUpIntent(long nowMillis) {
    if (intentsProposed == intentsNotSent) {
      return finish(notRun(ErrorCode.NO_QUORUM, RETRY_SOON_SECONDS));
    }
    return release(unknown(ErrorCode.NO_QUORUM), nowMillis);
  }

  private List<CallAction> run(LedgerResult result, long nowMillis) {
    check(request.attempt().equals(result.owner()), "run granted to another attempt");
    if (nowMillis >= request.deadlineMillis()) {
      return release(notRun(ErrorCode.DEADLINE_TOO_CLOSE, RETRY_SOON_SECONDS), nowMillis);
    }
    enter(Phase.DISPATCHED, nowMillis, request.deadlineMillis());
    return List.of(new Dispatch());
  }

  private List<CallAction> join(LedgerResult result, long nowMillis) {
    if (request.attempt().equals(result.owner())) {
      // A repeated intent was committed after a reply that had named another owner.
      return run(result, nowMillis);
    }
    if (phase == Phase.JOINED) {
      return List.of();
    }
    pollMillis = FIRST_POLL_MILLIS;
    enter(Phase.JOINED, nowMillis, nextPoll(nowMillis));
    return List.of();
  }

  private List<CallAction> poll(long nowMillis) {
    pollMillis = Math.min(MAX_POLL_MILLIS, pollMillis * 2);
    wakeMillis = nextPoll(nowMillis);
    return List.of(commands().poll());
  }

  private long nextPoll(long nowMillis) {
    return Math.min(nowMillis + pollMillis, request.deadlineMillis());
  }

  private List<CallAction> replay(LedgerResult result) {
    StoredAnswer a = Objects.requireNonNull(result.answer());
    return finish(a.kept() ? new AnswerWhole(a, true) : new AnswerNotKept(a.status()));
  }

  private List<CallAction> onUnknown(LedgerResult result, long nowMillis) {
    if (request.attempt().equals(result.owner())) {
      // A newer incarnation of this entry took over before this call dispatched.
      return release(notRun(ErrorCode.SHUTTING_DOWN, RETRY_SOON_SECONDS), nowMillis);
    }
    return refuse(unknown(ErrorCode.OUTCOME_UNKNOWN), nowMillis);
  }

  private List<CallAction> awaitLateAnswer(long nowMillis) {
    long limit = request.deadlineMillis() + LATE_ANSWER_MILLIS;
    if (nowMillis >= limit) {
      return abandonDispatched(nowMillis);
    }
    if (commands == null) {
      return finish(unknown(ErrorCode.OUTCOME_UNKNOWN));
    }
    wakeMillis = limit;
    return answer(unknown(ErrorCode.OUTCOME_UNKNOWN));
  }

  private List<CallAction> repeatRecord(long nowMillis) {
    if (nowMillis - phaseSince >= RECORD_TIMEOUT_MILLIS) {
      return finish(pendingAnswer);
    }
    List<CallAction> actions = new ArrayList<>();
    actions.add(new ProposeRecord(Objects.requireNonNull(pendingRecord)));
    if (nowMillis >= answerDelayEnd()) {
      actions.addAll(answer(pendingAnswer));
    }
    wakeMillis = nextRecordWake(nowMillis);
    return actions;
  }

  private long answerDelayEnd() {
    return Math.min(phaseSince + MAX_ANSWER_DELAY_MILLIS, request.deadlineMillis());
  }

  private long nextRecordWake(long nowMillis) {
    long resend = nowMillis + RESEND_MILLIS;
    return answered ? resend : Math.max(nowMillis, Math.min(resend, answerDelayEnd()));
  }

  private List<CallAction> propose(LedgerCommand command, long nowMillis) {
    pendingRecord = command;
    enter(Phase.RECORDING, nowMillis, nowMillis);
    wakeMillis = nextRecordWake(nowMillis);
    return List.of(new ProposeRecord(command));
  }

  /** Ends a call that owns no run; fences its intent if a repetition of it may still commit. */
  private List<CallAction> refuse(CallAction answer, long nowMillis) {
    return intentsProposed > 1 ? release(answer, nowMillis) : finish(answer);
  }

  private List<CallAction> release(@Nullable CallAction answer, long nowMillis) {
    return commands == null
        ? finish(answer)
        : answerAndPropose(answer, commands.notRun(nowMillis), nowMillis);
  }

  private List<CallAction> abandonDispatched(long nowMillis) {
    CallAction answer = unknown(ErrorCode.OUTCOME_UNKNOWN);
    return commands == null
        ? finish(answer)
        : answerAndPropose(answer, commands.unknown(nowMillis), nowMillis);
  }

  private List<CallAction> answerAndPropose(
      @Nullable CallAction answer, LedgerCommand command, long nowMillis) {
    List<CallAction> actions = new ArrayList<>(answer(answer));
    actions.addAll(propose(command, nowMillis));
    return actions;
  }

  private List<CallAction> finish(@Nullable CallAction answer) {
    phase = Phase.FINISHED;
    wakeMillis = Long.MAX_VALUE;
    return answer(answer);
  }

  private List<CallAction> answer(@Nullable CallAction action) {
    if (answered || action == null) {
      return List.of();
    }
    answered = true;
    return List.of(action);
  }

  private void enter(Phase next, long nowMillis, long wake) {
    phase = next;
    phaseSince = nowMillis;
    wakeMillis = wake;
  }

  private CallCommands commands() {
    return Objects.requireNonNull(commands);
  }

  private static AnswerProblem notRun(ErrorCode code, int retryAfterSeconds) {
    return new AnswerProblem(Outcome.NOT_RUN, code, retryAfterSeconds);
  }

  private static AnswerProblem unknown(ErrorCode code) {
    return new AnswerProblem(Outcome.OUTCOME_UNKNOWN, code, RETRY_SOON_SECONDS);
  }

  private void check(boolean condition, String text) {
    if (!condition) {
      throw violated(text);
    }
  }

  private EbonypondException violated(String text) {
    return new EbonypondException(
        ErrorCode.INVARIANT_VIOLATED, "call " + request.attempt() + ": " + text);
  }
}
