package org.ebonypond.server.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.events.EventCode;
import org.ebonypond.ledger.AtMostOnceCall;
import org.ebonypond.ledger.CallAction;
import org.ebonypond.ledger.CallRequest;
import org.ebonypond.ledger.LedgerResult;
import org.ebonypond.ledger.StoredAnswer;
import org.ebonypond.server.backend.FailureKind;
import org.ebonypond.server.backend.ServiceClient;
import org.ebonypond.server.control.ProposalClient;
import org.ebonypond.server.http.Problem;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Executes the actions that an {@link AtMostOnceCall} decides on. All events of a call are handled
 * under the lock of its runner.
 */
public final class AtMostOnceRunner {
  /**
   * Timeout of one proposal, in milliseconds; the call itself repeats proposals without a reply.
   */
  private static final long PROPOSAL_TIMEOUT_MILLIS = 1_500;

  /** How long after the caller's deadline an answer is still recorded, in milliseconds. */
  private static final long LATE_ANSWER_MILLIS = 60_000;

  private final EntryParts parts;
  private final LedgerClient ledger;
  private final EntryIncarnation incarnation;
  private final ServiceCallRequest request;
  private final ServiceCallSink sink;
  private final Runnable onFinished;
  private final AtMostOnceCall call;
  private final ServiceDispatch dispatch;
  private TimerService.@Nullable Subscription timer;
  private @Nullable Problem refusal;
  private boolean finished;

  /**
   * Creates a runner that has not started.
   *
   * @param parts the components of the entry
   * @param ledger the client of the request ledger
   * @param incarnation the incarnation of this process
   * @param services sends requests to plain services
   * @param request the caller's request
   * @param callRequest the same request in the form that {@link AtMostOnceCall} takes
   * @param sink receives the answer
   * @param onFinished called once when the ledger holds the outcome, possibly after the answer
   */
  public AtMostOnceRunner(
      EntryParts parts,
      LedgerClient ledger,
      EntryIncarnation incarnation,
      ServiceClient services,
      ServiceCallRequest request,
      CallRequest callRequest,
      ServiceCallSink sink,
      Runnable onFinished) {
    this.parts = parts;
    this.ledger = ledger;
    this.incarnation = incarnation;
    this.request = request;
    this.sink = sink;
    this.onFinished = onFinished;
    this.call = new AtMostOnceCall(callRequest);
    this.dispatch = new ServiceDispatch(parts, services, request);
  }

  /** Starts the call. */
  public synchronized void start() {
    parts.budget().onFirstAttempt(request.workspace(), now());
    run(call.start(now()));
  }

  private void run(List<CallAction> actions) {
    actions.forEach(this::run);
    schedule();
    if (call.phase() == AtMostOnceCall.Phase.FINISHED && !finished) {
      finished = true;
      onFinished.run();
    }
  }

  private void run(CallAction a) {
    if (a instanceof CallAction.ProposeIntent p) {
      ledger
          .propose(request.workspace(), key(), p.command(), PROPOSAL_TIMEOUT_MILLIS)
          .whenComplete((r, e) -> intentReplied(r, e));
    } else if (a instanceof CallAction.ProposeRecord p) {
      ledger
          .propose(request.workspace(), key(), p.command(), PROPOSAL_TIMEOUT_MILLIS)
          .whenComplete((r, e) -> recordReplied(r));
    } else if (a instanceof CallAction.PollLedger) {
      ledger.lookup(request.workspace(), key()).whenComplete((r, e) -> pollReplied(r));
    } else if (a instanceof CallAction.Dispatch) {
      startDispatch();
    } else if (a instanceof CallAction.AnswerWhole w) {
      answer(w);
    } else if (a instanceof CallAction.AnswerNotKept n) {
      emit(EventCode.REQUEST_REPLAYED, Map.of("status", String.valueOf(n.status())));
      sink.problem(
          Problem.failed(
              ErrorCode.UPSTREAM_FAILED,
              "the call completed with status "
                  + n.status()
                  + "; its answer was too large to keep"));
    } else if (a instanceof CallAction.AnswerProblem p) {
      sink.problem(problem(p));
    }
  }

