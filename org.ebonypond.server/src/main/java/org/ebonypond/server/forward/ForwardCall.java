package org.ebonypond.server.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.HeadLoad;
import org.ebonypond.forward.EngineCost;
import org.ebonypond.forward.EventSplitter;
import org.ebonypond.forward.InstanceStats;
import org.ebonypond.forward.TargetSelector;
import org.ebonypond.server.fleet.ReplicaDirectory;
import org.ebonypond.server.http1.BackendExchange;
import org.ebonypond.server.http1.BackendListener;
import org.ebonypond.server.http1.HttpCall;
import org.ebonypond.serving.CallKind;
import org.ebonypond.serving.ModelProfile;
import org.ebonypond.serving.RouteRule;
import org.ebonypond.serving.ServiceProfile;
import org.ebonypond.serving.ServingConfig;
import org.ebonypond.serving.WorkspaceProfile;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of a caller on its way through this entry. It ends with exactly one answer: a backend
 * server's own, or a refusal that says truthfully whether the request may have run.
 */
final class ForwardCall {
  /** Backend servers that refuse a request one after the other before the caller is refused. */
  private static final int MAX_REFUSALS = 3;

  /** A group whose requests make no progress for this long may have lost a member. */
  private static final long MIN_STALL_MILLIS = 160;

  /** A stall is that many passes without an event. */
  private static final double STALL_PASSES = 4;

  /** A request whose first event takes this multiple of its prediction has stalled. */
  private static final double FIRST_EVENT_FACTOR = 1.5;

  /** Without a prediction, a stream that is silent for this long has stalled. */
  private static final long UNPREDICTED_STALL_MILLIS = 1_000;

  /** An idempotent call that takes this multiple of its target goes to another instance. */
  private static final double SLOW_FACTOR = 2;

  private static final long MIN_SLOW_MILLIS = 300;

  /** A request with less time left is not sent again. */
  private static final long MIN_REMAINING_MILLIS = 100;

  /** A call that must not run twice avoids connections that may be closing at their other end. */
  private static final long FRESH_MILLIS = 1_000;

  /** The pause before a caller returns to an entry that knows no configuration yet. */
  private static final long START_PAUSE_MILLIS = 1_000;

  private static final long RETRY_PAUSE_MILLIS = 400;

  /** Callers come back only if they are asked to wait for this part of their time at most. */
  private static final int CALLER_PATIENCE = 3;

  /** Callers without a deadline are taken to wait for this long, in milliseconds. */
  private static final long UNKNOWN_DEADLINE_MILLIS = 60_000;

  /** A call waits for this part of its time at most. */
  private static final int WAIT_PART = 2;

  /** A stream that was broken off waits for this long for a place to go on, in milliseconds. */
  private static final long RESUME_WAIT_MILLIS = 1_000;

  /** The pause before a caller turns to another entry because this one stops. */
  private static final long STOPPING_PAUSE_MILLIS = 50;

  private final Forwarder owner;
  private final HttpCall call;
  private final CallHead head;
  private final TimerService timers;
  private final long receivedAt;
  private final int bodyBytes;
  private final RequestLog log;
  private final Set<String> tried = new HashSet<>();

  private @Nullable RouteRule route;
  private @Nullable ServiceProfile service;
  private @Nullable WorkspaceProfile workspace;
  private @Nullable EngineCost cost;
  private @Nullable ModelProfile model;
  private TimerService.@Nullable Subscription deadline;
  private TimerService.@Nullable Subscription waitLimit;
  private String sendCause = "first";
  private TargetSelector.@Nullable Decision rejection;
  private long deadlineAt;
  private @Nullable Attempt current;
  private @Nullable EventSplitter splitter;
  private int ran;
  private int refusals;
  private int sends;
  private boolean mayHaveRun;
  private boolean started;
  private boolean done;
  private long firstAt;
  private long lastPieceAt;
  private long longestGap;

