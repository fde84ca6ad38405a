package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.admission.RetryPolicy;
import org.ebonypond.admission.ServiceRates;
import org.ebonypond.errors.Outcome;
import org.ebonypond.junit.FakePlainService;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.ledger.CallRequest;
import org.ebonypond.ledger.RequestDigest;
import org.ebonypond.ledger.StoredAnswer;
import org.ebonypond.server.backend.BackendFailure;
import org.ebonypond.server.backend.FailureKind;
import org.ebonypond.server.backend.ServiceClient;
import org.ebonypond.server.backend.ServiceRequest;
import org.ebonypond.server.control.ProposalClient;
import org.ebonypond.server.http.Problem;
import org.ebonypond.server.transport.FrameType;
import org.jspecify.annotations.Nullable;

/** One incarnation of an entry that calls a plain service and can be killed. */
final class ServiceEntry implements ServiceClient {
  final EntryFixture entry;
  final EntryIncarnation incarnation;
  private final ManualTimerService timers;
  private final FakePlainService service;
  private final LedgerClient ledger;
  private final String name;
  private int calls;

  /** Number of started calls whose outcome the ledger does not hold yet. */
  int unfinished;

  ServiceEntry(
      String name,
      long firstIncarnation,
      ManualTimerService timers,
      FakeLedgerReplica replica,
      FakePlainService service) {
    this.name = name + "-" + firstIncarnation;
    this.timers = timers;
    this.service = service;
    this.entry = new EntryFixture(timers, 1, 4, firstIncarnation);
    entry.peers.handlers.put(FrameType.PROPOSE, replica::ask);
    entry.peers.handlers.put(FrameType.LEDGER_LOOKUP, replica::ask);
    ProposalClient proposals = new ProposalClient(entry.peers, timers, FakePeers.REPLICAS);
    this.ledger = new LedgerClient(proposals, entry.peers, FakePeers.REPLICAS, 1);
    this.incarnation = new EntryIncarnation(name, firstIncarnation, timers::nowMillis, ledger);
    incarnation.announce();
  }

  /** Drops all messages from and to the process from now on. */
  void kill() {
    entry.peers.killed = true;
  }

  private ServiceCallRequest request(
      @Nullable String key, String body, boolean idempotent, long deadlineMillis) {
    return new ServiceCallRequest(
        name + "/" + incarnation.current() + "/" + ++calls,
        "w",
        EntryFixture.SERVICE,
        "POST",
        "/orders",
        List.of(),
        body.getBytes(StandardCharsets.UTF_8),
        key,
        idempotent,
        5,
        timers.nowMillis() + deadlineMillis);
  }

  Call callIdempotent(String body, long deadlineMillis) {
    ServiceCallRequest r = request(null, body, true, deadlineMillis);
    Call call = new Call(this, r.id(), body);
    RetryPolicy policy = new RetryPolicy(entry.parts.budget(), new ServiceRates());
    new IdempotentCall(entry.parts, policy, this, r, call).start();
    return call;
  }

  Call call(@Nullable String key, String body, long deadlineMillis) {
    final ServiceCallRequest r = request(key, body, false, deadlineMillis);
    long now = timers.nowMillis();
    CallRequest c =
        new CallRequest(
            "w",
            key,
            RequestDigest.of("POST", "/orders", r.body()),
            incarnation.nextAttempt(),
            now,
            r.deadlineMillis(),
            now);
    Call call = new Call(this, r.id(), body);
    unfinished++;
    new AtMostOnceRunner(entry.parts, ledger, incarnation, this, r, c, call, () -> unfinished--)
        .start();
    return call;
  }

  @Override
  public CompletableFuture<StoredAnswer> call(ServiceRequest r) {
    CompletableFuture<StoredAnswer> out = new CompletableFuture<>();
    if (entry.peers.killed) {
      return out;
    }
    timers.after(
        r.timeoutMillis(), () -> end(() -> out.completeExceptionally(failure(FailureKind.BROKEN))));
    String body = new String(r.body(), StandardCharsets.UTF_8);
    service.send(
        r.requestId(),
        body,
        new FakePlainService.Client() {
          @Override
          public void notWritten() {
            end(() -> out.completeExceptionally(failure(FailureKind.NOT_SENT)));
          }

          @Override
          public void connectionLost() {
            end(() -> out.completeExceptionally(failure(FailureKind.BROKEN)));
          }

          @Override
          public void answered(StoredAnswer answer) {
            end(() -> out.complete(answer));
          }
        });
    return out;
  }

  private void end(Runnable event) {
    if (!entry.peers.killed) {
      event.run();
    }
  }

  private static BackendFailure failure(FailureKind kind) {
    return new BackendFailure(kind, "test");
  }

  /** A caller that counts its answers; the body of its request identifies the work. */
  static final class Call implements ServiceCallSink {
    final String id;
    final String body;
    @Nullable StoredAnswer answer;
    @Nullable Problem problem;
    int ends;
    private final ServiceEntry owner;

    Call(ServiceEntry owner, String id, String body) {
      this.owner = owner;
      this.id = id;
      this.body = body;
    }

    boolean isEntryKilled() {
      return owner.entry.peers.killed;
    }

    @Override
    public void answer(StoredAnswer a, boolean replayed) {
      ends += owner.entry.peers.killed ? 0 : 1;
      answer = a;
    }

    @Override
    public void problem(Problem p) {
      ends += owner.entry.peers.killed ? 0 : 1;
      problem = p;
    }

    void check(FakePlainService service) {
      if (isEntryKilled()) {
        return;
      }
      assertEquals(1, ends, "answers to " + id);
      if (answer != null) {
        assertEquals(FakePlainService.answerOf(body), answer);
        assertNull(problem);
      } else if (problem != null && problem.outcome() == Outcome.NOT_RUN) {
        service.declareNotRun(id);
      }
    }
  }
}
