package org.ebonypond.server.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
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

  /** An attempt without a chunk for this long is stalled; tokens usually come every 53 ms. */
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

  /** The running attempts by number; events of others are ignored. */
  private final Map<Integer, EngineAttempt> running = new LinkedHashMap<>();

  /** The attempt that waits for admission. */
  private @Nullable AdmissionRequest waiting;

  /**
   * Whether the attempt that waits for admission is paid for: the first one, or a charged retry.
   */
  private boolean charged = true;

  /** An admitted attempt that has not been dispatched. */
  private Decision.@Nullable Admitted<Reservation> admitted;

  private TimerService.@Nullable Subscription timer;
  private int admissions;
  private int dispatches;
  private int brokenWithoutOutput;
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
    resume.onCallerDisconnected();
    emit(EventCode.REQUEST_CANCELLED, Map.of());
    stopAll();
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
    AdmissionRequest a = admissionRequest();
    waiting = a;
    parts.gate().submit(a, route.withTried(tried), d -> decided(a, d));
  }

  private void withdraw() {
    AdmissionRequest a = waiting;
    waiting = null;
    if (a != null) {
      parts.gate().cancel(a);
    }
  }

  private synchronized void decided(AdmissionRequest a, Decision<Reservation> d) {
    // Another thread may deliver the decision on an attempt that was withdrawn meanwhile.
    boolean withdrawn = ended || a != waiting;
    if (!withdrawn) {
      waiting = null;
    }
    if (d instanceof Decision.Admitted<Reservation> granted) {
      if (withdrawn) {
        parts.gate().released(a, granted.reservation());
      } else {
        admitted(granted);
      }
      return;
    }
    if (withdrawn) {
      return;
    }
    if (!running.isEmpty()) {
      goOn();
      return;
    }
    Decision.Refused<Reservation> r = (Decision.Refused<Reservation>) d;
    long left = request.deadlineMillis() - parts.timers().nowMillis();
    problem(
        dispatches == 0
            ? Problem.notRun(r.code(), r.retryAfterSeconds(), RequestGate.messageArguments(r, left))
            : Problem.failed(r.code(), RequestGate.messageArguments(r, left)));
  }

  private void admitted(Decision.Admitted<Reservation> granted) {
    admitted = granted;
    boolean mayStart = parts.follower().mayStart();
    if (!running.isEmpty()
        && !(mayStart && !runsAt(granted.reservation().target()) && tryCharge())) {
      releaseAdmitted();
      goOn();
      return;
    }
    if (!mayStart) {
      problem(
          dispatches == 0
              ? Problem.notRun(ErrorCode.VIEW_STALE, 1)
              : Problem.failed(ErrorCode.VIEW_STALE));
      return;
    }
    long now = parts.timers().nowMillis();
    run(dispatches == 0 ? resume.start(now) : resume.onAccepted(now));
    releaseAdmitted();
  }

  private boolean runsAt(Target t) {
    return running.values().stream().anyMatch(a -> a.reservation.target().key().equals(t.key()));
  }

  private boolean tryCharge() {
    charged = charged || parts.budget().tryRetry(request.workspace(), parts.timers().nowMillis());
    return charged;
  }

  /** Goes on with the running attempts, since no other group takes the request now. */
  private void goOn() {
    resume.onRefused(parts.timers().nowMillis());
    schedule();
  }

  private void releaseAdmitted() {
    Decision.Admitted<Reservation> a = admitted;
    admitted = null;
    if (a != null) {
      parts.gate().released(a.request(), a.reservation());
    }
  }

  private void run(List<StreamAction> actions) {
    for (StreamAction a : actions) {
      if (a instanceof StreamAction.Dispatch d) {
        dispatch(d);
      } else if (a instanceof StreamAction.Cancel c) {
        stopAttempt(c.attempt());
      } else if (a instanceof StreamAction.Fail f) {
        failed(f);
      }
    }
    schedule();
  }

  private void dispatch(StreamAction.Dispatch d) {
    final Decision.Admitted<Reservation> granted = Objects.requireNonNull(admitted);
    final Target t = granted.reservation().target();
    admitted = null;
    dispatches = d.attempt();
    tried.add(t.key());
    causeId =
        emit(
            d.attempt() == 1 ? EventCode.REQUEST_DISPATCHED : EventCode.REQUEST_RESUMED,
            Map.of("target", t.key(), "boot", t.boot(), "offset", String.valueOf(d.offset())));
    EngineAttempt a =
        new EngineAttempt(
            granted.request(), granted.reservation(), d, causeId, parts.timers().nowMillis());
    running.put(d.attempt(), a);
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
    if (running.containsKey(d.attempt())) {
      a.started(started);
    }
  }

  private synchronized void chunk(int number, long offset, String json) {
    EngineAttempt a = running.get(number);
    if (ended || a == null) {
      return;
    }
    JsonNode n = parse(json);
    if (!isChunk(n)) {
      a.stopEngine();
      retry(number, FailureKind.BROKEN, "event " + offset + " is no chunk of an answer");
      return;
    }
    ChunkResult p =
        assembler.add(
            new Chunk(request.id(), number, offset - request.firstOffset(), json, isLast(n)));
    switch (p.kind()) {
      case DELIVERED -> delivered(number, a, p);
      case NO_ROOM, CONTRADICTION -> {
        a.stopEngine();
        retry(number, FailureKind.BROKEN, "chunk " + offset + ": " + p.kind());
      }
      default -> {
        // Chunks that are buffered, duplicate, stale or of another request are not delivered now.
      }
    }
  }

  private void delivered(int number, EngineAttempt a, ChunkResult p) {
    long now = parts.timers().nowMillis();
    a.onChunk(now);
    withdraw();
    for (StreamAction s : resume.onProgress(number, now)) {
      if (s instanceof StreamAction.Cancel c) {
        superseded(c.attempt(), number);
      }
    }
    a.reservation.progress(p.deliver().size());
    for (Chunk c : p.deliver()) {
      sink.chunk(c.offset() + request.firstOffset(), c.data());
    }
    if (ended) {
      // The sink gave up the call.
      return;
    }
    if (assembler.isComplete()) {
      completed(number, a);
      return;
    }
    schedule();
  }

  /** Stops an attempt because another one has continued the answer. */
  private void superseded(int number, int by) {
    if (number > by) {
      stopAttempt(number);
      return;
    }
    EngineAttempt a = running.remove(number);
    if (a != null) {
      a.stopEngine();
      parts.gate().failed(a.admission, a.reservation);
      emitFailed(FailureKind.BROKEN, "no chunk before that of attempt " + by);
    }
  }

  private void completed(int number, EngineAttempt a) {
    running.remove(number);
    int tokens = (int) assembler.resumeOffset();
    emit(EventCode.REQUEST_COMPLETED, Map.of("tokens", String.valueOf(tokens)));
    parts.metrics().counter("requests.completed").inc();
    parts.metrics().timer("first.token").update((long) a.firstTokenMillis(), TimeUnit.MILLISECONDS);
    parts
        .gate()
        .completed(
            a.admission, a.reservation, tokens, a.tokenMillis(tokens, parts.timers().nowMillis()));
    end();
    sink.done();
  }

  private synchronized void attemptEnded(int number) {
    if (!ended && running.containsKey(number)) {
      retry(number, FailureKind.BROKEN, "the answer ended without its last chunk");
    }
  }

  private synchronized void attemptFailed(int number, FailureKind kind, String detail) {
    if (!ended && running.containsKey(number)) {
      retry(number, kind, detail);
    }
  }

  private void retry(int number, FailureKind kind, String detail) {
    EngineAttempt a = running.remove(number);
    if (a == null) {
      return;
    }
    release(a, kind);
    emitFailed(kind, detail);
    if (kind == FailureKind.BROKEN && assembler.resumeOffset() == 0) {
      brokenWithoutOutput++;
    }
    if (!running.isEmpty()) {
      // An attempt beside it may still answer.
      resume.onEnded(number, isNotRun(kind));
      schedule();
      return;
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
    if (waiting == null) {
      charged = false;
    }
    if (!tryCharge()) {
      run(
          resume.onFailed(
              number, isNotRun(kind), new StreamResume.ResumeConditions(true, false), now));
      return;
    }
    resume.onEnded(number, isNotRun(kind));
    if (waiting == null) {
      findUntried();
      ask();
    }
  }

  /** Asks another group to accept the request. */
  private void ask() {
    emit(EventCode.REQUEST_RETRIED, Map.of("offset", String.valueOf(assembler.resumeOffset())));
    submit();
  }

  /** Returns whether another group is in service, beside those of the running attempts. */
  private boolean findUntried() {
    if (parts.gate().hasUntried(route, tried)) {
      return true;
    }
    // Every group was tried; one that refused or failed before may serve the next attempt.
    tried.clear();
    running.values().forEach(a -> tried.add(a.reservation.target().key()));
    return parts.gate().hasUntried(route, tried);
  }

  private void release(EngineAttempt a, FailureKind kind) {
    // A broken connection often means that the process died. If the process is alive, its next
    // report ends the suspicion.
    if (kind != FailureKind.NOT_RUN && kind != FailureKind.REJECTED) {
      suspect(a, kind);
    }
    // An invalid request is no sign of a fault of the group.
    if (isNotRun(kind) || kind == FailureKind.REJECTED) {
      parts.gate().released(a.admission, a.reservation);
    } else {
      parts.gate().failed(a.admission, a.reservation);
    }
  }

  private void suspect(EngineAttempt a, FailureKind kind) {
    Target t = a.reservation.target();
    long now = parts.timers().nowMillis();
    if (parts.routing().suspicion().suspect(t.instance(), t.boot(), now)) {
      parts
          .events()
          .emit(
              EventCode.INSTANCE_SUSPECTED,
              "instance/" + t.instance(),
              List.of(a.causeId),
              Map.of("boot", t.boot(), "kind", kind.name()));
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
    stopAll();
    end();
    sink.problem(p);
  }

  private void stopAttempt(int number) {
    EngineAttempt a = running.remove(number);
    if (a != null) {
      a.stopEngine();
      parts.gate().released(a.admission, a.reservation);
    }
  }

  private void stopAll() {
    withdraw();
    releaseAdmitted();
    List.copyOf(running.keySet()).forEach(this::stopAttempt);
  }

  private void end() {
    ended = true;
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
    if (ended || running.isEmpty()) {
      return;
    }
    if (resume.wantsAnother(now)) {
      stalled();
      return;
    }
    run(resume.onTimer(new StreamResume.ResumeConditions(false, false), now));
  }

  /**
   * Asks another group while the stalled attempts go on, since the group may refuse the request.
   */
  private void stalled() {
    running.values().forEach(a -> suspect(a, FailureKind.BROKEN));
    boolean suspicious =
        assembler.resumeOffset() == 0
            && brokenWithoutOutput + running.size() >= MAX_BROKEN_WITHOUT_OUTPUT;
    if (suspicious || !findUntried()) {
      goOn();
      return;
    }
    charged = false;
    resume.onAsked();
    ask();
    schedule();
  }

  private void emitFailed(FailureKind kind, String detail) {
    emit(EventCode.REQUEST_FAILED, Map.of("kind", kind.name(), "detail", detail));
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