  ForwardCall(Forwarder owner, HttpCall call, CallHead head) {
    this.owner = owner;
    this.call = call;
    this.head = head;
    this.timers = owner.timers();
    this.receivedAt = timers.nowMillis();
    this.bodyBytes = call.body().readableBytes();
    this.log = new RequestLog(head.id(), timers, receivedAt);
  }

  void start() {
    long wait = head.deadlineMillis() > 0 ? head.deadlineMillis() : UNKNOWN_DEADLINE_MILLIS;
    deadlineAt = receivedAt + wait;
    if (owner.isRefusing()) {
      finish(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping", STOPPING_PAUSE_MILLIS);
      return;
    }
    owner.opened(this);
    call.onClosed(this::callerLeft);
    call.onWritable(this::callerReadsOn);
    ServingConfig config = owner.view().config();
    if (config != null) {
      accept(config);
    } else if (!waitInQueue(0)) {
      refuseUnconfigured();
    }
  }

  private void refuseUnconfigured() {
    long pause = Math.min(START_PAUSE_MILLIS, remaining() / CALLER_PATIENCE);
    finish(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-configuration", pause);
  }

  /** Finds out what the request asks for, and sends it. */
  private void accept(ServingConfig config) {
    RouteRule r = config.route(head.host(), head.path());
    if (r == null) {
      finish(HttpResponseStatus.NOT_FOUND, "no-route", 0);
      return;
    }
    route = r;
    if (config.requiresKey() && !r.anonymous()) {
      workspace = head.key() == null ? null : config.workspace(head.key());
      if (workspace == null) {
        finish(HttpResponseStatus.UNAUTHORIZED, "unknown-key", 0);
        return;
      }
    }
    service = config.service(r.choose(owner.random().nextLong(Long.MAX_VALUE)));
    if (service == null) {
      finish(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-service", START_PAUSE_MILLIS);
      return;
    }
    if (service.engine() != null && head.model() != null) {
      cost = new EngineCost(service.engine());
      model = service.engine().model(head.model());
    }
    long wait = head.deadlineMillis() > 0 ? head.deadlineMillis() : Long.MAX_VALUE;
    deadlineAt = receivedAt + Math.min(wait, r.timeoutMillis());
    deadline = timers.after(remaining(), this::expired);
    owner.allowance().request(service.name(), receivedAt);
    dispatch("first");
  }

  /** Chooses an instance and sends the request, lets it wait, or refuses it. */
  private void dispatch(String cause) {
    dispatch(cause, true);
  }

  private void dispatch(String cause, boolean patient) {
    sendCause = cause;
    TargetSelector.Decision d = choose();
    if (d.target() != null) {
      send(d, cause);
      return;
    }
    rejection = d;
    if (!patient || !mayWait(d) || !waitInQueue(d.room())) {
      giveUp(d.reason(), d.pauseMillis());
    }
  }

  private boolean mayWait(TargetSelector.Decision d) {
    return d.room() > 0 || (sends == 0 && owner.queue().isLearning(timers.nowMillis()));
  }

  /**
   * Waits until this process knows more of the fleet, or until there is a place for a request that
   * is late. That takes half of the caller's time at most, so that there is time for an answer.
   *
   * @param room the calls that may wait
   * @return whether the call waits, now or still
   */
  private boolean waitInQueue(int room) {
    long now = timers.nowMillis();
    if (waitLimit != null) {
      return true;
    }
    long part = Math.min(CallQueue.MAX_WAIT_MILLIS, (deadlineAt - receivedAt) / WAIT_PART);
    long until = started ? now + RESUME_WAIT_MILLIS : receivedAt + part;
    if (until <= now || !owner.queue().add(this, room, now)) {
      return false;
    }
    log.waits(sendCause, until - now);
    waitLimit = timers.after(until - now, this::waitedLongEnough);
    return true;
  }

  int bodyBytes() {
    return bodyBytes;
  }

  /** Goes on with a call that waits. */
  void tryAgain() {
    ServingConfig config = owner.view().config();
    if (done || config == null) {
      return;
    }
    if (route == null) {
      accept(config);
    } else {
      dispatch(sendCause);
    }
  }

  private void waitedLongEnough() {
    stopWaiting();
    if (done) {
      return;
    }
    if (route == null) {
      refuseUnconfigured();
    } else {
      dispatch(sendCause, false);
    }
  }

  private TargetSelector.Decision choose() {
    ServiceProfile s = service();
    long now = timers.nowMillis();
    long target = route().targetMillis() - (now - receivedAt);
    TargetSelector.Need need =
        new TargetSelector.Need(
            model,
            head.promptTokens(),
            head.outputTokens(),
            deadlineAt - now,
            started ? deadlineAt - now : target,
            tried);
    EngineCost c = model == null ? null : cost;
    return owner
        .selector()
        .choose(
            need,
            owner.candidates(s, s.engine() == null ? null : head.model()),
            c,
            owner.view().entries(),
            now);
  }

  private void send(TargetSelector.Decision decision, String cause) {
    FleetInstance target = decision.target();
    if (target == null) {
      throw new IllegalArgumentException("no instance was chosen");
    }
    stopWaiting();
    sends++;
    tried.add(target.id());
    long now = timers.nowMillis();
    owner.guard().sent(target.id(), now);
    owner.metrics().sent(kind(), cause);
    EventSplitter s = splitter;
    if (s != null) {
      // The next instance begins with a whole event.
      s.dropPartialEvent();
    }
    Dispatch d =
        new Dispatch(
            target.id(),
            Math.max(1, deadlineAt - now),
            workspace == null ? null : workspace.name(),
            s == null ? head.resumeAfter() : s.lastId(),
            model == null ? -1 : decision.urgency());
    Attempt a = new Attempt(target, owner.stats(target.id()), decision.firstMillis(), now);
    current = a;
    HeadLoad others = owner.view().others(target.id());
    log.sent(cause, target, decision, d, a.stats, others);
    InetSocketAddress to = ReplicaDirectory.address(target.address());
    long maxIdle = route().idempotent() ? Long.MAX_VALUE : FRESH_MILLIS;
    a.exchange =
        owner
            .pool()
            .send(
                target.id(),
                to,
                owner.dialect().encode(call, d),
                call.body().retainedDuplicate(),
                maxIdle,
                a);
  }

  /** Moves a request away from an instance that makes no progress, if another one can take it. */
  void watch(long now) {
    Attempt a = current;
    RouteRule r = route;
    if (a == null || r == null || done || a.paused || !r.idempotent()) {
      return;
    }
    boolean stalled;
    if (r.kind() == CallKind.STREAM) {
      long limit = stallMillis(a, now);
      stalled = now - a.sentAt > limit && a.stats.idleMillis(now) > limit;
    } else {
      double slow = Math.max(MIN_SLOW_MILLIS, SLOW_FACTOR * r.targetMillis());
      stalled = now - a.sentAt > slow && a.reply == null;
    }
    if (!stalled || !hasRepeatLeft(a)) {
      return;
    }
    TargetSelector.Decision d = choose();
    if (d.target() == null || !takeRepeat()) {
      return;
    }
    log.moved("stalled", a.target.id(), sends);
    a.stop();
    a.stats.failed(now);
    mayHaveRun = true;
    ran++;
    send(d, "stalled");
  }

  private long stallMillis(Attempt a, long now) {
    ModelProfile m = model;
    EngineCost c = cost;
    if (m == null || c == null) {
      return UNPREDICTED_STALL_MILLIS;
    }
    double pass = c.passMillis(m, c.slots(), head.promptTokens()) * a.stats.slowness(now);
    double limit = Math.max(MIN_STALL_MILLIS, STALL_PASSES * pass);
    return (long) (a.lastEventAt > 0 ? limit : limit + FIRST_EVENT_FACTOR * a.predictedMillis);
  }

  private boolean hasRepeatLeft(Attempt a) {
    return ran + 1 < route().maxInstances() && remaining() > MIN_REMAINING_MILLIS;
  }

  private boolean takeRepeat() {
    return owner.allowance().take(service().name(), owner.view().entries(), timers.nowMillis());
  }

  private long remaining() {
    return deadlineAt - timers.nowMillis();
  }

  /** Goes on after an attempt that certainly did not run. */
  private void notRun(String reason, boolean arrived) {
    refusals++;
    boolean again =
        refusals <= MAX_REFUSALS
            && remaining() > MIN_REMAINING_MILLIS
            && (!arrived || takeRepeat());
    if (again) {
      dispatch(reason);
    } else {
      giveUp(reason, RETRY_PAUSE_MILLIS);
    }
  }

  /** Goes on after an attempt that may have run, or has run in part. */
  private void brokenOff(String reason) {
    mayHaveRun = true;
    ran++;
    boolean again =
        route().idempotent()
            && ran < route().maxInstances()
            && remaining() > MIN_REMAINING_MILLIS
            && takeRepeat();
    if (again) {
      dispatch(reason);
    } else {
      giveUp(reason, RETRY_PAUSE_MILLIS);
    }
  }

  private void giveUp(String reason, long pauseMillis) {
    if (started) {
      log.brokenOff(route().name(), reason, sends);
      owner.metrics().ended(kind(), "broken-off", reason, timers.nowMillis() - receivedAt);
      leave();
      call.abort();
    } else if (mayHaveRun) {
      finish(HttpResponseStatus.BAD_GATEWAY, reason, 0);
    } else {
      long most = Math.max(0, remaining() / CALLER_PATIENCE);
      finish(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, Math.min(pauseMillis, most));
    }
  }

  private void expired() {
    if (done) {
      return;
    }
    Attempt a = current;
    if (a != null) {
      a.stop();
      mayHaveRun = true;
    }
    if (started) {
      giveUp("deadline", 0);
    } else if (mayHaveRun) {
      finish(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline", 0);
    } else {
      finish(HttpResponseStatus.SERVICE_UNAVAILABLE, "deadline", 0);
    }
  }

  private void callerReadsOn() {
    Attempt a = current;
    if (a != null && a.paused) {
      a.stats.progressed(timers.nowMillis());
      a.readAnswer(true);
    }
  }

  private void callerLeft() {
    if (done) {
      return;
    }
    Attempt a = current;
    if (a != null) {
      a.stop();
    }
    log.cancelled("caller-left", a == null ? "" : a.target.id(), sends);
    owner.metrics().ended(kind(), "cancelled", "caller-left", timers.nowMillis() - receivedAt);
    leave();
  }

  /** Ends the call because the process stops. */
  void shutDown() {
    Attempt a = current;
    if (a != null) {
      a.stop();
      mayHaveRun = true;
    }
    giveUp("shutdown", 0);
  }

  private void finish(HttpResponseStatus status, String reason, long pauseMillis) {
    long took = timers.nowMillis() - receivedAt;
    TargetSelector.Decision d = rejection;
    log.refused(
        route == null ? "" : route.name(),
        workspace == null ? "" : workspace.name(),
        status.code(),
        reason,
        sends,
        tried,
        owner.view().version(),
        d == null ? 0 : (long) d.endMillis(),
        remaining(),
        pauseMillis);
    owner.metrics().ended(kind(), "refused", reason, took);
    leave();
    call.answer(owner.dialect().own(status, head.id(), pauseMillis), Unpooled.EMPTY_BUFFER);
  }

  private void stopWaiting() {
    TimerService.Subscription w = waitLimit;
    if (w != null) {
      w.cancel();
      waitLimit = null;
      owner.queue().remove(this);
    }
  }

  private void leave() {
    done = true;
    stopWaiting();
    current = null;
    TimerService.Subscription d = deadline;
    if (d != null) {
      d.cancel();
    }
    owner.closed(this);
  }

  private void completed(Attempt a, int status) {
    long now = timers.nowMillis();
    a.stats.succeeded(now);
    long first = firstAt == 0 ? now : firstAt;
    log.answered(route().name(), a.target.id(), status, sends, first - receivedAt, longestGap);
    owner.metrics().ended(kind(), "answered", "status-" + status / 100 + "xx", now - receivedAt);
    leave();
  }

  private String kind() {
    RouteRule r = route;
    return r == null ? "unknown" : r.kind().name().toLowerCase(Locale.ROOT);
  }

  private RouteRule route() {
    RouteRule r = route;
    if (r == null) {
      throw new IllegalStateException("the request has no route");
    }
    return r;
  }

  private ServiceProfile service() {
    ServiceProfile s = service;
    if (s == null) {
      throw new IllegalStateException("the request has no service");
    }
    return s;
  }

  /** One send to one instance. */
  final class Attempt implements BackendListener {
    final FleetInstance target;
    final InstanceStats stats;
    final long sentAt;
    final double predictedMillis;
    private final ByteBuf body = call.body().alloc().buffer();
    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private int unread = head.promptTokens();
    private boolean over;
    private boolean paused;
    private long lastEventAt;
    private @Nullable BackendReply reply;
    private @Nullable HttpHeaders headers;
    @Nullable BackendExchange exchange;

    Attempt(FleetInstance target, InstanceStats stats, double predictedMillis, long now) {
      this.target = target;
      this.predictedMillis = predictedMillis;
      this.stats = stats;
      this.sentAt = now;
      stats.started(unread, now);
    }

    /** Gives the attempt up; the backend server learns of it by the end of its connection. */
    void stop() {
      close();
      BackendExchange x = exchange;
      if (x != null) {
        x.cancel();
      }
    }

    private boolean close() {
      if (over) {
        return false;
      }
      over = true;
      stats.ended(unread);
      unread = 0;
      owner.held().remove(this);
      body.release();
      if (current == this) {
        current = null;
      }
      return true;
    }

    @Override
    public boolean head(HttpResponse h) {
      if (over) {
        return false;
      }
      BackendReply r = owner.dialect().reply(h);
      boolean mine = r.requestId() == null ? !r.isSuccess() : r.requestId().equals(head.id());
      if (!mine) {
        log.otherAnswer(target.id(), r.requestId());
        return false;
      }
      reply = r;
      headers = owner.dialect().passedOn(h);
      stats.progressed(timers.nowMillis());
      return true;
    }

    @Override
    public void content(ByteBuf bytes) {
      BackendReply r = reply;
      if (over || r == null) {
        return;
      }
      long now = timers.nowMillis();
      if (streams(r)) {
        pass(bytes, now);
      } else {
        stats.progressed(now);
        hold(bytes);
      }
    }

    private void hold(ByteBuf bytes) {
      Attempt tooLarge = owner.held().add(this, bytes.readableBytes());
      body.writeBytes(bytes);
      if (tooLarge != null) {
        tooLarge.giveUpAnswer("answer-too-large", "the memory for answers is used up");
      }
    }

    /** Gives up an answer that cannot become one, and its backend server for a while. */
    private void giveUpAnswer(String reason, String detail) {
      stop();
      stats.failed(timers.nowMillis());
      owner.metrics().sendFailed(kind(), reason);
      log.sendFailed(target, true, detail);
      brokenOff(reason);
    }

    private boolean streams(BackendReply r) {
      return route().kind() == CallKind.STREAM && r.isSuccess() && r.signed();
    }

    private void pass(ByteBuf bytes, long now) {
      EventSplitter s = splitter;
      if (s == null) {
        s = new EventSplitter(head.resumeAfter());
        splitter = s;
      }
      events.reset();
      int n;
      try {
        n = s.feed(ByteBufUtil.getBytes(bytes), events);
      } catch (EbonypondException e) {
        giveUpAnswer("no-answer", String.valueOf(e.getMessage()));
        return;
      }
      if (n == 0) {
        // Bytes without a new event are no progress.
        return;
      }
      stats.progressed(now);
      startAnswer(now);
      if (lastEventAt > 0) {
        observePace(now - lastEventAt, n);
      }
      lastEventAt = now;
      longestGap = lastPieceAt == 0 ? 0 : Math.max(longestGap, now - lastPieceAt);
      lastPieceAt = now;
      call.piece(Unpooled.wrappedBuffer(events.toByteArray()));
      if (!call.isWritable()) {
        readAnswer(false);
      }
    }

    /** Stops or resumes reading; the events of a caller who reads slowly stay where they are. */
    private void readAnswer(boolean on) {
      paused = !on;
      BackendExchange x = exchange;
      if (x != null && !over) {
        x.reading(on);
      }
    }

    private void startAnswer(long now) {
      if (unread > 0) {
        stats.prefilled(unread);
        unread = 0;
      }
      if (!started) {
        started = true;
        firstAt = now;
        owner.metrics().first(kind(), now - receivedAt);
        call.start(answerHead());
      }
    }

    private void observePace(long gapMillis, int n) {
      ModelProfile m = model;
      EngineCost c = cost;
      if (m != null && c != null) {
        double predicted = c.passMillis(m, stats.active(), head.promptTokens());
        stats.pace((double) gapMillis / n, predicted, timers.nowMillis());
      }
    }

    private HttpResponse answerHead() {
      BackendReply r = reply;
      HttpHeaders h = headers;
      if (r == null || h == null) {
        throw new IllegalStateException("no answer has arrived");
      }
      return new DefaultHttpResponse(
          HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(r.status()), h);
    }

    @Override
    public void end() {
      BackendReply r = reply;
      if (over || r == null) {
        return;
      }
      if (streams(r)) {
        endStream(r);
      } else {
        endWhole(r);
      }
    }

    private void endStream(BackendReply r) {
      EventSplitter s = splitter;
      if (s != null && s.hasPartialEvent()) {
        close();
        stats.failed(timers.nowMillis());
        owner.metrics().sendFailed(kind(), "unfinished-event");
        brokenOff("unfinished-event");
        return;
      }
      startAnswer(timers.nowMillis());
      if (s != null) {
        events.reset();
        s.finish(events);
        if (events.size() > 0) {
          call.piece(Unpooled.wrappedBuffer(events.toByteArray()));
        }
      }
      close();
      completed(this, r.status());
      call.end();
    }

    private void endWhole(BackendReply r) {
      long now = timers.nowMillis();
      ByteBuf whole = body.retain();
      close();
      if (r.notRun()) {
        whole.release();
        refused(r, now);
        return;
      }
      boolean unsound = r.isSuccess() && !r.signed();
      boolean failed = r.status() >= 500 && route().idempotent();
      if (unsound || started || (failed && canAskAnother())) {
        whole.release();
        stats.answeredFailure(now);
        owner.metrics().sendFailed(kind(), "status-" + r.status());
        brokenOff(unsound ? "unsigned" : "failed-" + r.status());
        return;
      }
      owner.metrics().first(kind(), now - receivedAt);
      HttpResponse h = answerHead();
      if (r.status() >= 500) {
        stats.answeredFailure(now);
      }
      completed(this, r.status());
      call.answer(h, whole);
    }

    private boolean canAskAnother() {
      return ran + 1 < route().maxInstances()
          && remaining() > MIN_REMAINING_MILLIS
          && choose().target() != null;
    }

    private void refused(BackendReply r, long now) {
      boolean full = r.status() == 503 && r.culprit() == null;
      if (full) {
        stats.full(now);
      } else {
        stats.failed(now);
      }
      owner.metrics().sendFailed(kind(), full ? "full" : "refused-" + r.status());
      log.backendRefused(target.id(), r);
      notRun(full ? "full" : "refused", true);
    }

    @Override
    public void failed(boolean sent, String reason) {
      if (!close()) {
        return;
      }
      long now = timers.nowMillis();
      stats.failed(now);
      owner.metrics().sendFailed(kind(), sent ? "cut" : "connect");
      log.sendFailed(target, sent, reason);
      if (sent) {
        brokenOff("cut");
      } else {
        notRun("connect", false);
      }
    }
  }
}
