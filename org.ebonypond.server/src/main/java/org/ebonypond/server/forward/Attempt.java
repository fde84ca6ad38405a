package org.ebonypond.server.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.forward.EngineCost;
import org.ebonypond.forward.EventSplitter;
import org.ebonypond.forward.InstanceStats;
import org.ebonypond.forward.TargetSelector;
import org.ebonypond.server.http1.BackendExchange;
import org.ebonypond.server.http1.BackendListener;
import org.ebonypond.server.relay.RelayObserver;
import org.ebonypond.server.relay.RelayStatus;
import org.ebonypond.server.timer.LoopTime;
import org.ebonypond.serving.CallKind;
import org.ebonypond.serving.ModelProfile;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to run a call on one instance: receives the backend server's answer and forwards it,
 * or reports to the call why it cannot be used.
 */
final class Attempt implements BackendListener {
  /**
   * Shortest stall, in milliseconds; a group without progress for longer may have lost a member.
   */
  private static final long MIN_STALL_MILLIS = 160;

  /** A stream has stalled after this many forward passes of the engine without an event. */
  private static final double STALL_PASSES = 4;

  /** A stream without a first event has stalled after this multiple of the predicted time. */
  private static final double FIRST_EVENT_FACTOR = 1.5;

  /** A stream without a prediction has stalled after this many milliseconds without an event. */
  private static final long UNPREDICTED_STALL_MILLIS = 1_000;

  /** An idempotent call moves to another instance after this multiple of its latency target. */
  private static final double SLOW_FACTOR = 2;

  /** Lower bound of the time after which an idempotent call moves, in milliseconds. */
  private static final long MIN_SLOW_MILLIS = 300;

  /** The status of another instance at the address, whose limit is not that of the target. */
  private static final int MISDIRECTED = 421;

  private static final int UNAVAILABLE = 503;

  private final ForwardCall owner;
  private final Forwarder forwarder;
  private final TimerService timers;
  private final LoopTime loopTime;
  private final CallerAnswer answer;
  private final FleetInstance target;
  private final InstanceStats stats;

  /** When the request was sent, or its answer was last read again, in loop time. */
  private long waitsSince;

  private final double predictedMillis;
  private final boolean late;
  private final EventSplitter splitter;
  private final ByteBuf body;
  private int pendingPrefillTokens;

  /** The number of answers to other requests; a server may write them without end. */
  private int dropped;

  private final @Nullable String relay;
  private @Nullable RelayStatus relayStatus;
  private boolean relayLost;
  private boolean silenceReported;
  private boolean closed;
  private boolean paused;
  private boolean wasPaused;
  private boolean endsWithConnection;

  /** When the last events arrived, in loop time; 0 if none has. */
  private long lastEventAt;

  private @Nullable BackendReply reply;
  private @Nullable HttpHeaders headers;
  private @Nullable BackendExchange exchange;

  /**
   * Starts an attempt, which counts as load of the instance from now on.
   *
   * @param owner the call
   * @param answer the answer to the caller, which an earlier attempt may have started
   * @param target the instance
   * @param selection why the instance was selected
   * @param relay the address of the entry through which the instance is reached; null for a direct
   *     connection
   * @param body an empty buffer for an answer that is not a stream; released at the end
   */
  Attempt(
      ForwardCall owner,
      Forwarder forwarder,
      CallerAnswer answer,
      FleetInstance target,
      TargetSelector.Selection selection,
      @Nullable String relay,
      ByteBuf body) {
    this.relay = relay;
    this.owner = owner;
    this.forwarder = forwarder;
    this.timers = forwarder.timers();
    this.answer = answer;
    this.target = target;
    this.stats = forwarder.stats(target.id());
    this.loopTime = forwarder.loopTime();
    this.waitsSince = loopTime.millis();
    this.predictedMillis = selection.firstMillis();
    this.splitter = answer.newSplitter();
    this.body = body;
    this.pendingPrefillTokens = owner.head().promptTokens();
    // Only a stream shows when its prompt has been processed.
    this.late = selection.late() && owner.route().kind() == CallKind.STREAM;
    stats.started(pendingPrefillTokens, late);
  }

  /** Sets the exchange that this attempt listens to. */
  void sent(BackendExchange x) {
    exchange = x;
  }

  FleetInstance target() {
    return target;
  }

  /** Returns whether the attempt uses this entry's own path to the instance. */
  boolean isDirect() {
    return relay == null;
  }

  InstanceStats stats() {
    return stats;
  }

  boolean isPaused() {
    return paused;
  }

  /** Continues to read the answer because the caller has read what was written. */
  void resume() {
    waitsSince = loopTime.millis();
    setReading(true);
  }

  /** Cancels the attempt by closing its connection, which the backend server notices. */
  void stop() {
    close();
    BackendExchange x = exchange;
    if (x != null) {
      x.cancel();
    }
  }

