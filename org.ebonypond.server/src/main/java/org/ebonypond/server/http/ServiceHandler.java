package org.ebonypond.server.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.ebonypond.admission.RetryPolicy;
import org.ebonypond.document.ServiceSpec;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.ledger.AnswerHeader;
import org.ebonypond.ledger.CallRequest;
import org.ebonypond.ledger.RequestDigest;
import org.ebonypond.ledger.StoredAnswer;
import org.ebonypond.server.backend.ServiceClient;
import org.ebonypond.server.entry.AtMostOnceRunner;
import org.ebonypond.server.entry.EntryIncarnation;
import org.ebonypond.server.entry.EntryParts;
import org.ebonypond.server.entry.IdempotentCall;
import org.ebonypond.server.entry.LedgerClient;
import org.ebonypond.server.entry.ServiceCallRequest;
import org.ebonypond.server.entry.ServiceCallSink;
import org.jspecify.annotations.Nullable;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Request;

/** Handles {@code /services/{service}/{path}}. */
final class ServiceHandler implements Handler {
  private static final int MAX_KEY_LENGTH = 256;
  // Headers that apply only to one connection, or that the entry sets itself.
  private static final Set<String> NOT_FORWARDED_HEADERS =
      Set.of(
          "host",
          "connection",
          "keep-alive",
          "transfer-encoding",
          "content-length",
          "te",
          "trailer",
          "upgrade",
          "expect",
          "ebonypond-boot",
          "ebonypond-request-id");

  private final EntryParts parts;
  private final RetryPolicy policy;
  private final LedgerClient ledger;
  private final ServiceClient services;
  private final EntryIncarnation incarnation;
  private final LongSupplier wallMillis;

  ServiceHandler(
      EntryParts parts,
      RetryPolicy policy,
      LedgerClient ledger,
      ServiceClient services,
      EntryIncarnation incarnation,
      LongSupplier wallMillis) {
    this.parts = parts;
    this.policy = policy;
    this.ledger = ledger;
    this.services = services;
    this.incarnation = incarnation;
    this.wallMillis = wallMillis;
  }

  @Override
  public void handle(Context ctx) {
    boolean keyed = ctx.getRequest().getHeaders().contains("Idempotency-Key");
    if (!parts.tracker().tryBegin()) {
      Problem p = Problem.notRun(ErrorCode.SHUTTING_DOWN, parts.tracker().retryAfterSeconds());
      Responses.problem(ctx, refusalBeforeLedger(p, keyed), "");
      return;
    }
    // Counts the HTTP request and, for an at-most-once call, its run: the process must not exit
    // before the outcome of an answered call is recorded in the ledger.
    AtomicInteger unfinished = new AtomicInteger(1);
    Runnable end =
        () -> {
          if (unfinished.decrementAndGet() == 0) {
            parts.tracker().end();
          }
        };
    ctx.onClose(outcome -> end.run());
    ctx.getRequest()
        .getBody()
        .then(
            body -> {
              ServiceCallRequest r;
              try {
                r = read(ctx, body.getBytes());
              } catch (EbonypondException e) {
                boolean malformed = e.code() == ErrorCode.BAD_REQUEST;
                Responses.problem(ctx, refusalBeforeLedger(Problem.of(e), keyed && !malformed), "");
                return;
              }
              start(ctx, r, unfinished, end);
            });
  }

  private void start(Context ctx, ServiceCallRequest r, AtomicInteger unfinished, Runnable end) {
    if (!parts.follower().mayStart()) {
      Problem p = Problem.notRun(ErrorCode.VIEW_STALE, 1);
      Responses.problem(ctx, refusalBeforeLedger(p, r.key() != null), r.id());
      return;
    }
    Promise.<Result>async(
            downstream -> {
              Sink sink = new Sink(downstream);
              if (r.idempotent()) {
                new IdempotentCall(parts, policy, services, r, sink).start();
              } else {
                unfinished.incrementAndGet();
                new AtMostOnceRunner(
                        parts, ledger, incarnation, services, r, callRequest(r), sink, end)
                    .start();
              }
            })
        .then(result -> send(ctx, r, result));
  }

