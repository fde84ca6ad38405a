package org.ebonypond.server.entry;

import java.util.Map;
import org.ebonypond.admission.FailedAttempt;
import org.ebonypond.admission.RetryClass;
import org.ebonypond.admission.RetryDecision;
import org.ebonypond.admission.RetryPolicy;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.events.EventCode;
import org.ebonypond.ledger.StoredAnswer;
import org.ebonypond.server.backend.FailureKind;
import org.ebonypond.server.backend.ServiceClient;
import org.ebonypond.server.http.Problem;

/** Runs one idempotent call of a plain service and retries it on other instances if it fails. */
public final class IdempotentCall {
  private final EntryParts parts;
  private final RetryPolicy policy;
  private final ServiceCallRequest request;
  private final ServiceCallSink sink;
  private final ServiceDispatch dispatch;

  /**
   * Creates a call that has not started.
   *
   * @param parts the components of the entry
   * @param policy decides whether a failed attempt is retried
   * @param services sends requests to plain services
   * @param request the caller's request
   * @param sink receives the answer
   */
  public IdempotentCall(
      EntryParts parts,
      RetryPolicy policy,
      ServiceClient services,
      ServiceCallRequest request,
      ServiceCallSink sink) {
    this.parts = parts;
    this.policy = policy;
    this.request = request;
    this.sink = sink;
    this.dispatch = new ServiceDispatch(parts, services, request);
  }

  /** Starts the call. */
  public void start() {
    parts.budget().onFirstAttempt(request.workspace(), parts.timers().nowMillis());
    attempt();
  }

  private void attempt() {
    dispatch.start(request.deadlineMillis(), new AttemptResult());
  }

  private void failed(FailureKind kind) {
    long now = parts.timers().nowMillis();
    RetryDecision d =
        policy.decide(
            new FailedAttempt(
                request.workspace(),
                "service/" + request.service(),
                RetryClass.IDEMPOTENT,
                toAdmissionKind(kind),
                dispatch.attempts(),
                1,
                request.deadlineMillis()),
            now);
    if (d instanceof RetryDecision.Final f) {
      sink.problem(
          f.outcome() == Outcome.NOT_RUN
              ? Problem.notRun(f.code(), f.retryAfterSeconds(), "0", "0")
              : Problem.failed(f.code(), kind.name(), "0"));
      return;
    }
    parts.events().emit(EventCode.REQUEST_RETRIED, "request/" + request.id(), Map.of());
    attempt();
  }

  private static org.ebonypond.admission.FailureKind toAdmissionKind(FailureKind kind) {
    return switch (kind) {
      case NOT_SENT -> org.ebonypond.admission.FailureKind.NOT_DISPATCHED;
      case NOT_RUN, OTHER_BOOT -> org.ebonypond.admission.FailureKind.REFUSED_NOT_RUN;
      case BROKEN -> org.ebonypond.admission.FailureKind.CONNECTION_LOST;
      case REJECTED -> org.ebonypond.admission.FailureKind.CALLER_ERROR;
    };
  }

  private final class AttemptResult implements ServiceDispatch.Result {
    @Override
    public void answered(StoredAnswer answer) {
      parts
          .events()
          .emit(
              EventCode.REQUEST_COMPLETED,
              "request/" + request.id(),
              Map.of("status", String.valueOf(answer.status())));
      sink.answer(answer, false);
    }

    @Override
    public void refused(Problem p) {
      if (dispatch.attempts() > 1 && p.outcome() == Outcome.NOT_RUN) {
        // An earlier attempt may have run, so not-run would be wrong. A repeated call does no harm.
        sink.problem(Problem.failed(ErrorCode.UPSTREAM_FAILED, p.detail()));
        return;
      }
      sink.problem(p);
    }

    @Override
    public void failed(FailureKind kind, String detail) {
      IdempotentCall.this.failed(kind);
    }
  }
}