  private boolean close() {
    if (closed) {
      return false;
    }
    closed = true;
    if (dropped > 1) {
      owner.log().mismatchedAnswers(target.id(), dropped);
    }
    if (paused) {
      stats.resumed();
    }
    stats.ended(pendingPrefillTokens, late);
    pendingPrefillTokens = 0;
    forwarder.bufferedAnswers().remove(this);
    body.release();
    owner.ended(this);
    return true;
  }

  @Override
  public boolean head(HttpResponse h) {
    if (closed) {
      return false;
    }
    BackendReply r = forwarder.dialect().decodeReply(h);
    boolean matches =
        r.requestId() == null ? !r.isSuccess() : r.requestId().equals(owner.head().id());
    if (!matches) {
      dropped++;
      if (dropped == 1) {
        owner.log().mismatchedAnswer(target.id(), r.requestId());
      }
      return false;
    }
    if (!isAnswerToThisRequest(r)) {
      discardUnidentified();
      return false;
    }
    observeLimit(r);
    observeNotices(r);
    reply = r;
    headers = forwarder.dialect().forwardedHeaders(h);
    endsWithConnection = !HttpUtil.isContentLengthSet(h) && !HttpUtil.isTransferEncodingChunked(h);
    observeProgress();
    return true;
  }

  /** Records that bytes of the answer have arrived. */
  private void observeProgress() {
    stats.progressed();
    forwarder.paths().progressed(target, relay);
  }

  /** Records the rate that the instance accepts, unless the answer may be that of another one. */
  private void observeLimit(BackendReply r) {
    boolean named = r.acceptedPerSecond() != Double.POSITIVE_INFINITY;
    boolean ofTarget = r.requestId() != null && r.status() != MISDIRECTED;
    // Only a signed answer ends a limit: a refusal may come from something in front of the
    // instance.
    if (ofTarget && (named || r.signed())) {
      forwarder.observeLimit(target, r.acceptedPerSecond());
    }
  }

  /** Records what the instance says of itself, unless the answer may be that of another one. */
  private void observeNotices(BackendReply r) {
    if (r.requestId() == null || r.status() == MISDIRECTED) {
      return;
    }
    if (r.leaving()) {
      forwarder.observeLeaving(target);
    }
    if (r.status() == UNAVAILABLE && r.notRun() && r.retryAfterMillis() > 0) {
      forwarder.observePause(target, r.retryAfterMillis());
    }
  }

  @Override
  public void content(ByteBuf bytes) {
    BackendReply r = reply;
    if (closed || r == null) {
      return;
    }
    if (isStream(r)) {
      forwardEvents(bytes, timers.nowMillis());
    } else {
      observeProgress();
      buffer(bytes);
    }
  }

  private void buffer(ByteBuf bytes) {
    Attempt evicted = forwarder.bufferedAnswers().add(this, bytes.readableBytes());
    body.writeBytes(bytes);
    if (evicted != null) {
      evicted.discardAnswer("answer-too-large", "the limit of buffered answer bytes is reached");
    }
  }

  /**
   * Discards an answer that cannot be forwarded and records a failure of its instance, which is
   * then avoided for a while.
   */
  private void discardAnswer(String reason, String detail) {
    stop();
    stats.failed(timers.nowMillis());
    forwarder.metrics().sendFailed(owner.kind(), reason);
    logFailure(true, detail);
    owner.onPossiblyRun(target, reason);
  }

  private void logFailure(boolean sent, String cause) {
    owner.log().sendFailed(target, sent, lastEventAt > 0, owner.traits(), cause);
  }

  private boolean isStream(BackendReply r) {
    return owner.route().kind() == CallKind.STREAM && r.eventStream() && r.signed();
  }

  private void forwardEvents(ByteBuf bytes, long now) {
    String problem = null;
    try {
      answer.feed(splitter, ByteBufUtil.getBytes(bytes));
    } catch (EbonypondException e) {
      problem = String.valueOf(e.getMessage());
    }
    // Bytes that complete no event do not count as progress, and an attempt that has only sent
    // events without data has not begun to answer.
    if (splitter.bringsNews() || (splitter.events() > 0 && !owner.isRunningBeside(this))) {
      writeEvents(splitter.events(), now);
    }
    if (problem != null) {
      discardAnswer("no-answer", problem);
    }
  }

  private void writeEvents(int eventCount, long now) {
    final long silentMillis = stats.idleMillis();
    observeProgress();
    owner.answers(this);
    startAnswer(now);
    long eventAt = loopTime.millis();
    if (lastEventAt > 0 && !wasPaused) {
      observePace(eventAt - lastEventAt, eventCount, silentMillis);
    } else if (lastEventAt == 0) {
      forwarder.quarantine().began(owner.traits(), now);
    }
    lastEventAt = eventAt;
    answer.writeEvents(splitter, now);
    if (!answer.isWritable()) {
      setReading(false);
    }
  }

