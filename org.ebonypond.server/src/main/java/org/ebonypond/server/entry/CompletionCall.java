package org.ebonypond.server.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ebonypond.admission.AdmissionRequest;
import org.ebonypond.admission.Decision;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.events.EventCode;
import org.ebonypond.routing.PromptBlocks;
import org.ebonypond.routing.Reservation;
import org.ebonypond.routing.RouteRequest;
import org.ebonypond.routing.Target;
import org.ebonypond.server.backend.EngineClient;
import org.ebonypond.server.backend.EngineListener;
import org.ebonypond.server.backend.EngineRequest;
import org.ebonypond.server.backend.FailureKind;
import org.ebonypond.server.http.Problem;
import org.ebonypond.stream.Chunk;
import org.ebonypond.stream.ChunkAssembler;
import org.ebonypond.stream.ChunkResult;
import org.ebonypond.stream.StreamAction;
import org.ebonypond.stream.StreamResume;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Runs one completion: admission, dispatch, resumption on another group, and the answer. All events
 * of a call are handled under the lock of that call.
 */
public final class CompletionCall {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_BUFFERED_BYTES = 1 << 20;
  private static final int MAX_DISPATCHES = 4;

  /**
   * The number of attempts that may break before the first token. After two groups have broken on
   * the same prompt, the prompt is the more likely cause than chance.
   */
  private static final int MAX_BROKEN_WITHOUT_OUTPUT = 2;

  /** An attempt without a chunk for this long is abandoned; tokens usually come every 53 ms. */
  private static final long STALL_MILLIS = 5_000;

  /** No further attempt starts if the deadline is closer than this, in milliseconds. */
  private static final long MIN_REMAINING_MILLIS = 100;

  /** The estimated length of a token of the prompt, in characters. */
  private static final int CHARS_PER_TOKEN = 4;

  private final EntryParts parts;
  private final EngineClient engines;
  private final CompletionRequest request;
  private final CompletionSink sink;
  private final ChunkAssembler assembler;
  private final StreamResume resume;
  private final RouteRequest route;
  private final Set<String> tried = new HashSet<>();
  private String causeId = "";
  private AdmissionRequest admission;
  private @Nullable Reservation reservation;
  private EngineClient.@Nullable Attempt attempt;
  private TimerService.@Nullable Subscription timer;
  private int admissions;
  private int dispatches;
  private int brokenWithoutOutput;

  /** The number of the running attempt, or 0 if there is none; events of others are ignored. */
  private int runningAttempt;

  private long dispatchedMillis;
  private long attemptOffset;
  private double firstTokenMillis;
  private boolean waiting;
  private boolean ended;

  /**
   * Creates a call that has not started.
   *
   * @param parts the components of the entry
   * @param engines starts the attempts
   * @param request the caller's request
   * @param sink receives the answer
   */
  public CompletionCall(
      EntryParts parts, EngineClient engines, CompletionRequest request, CompletionSink sink) {
    this.parts = parts;
    this.engines = engines;
    this.request = request;
    this.sink = sink;
    this.assembler = new ChunkAssembler(request.id(), MAX_BUFFERED_BYTES);
    this.resume =
        new StreamResume(
            assembler,
            new StreamResume.Limits(
                request.deadlineMillis(), STALL_MILLIS, MIN_REMAINING_MILLIS, MAX_DISPATCHES));
    this.route =
        RouteRequest.model(
            request.id(),
            request.model(),
            request.workspace(),
            Math.max(1, request.prompt().length() / CHARS_PER_TOKEN),
            PromptBlocks.of(request.prompt()));
    this.admission = admissionRequest();
  }

  /** Starts the call. */
  public synchronized void start() {
    parts.budget().onFirstAttempt(request.workspace(), parts.timers().nowMillis());
    submit();
  }

  /** Cancels the call because its caller has disconnected. */
  public synchronized void callerDisconnected() {
    if (ended) {
      return;
    }
    if (!waiting) {
      resume.onCallerDisconnected();
    }
    parts.gate().cancel(admission);
    emit(EventCode.REQUEST_CANCELLED, Map.of());
    stopAttempt();
    end();
  }