  /**
   * Returns the refusal of a call for which the ledger was not consulted. With an idempotency key
   * its outcome is unknown, because an earlier attempt with the same key may have run; repeating
   * the call with the same key is safe.
   */
  private static Problem refusalBeforeLedger(Problem refusal, boolean keyed) {
    return keyed
        ? new Problem(
            refusal.status(),
            refusal.code(),
            Outcome.OUTCOME_UNKNOWN,
            refusal.detail(),
            refusal.retryAfterSeconds())
        : refusal;
  }

  private CallRequest callRequest(ServiceCallRequest r) {
    return new CallRequest(
        r.workspace(),
        r.key(),
        RequestDigest.of(r.method(), "/" + r.service() + r.path(), r.body()),
        incarnation.nextAttempt(),
        parts.timers().nowMillis(),
        r.deadlineMillis(),
        wallMillis.getAsLong());
  }

  private ServiceCallRequest read(Context ctx, byte[] body) {
    Request request = ctx.getRequest();
    final CallerHeaders h = CallerHeaders.read(request.getHeaders(), parts);
    String name = ctx.getPathTokens().get("service");
    ServiceSpec s =
        h.document()
            .service(String.valueOf(name))
            .orElseThrow(
                () -> new EbonypondException(ErrorCode.UNKNOWN_SERVICE, String.valueOf(name)));
    String method = request.getMethod().getName().toUpperCase(Locale.ROOT);
    String prefix = "services/" + name;
    String raw = request.getRawUri().substring(1);
    String suffix = raw.startsWith(prefix) ? raw.substring(prefix.length()) : "";
    String path = suffix.startsWith("/") ? suffix : "/" + suffix;
    int query = path.indexOf('?');
    String pathWithoutQuery = query < 0 ? path : path.substring(0, query);
    return new ServiceCallRequest(
        h.requestId(),
        h.workspace(),
        s.name(),
        method,
        path,
        forwardedHeaders(request),
        body,
        key(request.getHeaders().get("Idempotency-Key")),
        s.isIdempotent(method, pathWithoutQuery),
        h.priority(),
        h.deadlineMillis());
  }

  private static @Nullable String key(@Nullable String text) {
    if (text == null) {
      return null;
    }
    if (text.isBlank() || text.length() > MAX_KEY_LENGTH) {
      throw new EbonypondException(
          ErrorCode.BAD_REQUEST,
          "Idempotency-Key must have 1 to " + MAX_KEY_LENGTH + " characters");
    }
    return text;
  }

  private static List<AnswerHeader> forwardedHeaders(Request request) {
    List<AnswerHeader> out = new ArrayList<>();
    for (String n : request.getHeaders().getNames()) {
      if (!NOT_FORWARDED_HEADERS.contains(n.toLowerCase(Locale.ROOT))) {
        out.add(new AnswerHeader(n, request.getHeaders().get(n)));
      }
    }
    return out;
  }

  private static void send(Context ctx, ServiceCallRequest r, Result result) {
    if (result.problem != null) {
      Responses.problem(ctx, result.problem, r.id());
      return;
    }
    StoredAnswer a = Objects.requireNonNull(result.answer);
    ctx.getResponse().status(a.status());
    for (AnswerHeader h : a.headers()) {
      ctx.getResponse().getHeaders().set(h.name(), h.value());
    }
    ctx.getResponse().getHeaders().set(Responses.REQUEST_ID, r.id());
    if (result.replayed) {
      ctx.getResponse().getHeaders().set("Ebonypond-Replayed", "true");
    }
    ctx.getResponse().send(a.body());
  }

  private record Result(
      @Nullable StoredAnswer answer, boolean replayed, @Nullable Problem problem) {}

  private static final class Sink implements ServiceCallSink {
    private final Downstream<? super Result> downstream;

    Sink(Downstream<? super Result> downstream) {
      this.downstream = downstream;
    }

    @Override
    public void answer(StoredAnswer answer, boolean replayed) {
      downstream.success(new Result(answer, replayed, null));
    }

    @Override
    public void problem(Problem p) {
      downstream.success(new Result(null, false, p));
    }
  }
}