  /** Pauses or resumes reading, so that a slow caller exerts backpressure on the backend server. */
  private void setReading(boolean on) {
    if (closed || paused != on) {
      return;
    }
    paused = !on;
    if (paused) {
      // From now on the pace of the stream is that of its caller.
      wasPaused = true;
      stats.paused();
    } else {
      stats.resumed();
    }
    BackendExchange x = exchange;
    if (x != null) {
      x.setReading(on);
    }
  }

  private void startAnswer(long now) {
    if (pendingPrefillTokens > 0) {
      stats.prefilled(pendingPrefillTokens, late);
      pendingPrefillTokens = 0;
    }
    if (!answer.isStarted()) {
      forwarder.metrics().firstOutput(owner.kind(), now - owner.receivedAt());
      answer.start(answerHead(), now);
    }
  }

  /**
   * Records the pace of the stream. A silence counts once for all streams of the instance, and as
   * no more than a stall: it says little about the pace before and after it.
   *
   * @param silentMillis how long the instance had been silent, in milliseconds
   */
  private void observePace(long gapMillis, int eventCount, long silentMillis) {
    ModelProfile m = owner.model();
    EngineCost c = owner.cost();
    if (m == null || c == null) {
      return;
    }
    long now = timers.nowMillis();
    double predicted = c.passMillis(m, stats.active(), owner.head().promptTokens());
    double pace = (double) gapMillis / eventCount;
    long limit = stallMillis(now);
    if (gapMillis <= limit) {
      stats.recordPace(pace, predicted, now);
    } else if (silentMillis > limit) {
      stats.recordPace(Math.min(pace, STALL_PASSES * predicted), predicted, now);
    }
  }