  private AdmissionRequest admissionRequest() {
    int expected =
        request.maxTokens() > 0
            ? request.maxTokens()
            : (int) parts.routing().lengths().expected(request.model(), request.workspace());
    long left = Math.max(1, expected - assembler.resumeOffset());
    return new AdmissionRequest(
        request.id() + "#" + admissions++,
        RequestGate.pool(route),
        request.workspace(),
        request.priority(),
        route.promptTokens() + left,
        request.deadlineMillis());
  }

  private void submit() {
    waiting = true;
    admission = admissionRequest();
    parts.gate().submit(admission, route.withTried(tried), this::decided);
  }

  private synchronized void decided(Decision<Reservation> d) {
    waiting = false;
    if (d instanceof Decision.Admitted<Reservation> a) {
      admitted(a.reservation());
      return;
    }
    if (ended) {
      return;
    }
    Decision.Refused<Reservation> r = (Decision.Refused<Reservation>) d;
    long left = request.deadlineMillis() - parts.timers().nowMillis();
    problem(
        dispatches == 0
            ? Problem.notRun(r.code(), r.retryAfterSeconds(), RequestGate.messageArguments(r, left))
            : Problem.failed(r.code(), RequestGate.messageArguments(r, left)));
  }

  private void admitted(Reservation r) {
    if (ended) {
      parts.gate().released(admission, r);
      return;
    }
    if (!parts.follower().mayStart()) {
      parts.gate().released(admission, r);
      problem(
          dispatches == 0
              ? Problem.notRun(ErrorCode.VIEW_STALE, 1)
              : Problem.failed(ErrorCode.VIEW_STALE));
      return;
    }
    reservation = r;
    run(
        dispatches == 0
            ? resume.start(parts.timers().nowMillis())
            : resume.onFailed(
                dispatches,
                false,
                new StreamResume.ResumeConditions(true, true),
                parts.timers().nowMillis()));
  }

  private void run(List<StreamAction> actions) {
    for (StreamAction a : actions) {
      if (a instanceof StreamAction.Dispatch d) {
        dispatch(d);
      } else if (a instanceof StreamAction.Cancel) {
        stopAttempt();
      } else if (a instanceof StreamAction.Fail f) {
        failed(f);
      }
    }
    schedule();
  }

  private void dispatch(StreamAction.Dispatch d) {
    final Target t = Objects.requireNonNull(reservation).target();
    dispatches = d.attempt();
    dispatchedMillis = parts.timers().nowMillis();
    runningAttempt = d.attempt();
    attemptOffset = d.offset();
    firstTokenMillis = 0;
    tried.add(t.key());
    causeId =
        emit(
            d.attempt() == 1 ? EventCode.REQUEST_DISPATCHED : EventCode.REQUEST_RESUMED,
            Map.of("target", t.key(), "boot", t.boot(), "offset", String.valueOf(d.offset())));
    EngineClient.Attempt started =
        engines.start(
            new EngineRequest(
                request.id(),
                t.address(),
                t.boot(),
                request.engineBody(),
                request.firstOffset() + d.offset(),
                request.priority()),
            new AttemptListener(d.attempt()));
    if (runningAttempt == d.attempt()) {
      attempt = started;
    }
  }

  private synchronized void chunk(int number, long offset, String json) {
    if (ended || number != runningAttempt) {
      return;
    }
    JsonNode n = parse(json);
    if (!isChunk(n)) {
      stopEngine();
      retry(number, FailureKind.BROKEN, "event " + offset + " is no chunk of an answer");
      return;
    }
    ChunkResult p =
        assembler.add(
            new Chunk(request.id(), number, offset - request.firstOffset(), json, isLast(n)));
    switch (p.kind()) {
      case DELIVERED -> delivered(p);
      case NO_ROOM, CONTRADICTION -> {
        stopEngine();
        retry(number, FailureKind.BROKEN, "chunk " + offset + ": " + p.kind());
      }
      default -> {
        // Chunks that are buffered, duplicate, stale or of another request are not delivered now.
      }
    }
  }