  private void answer(CallAction.AnswerWhole w) {
    emit(
        w.replayed() ? EventCode.REQUEST_REPLAYED : EventCode.REQUEST_COMPLETED,
        Map.of("status", String.valueOf(w.answer().status())));
    sink.answer(w.answer(), w.replayed());
  }

  private Problem problem(CallAction.AnswerProblem p) {
    emit(
        p.outcome() == Outcome.OUTCOME_UNKNOWN
            ? EventCode.REQUEST_OUTCOME_UNKNOWN
            : EventCode.REQUEST_REFUSED,
        Map.of("code", p.code().wireName()));
    Problem r = refusal;
    return switch (p.outcome()) {
      case OUTCOME_UNKNOWN -> Problem.outcomeUnknown();
      case FAILED -> Problem.failed(p.code(), key(), "24");
      // Without the ledger it is unknown whether an earlier attempt with the key has run.
      case NOT_RUN ->
          p.code() == ErrorCode.NO_QUORUM && request.key() != null
              ? Problem.outcomeUnknown()
              : r != null ? r : Problem.notRun(p.code(), p.retryAfterSeconds(), key(), "24");
    };
  }

  private void startDispatch() {
    dispatch.start(
        request.deadlineMillis() + LATE_ANSWER_MILLIS,
        new ServiceDispatch.Result() {
          @Override
          public void answered(StoredAnswer answer) {
            onAnswer(answer);
          }

          @Override
          public void refused(Problem p) {
            onRefused(p);
          }

          @Override
          public void failed(FailureKind kind, String detail) {
            onFailed(kind);
          }
        });
  }

  private synchronized void intentReplied(@Nullable LedgerResult r, @Nullable Throwable failure) {
    if (r != null) {
      if (r.kind() == LedgerResult.Kind.JOIN) {
        emit(EventCode.REQUEST_JOINED, Map.of("owner", String.valueOf(r.owner())));
      }
      if (r.kind() == LedgerResult.Kind.FENCED) {
        incarnation.supersede(r.incarnation());
      }
      run(call.onIntentResult(r, now()));
      return;
    }
    Throwable cause = failure instanceof CompletionException c ? c.getCause() : failure;
    if (cause instanceof ProposalClient.ProposalFailure f && f.notSent()) {
      run(call.onLedgerUnreachable(now()));
    }
  }

  private synchronized void recordReplied(@Nullable LedgerResult r) {
    if (r != null) {
      run(call.onRecordResult(r, now()));
    }
  }

  private synchronized void pollReplied(@Nullable LedgerResult r) {
    if (r != null) {
      run(call.onPollResult(r, now()));
    }
  }

  private synchronized void onAnswer(StoredAnswer answer) {
    run(call.onAnswer(answer, now()));
  }

  private synchronized void onRefused(Problem p) {
    refusal = p;
    run(call.onNotRun(false, now()));
  }

  private synchronized void onFailed(FailureKind kind) {
    boolean notWritten =
        kind == FailureKind.NOT_SENT
            || kind == FailureKind.NOT_RUN
            || kind == FailureKind.OTHER_BOOT;
    if (!notWritten) {
      run(call.onConnectionLost(now()));
      return;
    }
    boolean mayRepeat = request.key() != null && !call.isAnswered();
    boolean retry = mayRepeat && parts.budget().tryRetry(request.workspace(), now());
    run(call.onNotRun(retry, now()));
  }

  private synchronized void onTimer() {
    long now = now();
    if (now >= request.deadlineMillis() && dispatch.withdraw()) {
      // The call was still queued in admission, so it certainly did not run.
      refusal = Problem.notRun(ErrorCode.DEADLINE_TOO_CLOSE, 1, "0", "0");
      run(call.onNotRun(false, now));
      return;
    }
    run(call.onTimer(now));
  }

  private void schedule() {
    TimerService.Subscription t = timer;
    if (t != null) {
      t.cancel();
    }
    long wake = call.nextWakeMillis();
    timer =
        wake == Long.MAX_VALUE
            ? null
            : parts.timers().after(Math.max(1, wake - now()), this::onTimer);
  }

  private String key() {
    String k = request.key();
    return k == null ? "" : k;
  }

  private long now() {
    return parts.timers().nowMillis();
  }

  private void emit(EventCode code, Map<String, String> fields) {
    parts.events().emit(code, "request/" + request.id(), fields);
  }
}