  private HttpResponse answerHead() {
    BackendReply r = reply;
    HttpHeaders h = headers;
    if (r == null || h == null) {
      throw new IllegalStateException("no answer has arrived");
    }
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(r.status()), h);
  }

  @Override
  public void end() {
    BackendReply r = reply;
    if (closed || r == null) {
      return;
    }
    if (isStream(r)) {
      endStream(r);
    } else {
      endWhole(r);
    }
  }

  private void endStream(BackendReply r) {
    if (splitter.hasPartialEvent()) {
      close();
      brokenOff("unfinished-event", "the stream ended inside an event");
      return;
    }
    if (lastEventAt == 0 && owner.isRunningBeside(this)) {
      // Nothing shows that the stream is complete; the other attempt may have more of it.
      close();
      stats.answeredFailure(timers.nowMillis());
      forwarder.metrics().sendFailed(owner.kind(), "no-event");
      owner.onPossiblyRun(target, "no-event");
      return;
    }
    if (endsWithConnection && lastEventAt == 0) {
      // The end of the connection is also what the crash of an instance looks like.
      close();
      brokenOff("no-event", "the connection ended before the first event");
      return;
    }
    owner.answers(this);
    startAnswer(timers.nowMillis());
    answer.finishEvents(splitter);
    close();
    owner.completed(this, r.status());
    answer.end();
  }

  private void endWhole(BackendReply r) {
    long now = timers.nowMillis();
    ByteBuf whole = body.retain();
    close();
    if (r.notRun() && !r.isSuccess()) {
      whole.release();
      onRefused(r, now);
      return;
    }
    boolean invalidSuccess = r.isSuccess() && (r.notRun() || !r.signed());
    boolean undeclaredRefusal = r.impliesNotRun() && !owner.route().idempotent();
    // The address may have passed to another program, which knows nothing of this request.
    boolean unsignedRefusal = r.isFinalRefusal() && !r.signed();
    boolean failed = r.status() >= 500 && owner.route().idempotent();
    if (invalidSuccess
        || undeclaredRefusal
        || unsignedRefusal
        || answer.isStarted()
        || (failed && owner.canBeAnsweredElsewhere())) {
      whole.release();
      stats.answeredFailure(now);
      forwarder.metrics().sendFailed(owner.kind(), "status-" + r.status());
      if (unsignedRefusal) {
        logFailure(true, "status " + r.status() + " without a signature");
      }
      owner.onPossiblyRun(target, invalidSuccess ? "invalid-success" : "failed-" + r.status());
      return;
    }
    forwarder.metrics().firstOutput(owner.kind(), now - owner.receivedAt());
    forwarder.quarantine().began(owner.traits(), now);
    HttpResponse h = answerHead();
    if (r.status() >= 500) {
      stats.answeredFailure(now);
    }
    owner.completed(this, r.status());
    answer.answerWhole(h, whole);
  }

  /**
   * Returns whether an answer belongs to this request. One without an identifier may be a late
   * answer to an earlier request on the connection, which does not tell whether this one ran.
   */
  private boolean isAnswerToThisRequest(BackendReply r) {
    BackendExchange x = exchange;
    return r.requestId() != null || (x != null && x.isFirstOnConnection());
  }

  /**
   * Ends the attempt with its connection, on which the answer to this request may still arrive and
   * delay the next one.
   */
  private void discardUnidentified() {
    owner.log().mismatchedAnswer(target.id(), null);
    stop();
    stats.answeredFailure(timers.nowMillis());
    forwarder.metrics().sendFailed(owner.kind(), "no-request-id");
    owner.onPossiblyRun(target, "no-request-id");
  }

  private void onRefused(BackendReply r, long now) {
    boolean full = r.status() == 503 && r.blockingInstance() == null;
    if (full) {
      stats.recordFull(now);
    } else {
      stats.failed(now);
    }
    forwarder.metrics().sendFailed(owner.kind(), full ? "full" : "refused-" + r.status());
    owner.log().backendRefused(target.id(), r);
    owner.onNotRun(target, full ? "full" : "refused", true);
  }

  @Override
  public void relayLost() {
    relayLost = true;
  }

  @Override
  public void failed(boolean sent, String reason) {
    if (!close()) {
      return;
    }
    if (sent) {
      if (relay == null) {
        forwarder.paths().notAnswered(target, null);
      }
      brokenOff("cut", reason);
    } else {
      notConnected(reason);
    }
  }

  private void notConnected(String reason) {
    logFailure(false, reason);
    if (relay != null && relayStatus != RelayStatus.UNREACHABLE) {
      // Nothing is known of the instance.
      forwarder.metrics().sendFailed(owner.kind(), "relay");
      owner.onNotRelayed(target);
      return;
    }
    forwarder.metrics().sendFailed(owner.kind(), "connect");
    stats.failed(timers.nowMillis());
    if (relay == null) {
      forwarder.paths().connectFailed(target);
      owner.retryOnOtherPath(target);
    }
    owner.onNotRun(target, "connect", false);
  }

  /**
   * Returns what learns of the entry that relays the connection of this attempt.
   *
   * @param address the address of that entry
   */
  RelayObserver relayObserver(String address) {
    RelayObserver paths = forwarder.paths().observe(address, target);
    return new RelayObserver() {
      @Override
      public void answered(RelayStatus status) {
        relayStatus = status;
        paths.answered(status);
      }

      @Override
      public void lost() {
        paths.lost();
      }
    };
  }

  /** Records that this attempt has made no progress for too long; counts once. */
  void reportSilence() {
    if (silenceReported) {
      return;
    }
    silenceReported = true;
    forwarder.paths().notAnswered(target, relay);
  }

  /** Reports an answer that the instance has not completed, and may have crashed on. */
  private void brokenOff(String reason, String detail) {
    long now = timers.nowMillis();
    stats.failed(now);
    forwarder.metrics().sendFailed(owner.kind(), reason);
    logFailure(true, detail);
    if (lastEventAt == 0 && !relayLost) {
      forwarder.quarantine().crashed(target.id(), target.startMillis(), owner.traits(), now);
    }
    owner.onPossiblyRun(target, reason);
  }

  /**
   * Returns whether this attempt has made no progress for so long that its group may have lost a
   * member.
   */
  boolean isStalled(long now) {
    if (paused || (!isStreamCall() && reply != null)) {
      return false;
    }
    return silentMillis() > stallLimitMillis(now);
  }

  /**
   * Returns the time without progress, in milliseconds. The streams of a group advance together, so
   * each of them speaks for the others.
   */
  long silentMillis() {
    long waited = loopTime.millis() - waitsSince;
    return isStreamCall() ? Math.min(waited, stats.idleMillis()) : waited;
  }

  /** Returns the time without progress after which this attempt has stalled, in milliseconds. */
  long stallLimitMillis(long now) {
    return isStreamCall()
        ? stallMillis(now)
        : (long) Math.max(MIN_SLOW_MILLIS, SLOW_FACTOR * owner.route().targetMillis());
  }

  private boolean isStreamCall() {
    return owner.route().kind() == CallKind.STREAM;
  }

  private long stallMillis(long now) {
    ModelProfile m = owner.model();
    EngineCost c = owner.cost();
    if (m == null || c == null) {
      return UNPREDICTED_STALL_MILLIS;
    }
    double pass = c.passMillis(m, c.slots(), owner.head().promptTokens()) * stats.slowness(now);
    double limit = Math.max(MIN_STALL_MILLIS, STALL_PASSES * pass);
    return (long) (lastEventAt > 0 ? limit : limit + FIRST_EVENT_FACTOR * predictedMillis);
  }
}