  private void delivered(ChunkResult p) {
    long now = parts.timers().nowMillis();
    if (firstTokenMillis == 0) {
      firstTokenMillis = Math.max(1, now - dispatchedMillis);
    }
    resume.onProgress(now);
    Reservation r = reservation;
    if (r != null) {
      r.progress(p.deliver().size());
    }
    for (Chunk c : p.deliver()) {
      sink.chunk(c.offset() + request.firstOffset(), c.data());
    }
    if (ended) {
      // The sink gave up the call.
      return;
    }
    if (assembler.isComplete()) {
      completed();
      return;
    }
    schedule();
  }

  private void completed() {
    final Reservation r = Objects.requireNonNull(reservation);
    reservation = null;
    int tokens = (int) assembler.resumeOffset();
    emit(EventCode.REQUEST_COMPLETED, Map.of("tokens", String.valueOf(tokens)));
    parts.metrics().counter("requests.completed").inc();
    parts.metrics().timer("first.token").update((long) firstTokenMillis, TimeUnit.MILLISECONDS);
    parts.gate().completed(admission, r, tokens, tokenMillis());
    end();
    sink.done();
  }

  /** Returns the time between tokens of the last attempt, which is compared between groups. */
  private double tokenMillis() {
    long tokens = assembler.resumeOffset() - attemptOffset - 1;
    double span = parts.timers().nowMillis() - dispatchedMillis - firstTokenMillis;
    return tokens > 0 ? Math.max(0, span) / tokens : Double.NaN;
  }

  private synchronized void attemptEnded(int number) {
    if (!ended && number == runningAttempt) {
      retry(number, FailureKind.BROKEN, "the answer ended without its last chunk");
    }
  }

  private synchronized void attemptFailed(int number, FailureKind kind, String detail) {
    if (!ended && number == runningAttempt) {
      retry(number, kind, detail);
    }
  }

  private void retry(int number, FailureKind kind, String detail) {
    final Reservation r = reservation;
    reservation = null;
    attempt = null;
    // Other threads may still deliver events of the attempt.
    runningAttempt = 0;
    if (r != null) {
      release(r, kind);
    }
    emit(EventCode.REQUEST_FAILED, Map.of("kind", kind.name(), "detail", detail));
    if (kind == FailureKind.BROKEN && assembler.resumeOffset() == 0) {
      brokenWithoutOutput++;
    }
    if (kind == FailureKind.REJECTED || brokenWithoutOutput >= MAX_BROKEN_WITHOUT_OUTPUT) {
      problem(Problem.failed(ErrorCode.UPSTREAM_FAILED, detail));
      return;
    }
    long now = parts.timers().nowMillis();
    boolean tooLate = now + MIN_REMAINING_MILLIS > request.deadlineMillis();
    if (tooLate || dispatches >= MAX_DISPATCHES) {
      run(
          resume.onFailed(
              number, isNotRun(kind), new StreamResume.ResumeConditions(true, true), now));
      return;
    }
    if (!parts.budget().tryRetry(request.workspace(), now)) {
      run(
          resume.onFailed(
              number, isNotRun(kind), new StreamResume.ResumeConditions(true, false), now));
      return;
    }
    if (!parts.gate().hasUntried(route, tried)) {
      // Every group was tried; one that refused or failed before may serve the next attempt.
      tried.clear();
    }
    emit(EventCode.REQUEST_RETRIED, Map.of("offset", String.valueOf(assembler.resumeOffset())));
    submit();
  }

  private void release(Reservation r, FailureKind kind) {
    Target t = r.target();
    long now = parts.timers().nowMillis();
    // A broken connection often means that the process died. If the process is alive, its next
    // report ends the suspicion.
    boolean unreachable = kind != FailureKind.NOT_RUN && kind != FailureKind.REJECTED;
    if (unreachable && parts.routing().suspicion().suspect(t.instance(), t.boot(), now)) {
      parts
          .events()
          .emit(
              EventCode.INSTANCE_SUSPECTED,
              "instance/" + t.instance(),
              List.of(causeId),
              Map.of("boot", t.boot(), "kind", kind.name()));
    }
    // An invalid request is no sign of a fault of the group.
    if (isNotRun(kind) || kind == FailureKind.REJECTED) {
      parts.gate().released(admission, r);
    } else {
      parts.gate().failed(admission, r);
    }
  }

  private static boolean isNotRun(FailureKind kind) {
    return kind == FailureKind.NOT_SENT || kind == FailureKind.NOT_RUN;
  }

  private void failed(StreamAction.Fail f) {
    Object[] arguments =
        f.code() == ErrorCode.DEADLINE_TOO_CLOSE
            ? new Object[] {"0", "0"}
            : new Object[] {"no group completed the answer"};
    problem(
        f.notRun()
            ? Problem.notRun(f.code(), f.retryAfterSeconds(), arguments)
            : Problem.failed(f.code(), arguments));
  }

  private void problem(Problem p) {
    emit(
        p.outcome() == Outcome.NOT_RUN ? EventCode.REQUEST_REFUSED : EventCode.REQUEST_FAILED,
        Map.of("code", p.code().wireName()));
    parts.metrics().counter("requests.refused").inc();
    stopAttempt();
    end();
    sink.problem(p);
  }

  private void stopEngine() {
    EngineClient.Attempt a = attempt;
    attempt = null;
    runningAttempt = 0;
    if (a != null) {
      a.stop();
    }
  }

  private void stopAttempt() {
    stopEngine();
    Reservation r = reservation;
    reservation = null;
    if (r != null) {
      parts.gate().released(admission, r);
    }
  }

  private void end() {
    ended = true;
    runningAttempt = 0;
    cancelTimer();
  }

  private void schedule() {
    cancelTimer();
    long wake = ended ? Long.MAX_VALUE : resume.nextWakeMillis();
    if (wake != Long.MAX_VALUE) {
      long now = parts.timers().nowMillis();
      timer = parts.timers().after(Math.max(1, wake - now), this::onTimer);
    }
  }

  private void cancelTimer() {
    TimerService.Subscription t = timer;
    timer = null;
    if (t != null) {
      t.cancel();
    }
  }

  private synchronized void onTimer() {
    long now = parts.timers().nowMillis();
    if (ended || waiting) {
      return;
    }
    if (now >= request.deadlineMillis()) {
      run(resume.onTimer(new StreamResume.ResumeConditions(false, false), now));
      return;
    }
    if (now >= resume.nextWakeMillis()) {
      stopEngine();
      retry(dispatches, FailureKind.BROKEN, "no chunk for " + STALL_MILLIS + " ms");
      return;
    }
    schedule();
  }

  private String emit(EventCode code, Map<String, String> fields) {
    List<String> causes = causeId.isEmpty() ? List.of() : List.of(causeId);
    return parts.events().emit(code, "request/" + request.id(), causes, fields);
  }

  private static JsonNode parse(String json) {
    try {
      return JSON.readTree(json);
    } catch (JsonProcessingException e) {
      return MissingNode.getInstance();
    }
  }

  /** Returns whether a node is a chunk; an engine may report an error in its place. */
  private static boolean isChunk(JsonNode n) {
    return n.path("choices").isArray() && !n.hasNonNull("error");
  }

  private static boolean isLast(JsonNode chunk) {
    return chunk.path("choices").path(0).path("finish_reason").isTextual();
  }

  private final class AttemptListener implements EngineListener {
    private final int number;

    AttemptListener(int number) {
      this.number = number;
    }

    @Override
    public void onChunk(long offset, String json) {
      chunk(number, offset, json);
    }

    @Override
    public void onDone() {
      attemptEnded(number);
    }

    @Override
    public void onFailure(FailureKind kind, String detail) {
      attemptFailed(number, kind, detail);
    }
  }
}
