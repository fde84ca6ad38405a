package org.ebonypond.server.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.forward.EngineCost;
import org.ebonypond.forward.TargetSelector;
import org.ebonypond.forward.WaitingOrder;
import org.ebonypond.quarantine.RequestTraits;
import org.ebonypond.quarantine.TextHash;
import org.ebonypond.server.fleet.ReplicaDirectory;
import org.ebonypond.server.http1.HttpCall;
import org.ebonypond.server.relay.RelayPath;
import org.ebonypond.serving.ModelProfile;
import org.ebonypond.serving.RouteRule;
import org.ebonypond.serving.ServiceProfile;
import org.ebonypond.serving.ServingConfig;
import org.ebonypond.serving.WorkspaceProfile;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request while this entry forwards it. It ends with exactly one answer: that of a
 * backend server, or a refusal whose status tells whether the request may have run.
 */
final class ForwardCall implements WaitingOrder.Waiting {
  /** After this many refusals by backend servers, the next one ends the call. */
  private static final int MAX_REFUSALS = 3;

  /** A request whose deadline is closer than this, in milliseconds, is not sent again. */
  private static final long MIN_REMAINING_MILLIS = 100;

  /**
   * Longest idle time of the connection of a call that must not run twice; the backend server may
   * be closing one that was idle for longer.
   */
  private static final long MAX_IDLE_MILLIS = 1_000;

  /**
   * Retry-After of a refusal because the configuration or the service is not known yet, in
   * milliseconds.
   */
  private static final long START_RETRY_AFTER_MILLIS = 1_000;

  /** Retry-After of a refusal after failed attempts, in milliseconds. */
  private static final long RETRY_AFTER_MILLIS = 400;

  /** Retry-After is at most the time left divided by this; callers do not retry after longer. */
  private static final int RETRY_AFTER_DIVISOR = 3;

  /** Deadline of callers that set none, in milliseconds, until the route is known. */
  private static final long DEFAULT_DEADLINE_MILLIS = 60_000;

  /** The part of the caller's time that is left for an answer of unknown duration, as a divisor. */
  private static final int WAIT_DIVISOR = 2;

  /** After this many refusals, a silent attempt is left alone; each costs a retry. */
  private static final int MAX_SECOND_REFUSALS = 8;

  /**
   * How long an instance that refused the rest of an answer is not asked again, in milliseconds: as
   * long as a full one is skipped.
   */
  private static final long REFUSED_MILLIS = 150;

  /**
   * How long an interrupted stream waits for an instance to resume, in milliseconds; callers give
   * up a stream after a pause of that length at the earliest.
   */
  private static final long RESUME_WAIT_MILLIS = 2_000;

  /** Retry-After of a stopping entry, in milliseconds; the caller retries at another entry. */
  private static final long STOPPING_RETRY_AFTER_MILLIS = 50;

  private final Forwarder forwarder;
  private final HttpCall call;
  private final CallHead head;
  private final TimerService timers;
  private final long receivedAt;
  private final int bodyBytes;
  private final RequestLog log;
  private final CallerAnswer answer;
  private final CallAttempts attempts = new CallAttempts();

  private RequestTraits traits;
  private @Nullable RouteRule route;
  private @Nullable ServiceProfile service;
  private @Nullable WorkspaceProfile workspace;
  private @Nullable EngineCost cost;
  private @Nullable ModelProfile model;
  private TimerService.@Nullable Subscription deadline;
  private TimerService.@Nullable Subscription waitLimit;
  private String sendCause = "first";
  private TargetSelector.@Nullable Selection rejection;
  private long deadlineAt;

  /** Whether the next send still has to be taken from the retry allowance. */
  private boolean owesRetry;

  /**
   * Until when an interrupted stream may wait for an instance, in milliseconds; 0 while it is not
   * interrupted.
   */
  private long resumeUntil;

  private boolean done;

  ForwardCall(Forwarder forwarder, HttpCall call, CallHead head) {
    this.forwarder = forwarder;
    this.call = call;
    this.head = head;
    this.traits = RequestTraits.ofParts(head.sharedParts());
    this.timers = forwarder.timers();
    this.receivedAt = timers.nowMillis();
    this.bodyBytes = call.body().readableBytes();
    this.log = new RequestLog(head.id(), timers, receivedAt);
    this.answer = new CallerAnswer(call, head.resumeAfter());
  }

  void start() {
    long timeoutMillis =
        head.deadlineMillis() > 0 ? head.deadlineMillis() : DEFAULT_DEADLINE_MILLIS;
    deadlineAt = receivedAt + timeoutMillis;
    if (forwarder.isRefusing()) {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping", STOPPING_RETRY_AFTER_MILLIS);
      return;
    }
    forwarder.opened(this);
    call.onClosed(this::onCallerClosed);
    call.onWritable(this::onCallerWritable);
    ServingConfig config = forwarder.view().config();
    if (config != null) {
      accept(config);
    } else if (!waitInQueue(0)) {
      refuseUnconfigured();
    }
  }

  private void refuseUnconfigured() {
    long retryAfterMillis = Math.min(START_RETRY_AFTER_MILLIS, remaining() / RETRY_AFTER_DIVISOR);
    String reason = "unconfirmed-configuration";
    if (forwarder.view().config() == null) {
      reason = "no-configuration";
    } else if (isReplaced()) {
      reason = "replaced-configuration";
    }
    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfterMillis);
  }

  /** Returns whether this process lacks a change that it has known of for too long. */
  private boolean isReplaced() {
    return forwarder.view().replacedMillis(timers.nowMillis())
        >= forwarder.configAges().replacedMillis();
  }

  /** Returns whether this process has waited too long for the first word on its configuration. */
  private boolean isOfUnknownAge() {
    return forwarder.view().neverConfirmedMillis(timers.nowMillis())
        >= forwarder.configAges().replacedMillis();
  }

  /** Returns whether no replica has confirmed a configuration for too long. */
  private boolean isLeaderless() {
    return forwarder.view().leaderlessMillis(timers.nowMillis())
        >= forwarder.configAges().leaderlessMillis();
  }

  /** Resolves the route, the workspace and the service of the request, and dispatches it. */
  private void accept(ServingConfig config) {
    if (isReplaced() || isOfUnknownAge() || isLeaderless()) {
      // A later version may have taken the route or the key away.
      if (!waitForConfirmation()) {
        refuseUnconfigured();
      }
      return;
    }
    RouteRule r = config.route(head.host(), head.path());
    if (r == null) {
      deny(HttpResponseStatus.NOT_FOUND, "no-route");
      return;
    }
    if (config.requiresKey() && !r.anonymous()) {
      workspace = head.key() == null ? null : config.workspace(head.key());
      if (workspace == null) {
        deny(HttpResponseStatus.UNAUTHORIZED, "unknown-key");
        return;
      }
    }
    if (forwarder.queue().isUnconfirmed(this)) {
      // From here on it may need a place among the calls that wait for instances.
      stopWaiting();
    }
    route = r;
    traits = new RequestTraits(identity(), head.sharedParts());
    service = config.service(r.choose(forwarder.random().nextLong(Long.MAX_VALUE)));
    if (service == null) {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-service", START_RETRY_AFTER_MILLIS);
      return;
    }
    if (service.engine() != null && head.model() != null) {
      cost = new EngineCost(service.engine());
      model = service.engine().model(head.model());
    }
    long timeoutMillis = head.deadlineMillis() > 0 ? head.deadlineMillis() : Long.MAX_VALUE;
    deadlineAt = receivedAt + Math.min(timeoutMillis, r.timeoutMillis());
    deadline = timers.after(remaining(), this::onDeadline);
    forwarder.allowance().recordRequest(service.name(), receivedAt);
    dispatch("first");
  }

  /** Returns what repetitions of the request by the same caller have in common. */
  private long identity() {
    WorkspaceProfile w = workspace;
    return TextHash.of(Long.toHexString(head.contentHash()) + "/" + (w == null ? "" : w.name()));
  }

  /**
   * Refuses the request for good if the configuration is known to be the newest one. Otherwise the
   * refusal may be wrong, and callers do not repeat a request after it: the request waits until the
   * configuration is confirmed or replaced, and is refused with a time to come back if neither
   * happens.
   */
  private void deny(HttpResponseStatus status, String reason) {
    if (forwarder.view().confirmedAt() >= receivedAt - forwarder.configAges().confirmedMillis()) {
      refuse(status, reason, 0);
    } else if (!waitForConfirmation()) {
      refuseUnconfigured();
    }
  }

  /** Sends the request to an instance, or queues or refuses it if none can take it. */
  private void dispatch(String cause) {
    dispatch(cause, true);
  }

  private void dispatch(String cause, boolean mayQueue) {
    sendCause = cause;
    if (refuseIfQuarantined()) {
      return;
    }
    if (!answer.isStarted() && timers.nowMillis() + answerMillis() > forwarder.stopsAt()) {
      giveUp("stopping", STOPPING_RETRY_AFTER_MILLIS);
      return;
    }
    if (forwarder.paths().isCutOff(service().name())) {
      waitOrGiveUp(mayQueue && answer.isStarted(), "cut-off", RETRY_AFTER_MILLIS);
      return;
    }
    if (answer.isStarted()) {
      // The paths may count as lost only since the attempts have failed.
      attempts.directTargets().forEach(this::retryOnOtherPath);
    }
    TargetSelector.Selection selection = choose(false);
    if (selection.target() == null) {
      rejection = selection;
      waitOrGiveUp(mayQueue, selection.reason(), selection.retryAfterMillis());
    } else if (isRefusedTooOften()) {
      waitOrGiveUp(mayQueue, "refused", RETRY_AFTER_MILLIS);
    } else if (owesRetry && !tryRetry()) {
      waitOrGiveUp(mayQueue, "retry-budget", RETRY_AFTER_MILLIS);
    } else {
      owesRetry = false;
      send(selection, cause);
    }
  }

  /** Returns whether the next instance is asked later, to spare the retry allowance. */
  private boolean isRefusedTooOften() {
    Set<String> recent = attempts.refusedWithin(REFUSED_MILLIS, timers.nowMillis());
    return attempts.refusals() > MAX_REFUSALS && !recent.isEmpty();
  }

  private void waitOrGiveUp(boolean mayQueue, String reason, long retryAfterMillis) {
    TargetSelector.Selection selection = rejection;
    int limit = selection == null ? 0 : selection.waitingLimit();
    boolean waits =
        mayQueue
            && (answer.isStarted()
                ? waitInQueue(Integer.MAX_VALUE)
                : mayWait(limit) && waitInQueue(limit));
    if (!waits) {
      giveUp(reason, retryAfterMillis);
    }
  }

  /**
   * Refuses a request that crashes instances, or has prompt parts that do. The status tells the
   * caller not to repeat it, since it would be refused at every entry.
   */
  private boolean refuseIfQuarantined() {
    if (answer.isStarted()) {
      return false;
    }
    Set<Long> parts = forwarder.quarantine().quarantined(traits, timers.nowMillis());
    if (parts == null) {
      return false;
    }
    log.quarantined(parts);
    refuse(HttpResponseStatus.BAD_REQUEST, "quarantined", 0);
    return true;
  }

  private boolean mayWait(int waitingLimit) {
    return waitingLimit > 0
        || (attempts.sends() == 0 && forwarder.queue().isDiscovering(timers.nowMillis()));
  }

  /**
   * Queues the call until this process knows more of the fleet, or until a slot is free for a
   * request that has missed its latency target. The wait ends early enough for the answer, see
   * {@link #waitUntil}.
   *
   * @param capacity the number of calls that may wait
   * @return whether the call is queued; true also if it was queued already
   */
  private boolean waitInQueue(int capacity) {
    long now = timers.nowMillis();
    return waitLimit != null || startWait(now, () -> forwarder.queue().add(this, capacity, now));
  }

  /** Queues the call until the configuration is confirmed or replaced; returns whether it waits. */
  private boolean waitForConfirmation() {
    return waitLimit != null
        || startWait(timers.nowMillis(), () -> forwarder.queue().addUnconfirmed(this));
  }

  /**
   * Queues the call if there is time to wait.
   *
   * @param queue adds the call to a queue; returns whether there was room
   */
  private boolean startWait(long now, BooleanSupplier queue) {
    long waitUntil = answer.isStarted() ? resumeUntil : waitUntil();
    if (waitUntil <= now || !queue.getAsBoolean()) {
      return false;
    }
    log.waits(sendCause, waitUntil - now);
    waitLimit = timers.after(waitUntil - now, this::onWaitTimeout);
    return true;
  }

  /**
   * Returns the end of the wait, in milliseconds. The time until this process had a configuration
   * does not count towards the wait for capacity, but the rest of the time must suffice for the
   * answer.
   */
  private long waitUntil() {
    long from = Math.max(receivedAt, forwarder.queue().configuredAt());
    boolean unconfirmed = route == null && forwarder.view().config() != null;
    long maxWaitMillis =
        unconfirmed
            ? Math.min(forwarder.configAges().confirmedMillis(), CallQueue.MAX_WAIT_MILLIS)
            : CallQueue.MAX_WAIT_MILLIS;
    return Math.min(from + maxWaitMillis, deadlineAt - answerMillis());
  }

  /**
   * Returns the expected duration of the answer, in milliseconds: that of a model's answer in a
   * full batch, or the caller's time divided by {@link #WAIT_DIVISOR} if it cannot be predicted.
   */
  private long answerMillis() {
    ModelProfile m = model;
    EngineCost c = cost;
    if (m == null || c == null) {
      return (deadlineAt - receivedAt) / WAIT_DIVISOR;
    }
    return Math.round(c.answerMillis(m, c.slots() - 1, head.promptTokens(), head.outputTokens()));
  }

  int bodyBytes() {
    return bodyBytes;
  }

  @Override
  public long targetAt() {
    RouteRule r = route;
    return r == null ? deadlineAt : receivedAt + r.targetMillis();
  }

  @Override
  public long deadlineAt() {
    return deadlineAt;
  }

  /** Dispatches a queued call again. */
  void redispatch() {
    ServingConfig config = forwarder.view().config();
    if (done || config == null) {
      return;
    }
    if (route == null) {
      accept(config);
    } else {
      dispatch(sendCause);
    }
  }

  private void onWaitTimeout() {
    long left = answer.isStarted() ? 0 : waitUntil() - timers.nowMillis();
    if (!done && left > 0) {
      waitLimit = timers.after(left, this::onWaitTimeout);
      return;
    }
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

  /**
   * Chooses an instance.
   *
   * @param second whether an earlier attempt is still in progress
   */
  private TargetSelector.Selection choose(boolean second) {
    ServiceProfile s = service();
    long now = timers.nowMillis();
    long targetMillis = route().targetMillis() - (now - receivedAt);
    List<TargetSelector.Candidate> candidates =
        forwarder.candidates(s, s.engine() == null ? null : head.model());
    Set<String> refused = attempts.refusedWithin(REFUSED_MILLIS, now);
    Set<String> excluded =
        candidates.stream()
            .map(c -> c.instance().id())
            .filter(i -> !attempts.mayRunAt(i, route().maxInstances()) || refused.contains(i))
            .collect(Collectors.toSet());
    TargetSelector.Need need =
        new TargetSelector.Need(
            model,
            head.promptTokens(),
            remainingTokens(),
            deadlineAt - now,
            answer.isStarted() ? deadlineAt - now : targetMillis,
            route().targetMillis(),
            second,
            excluded);
    EngineCost c = model == null ? null : cost;
    return forwarder.selector().choose(need, candidates, c, forwarder.view().entries(), now);
  }

  /** Returns the expected tokens of the rest of the answer. */
  private int remainingTokens() {
    EngineCost c = cost;
    int written = c == null ? 0 : answer.writtenEvents() * c.tokensPerEvent();
    return Math.max(0, head.outputTokens() - written);
  }

  private void send(TargetSelector.Selection selection, String cause) {
    FleetInstance target = selection.target();
    if (target == null) {
      throw new IllegalArgumentException("no instance was chosen");
    }
    stopWaiting();
    long now = timers.nowMillis();
    forwarder.recordSent(target.id(), now);
    forwarder.metrics().sent(kind(), cause);
    Dispatch d =
        new Dispatch(
            target.id(),
            Math.max(1, deadlineAt - now),
            workspace == null ? null : workspace.name(),
            answer.lastId(),
            model == null ? -1 : selection.urgency());
    ByteBuf buffer = call.body().alloc().buffer();
    String relay = forwarder.paths().relayTo(target);
    Attempt a = new Attempt(this, forwarder, answer, target, selection, relay, buffer);
    attempts.started(a);
    InstanceLoad loadOfOthers = forwarder.view().loadOfOthers(target.id());
    log.sent(cause, forwarder.view(), target, selection, relay, d, a.stats(), loadOfOthers);
    InetSocketAddress to = ReplicaDirectory.address(target.address());
    long maxIdle = route().idempotent() ? Long.MAX_VALUE : MAX_IDLE_MILLIS;
    a.sent(
        forwarder
            .pool()
            .send(
                target.id(),
                to,
                relay == null
                    ? null
                    : new RelayPath(ReplicaDirectory.address(relay), a.relayObserver(relay)),
                forwarder.dialect().encode(call, d),
                call.body().retainedDuplicate(),
                maxIdle,
                a));
  }

  /**
   * Sends a stalled request to a second instance if one has a free slot. The stalled attempt
   * continues, since its instance may only be silent for a while: the first one that answers ends
   * the other.
   */
  void checkProgress(long now) {
    RouteRule r = route;
    if (done || r == null) {
      return;
    }
    List<Attempt> stalled = attempts.running().stream().filter(a -> a.isStalled(now)).toList();
    stalled.forEach(Attempt::reportSilence);
    if (attempts.running().size() != 1 || stalled.isEmpty()) {
      return;
    }
    if (!r.idempotent()
        || attempts.refusals() >= (answer.isStarted() ? MAX_SECOND_REFUSALS : MAX_REFUSALS)
        || !mayRunElsewhere()
        || mayCrashInstances()) {
      return;
    }
    TargetSelector.Selection selection = choose(true);
    if (selection.target() == null || !tryRetry()) {
      return;
    }
    Attempt a = stalled.get(0);
    log.stalled(a.target().id(), attempts.sends(), a.silentMillis(), a.stallLimitMillis(now));
    a.stats().stalled(now);
    send(selection, "stalled");
  }

  /** Ends the other attempt because this one has begun to answer, or has gone on. */
  void answers(Attempt a) {
    resumeUntil = 0;
    for (Attempt o : attempts.running()) {
      if (o != a) {
        log.superseded(o.target().id(), a.target().id());
        attempts.leave(o);
      }
    }
  }

  /** Returns whether another attempt is in progress. */
  boolean isRunningBeside(Attempt a) {
    return attempts.running().stream().anyMatch(o -> o != a);
  }

  private boolean mayRunElsewhere() {
    return answer.isResumable()
        && attempts.mayRunAgain(route().maxInstances())
        && remaining() > MIN_REMAINING_MILLIS;
  }

  private boolean tryRetry() {
    return forwarder
        .allowance()
        .tryRetry(service().name(), forwarder.view().entries(), timers.nowMillis());
  }

  private long remaining() {
    return deadlineAt - timers.nowMillis();
  }

  /**
   * Tries another way after an entry did not relay a connection. Each such entry is avoided for a
   * while, so there are as many of these attempts as other entries at most.
   */
  void onNotRelayed(FleetInstance target) {
    attempts.notRun(target.id());
    retryOnOtherPath(target);
    if (attempts.isRunning()) {
      return;
    }
    interrupted(timers.nowMillis());
    if (remaining() > MIN_REMAINING_MILLIS) {
      dispatch("relay");
    } else {
      giveUp("relay", RETRY_AFTER_MILLIS);
    }
  }

  /** Allows another attempt at an instance if it has another path than the one that has failed. */
  void retryOnOtherPath(FleetInstance target) {
    if (forwarder.paths().relayTo(target) != null) {
      attempts.retryOnOtherPath(target.id());
    }
  }

  /**
   * Retries or refuses after an attempt that certainly did not run, unless another one is in
   * progress.
   *
   * @param target the instance of the attempt
   * @param reachedBackend whether a backend server refused it; a retry then counts against the
   *     retry allowance
   */
  void onNotRun(FleetInstance target, String reason, boolean reachedBackend) {
    long now = timers.nowMillis();
    attempts.refused(target.id());
    if (reachedBackend || forwarder.paths().relayTo(target) == null) {
      attempts.pause(target.id(), now);
    }
    if (answer.isStarted()) {
      // The instance may have a free slot before the caller gives up.
      attempts.retryAt(target.id());
    }
    if (attempts.isRunning()) {
      return;
    }
    interrupted(now);
    boolean mayAsk = answer.isStarted() ? now <= resumeUntil : attempts.refusals() <= MAX_REFUSALS;
    retry(mayAsk && remaining() > MIN_REMAINING_MILLIS, reachedBackend, reason);
  }

  /**
   * Retries or gives up after an attempt that may have run, or has run in part, unless another one
   * is in progress.
   */
  void onPossiblyRun(FleetInstance target, String reason) {
    attempts.possiblyRan(target.id());
    if (attempts.isRunning()) {
      return;
    }
    interrupted(timers.nowMillis());
    boolean retry =
        route().idempotent()
            && answer.isResumable()
            && attempts.mayRunAgain(route().maxInstances())
            && remaining() > MIN_REMAINING_MILLIS
            && !mayCrashInstances();
    retry(retry, true, reason);
  }

  /** Begins the time in which a stream that no instance runs may wait for one. */
  private void interrupted(long now) {
    if (resumeUntil == 0) {
      resumeUntil = now + RESUME_WAIT_MILLIS;
    }
  }

  /**
   * Sends the request again or gives it up.
   *
   * @param counted whether the retry counts against the retry allowance; a started answer may wait
   *     for it
   */
  private void retry(boolean allowed, boolean counted, String reason) {
    owesRetry = counted;
    if (allowed && counted && !answer.isStarted()) {
      owesRetry = !tryRetry();
    }
    if (allowed && (answer.isStarted() || !owesRetry)) {
      dispatch(reason);
    } else {
      giveUp(reason, RETRY_AFTER_MILLIS);
    }
  }

  /** Returns whether the request may be the cause of a crash; if its answer began, it is not. */
  private boolean mayCrashInstances() {
    return !answer.isStarted() && forwarder.quarantine().isSuspected(traits, timers.nowMillis());
  }

  private void giveUp(String reason, long retryAfterMillis) {
    if (answer.isStarted()) {
      log.brokenOff(route().name(), reason, attempts, remaining());
      forwarder.metrics().ended(kind(), "broken-off", reason, timers.nowMillis() - receivedAt);
      cleanUp();
      call.abort();
    } else if (attempts.mayHaveRun()) {
      refuse(HttpResponseStatus.BAD_GATEWAY, reason, 0);
    } else {
      long maxRetryAfter = Math.max(0, remaining() / RETRY_AFTER_DIVISOR);
      refuse(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          reason,
          Math.min(retryAfterMillis, maxRetryAfter));
    }
  }

  private void onDeadline() {
    if (done) {
      return;
    }
    attempts.running().forEach(attempts::leave);
    if (answer.isStarted()) {
      giveUp("deadline", 0);
    } else if (attempts.mayHaveRun()) {
      refuse(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline", 0);
    } else {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "deadline", 0);
    }
  }

  private void onCallerWritable() {
    attempts.running().stream().filter(Attempt::isPaused).forEach(Attempt::resume);
  }

  private void onCallerClosed() {
    if (done) {
      return;
    }
    List<Attempt> ended = attempts.running();
    ended.forEach(Attempt::stop);
    List<String> instances = ended.stream().map(a -> a.target().id()).toList();
    log.cancelled("caller-left", instances, attempts.sends());
    forwarder.metrics().ended(kind(), "cancelled", "caller-left", timers.nowMillis() - receivedAt);
    cleanUp();
  }

  /** Ends the call because the process stops. */
  void shutDown() {
    attempts.running().forEach(attempts::leave);
    giveUp("shutdown", 0);
  }

  private void refuse(HttpResponseStatus status, String reason, long retryAfterMillis) {
    long took = timers.nowMillis() - receivedAt;
    TargetSelector.Selection selection = rejection;
    log.refused(
        head.host() + head.path(),
        route == null ? "" : route.name(),
        workspace == null ? "" : workspace.name(),
        status.code(),
        reason,
        attempts,
        forwarder.view(),
        selection == null ? 0 : (long) selection.endMillis(),
        remaining(),
        retryAfterMillis);
    forwarder.metrics().ended(kind(), "refused", reason, took);
    cleanUp();
    call.answer(
        forwarder.dialect().localResponse(status, head.id(), retryAfterMillis),
        Unpooled.EMPTY_BUFFER);
  }

  private void stopWaiting() {
    TimerService.Subscription w = waitLimit;
    if (w != null) {
      w.cancel();
      waitLimit = null;
      forwarder.queue().remove(this);
    }
  }

  private void cleanUp() {
    done = true;
    stopWaiting();
    TimerService.Subscription d = deadline;
    if (d != null) {
      d.cancel();
    }
    forwarder.closed(this);
  }

  /** Ends the call because an attempt has an answer to it. */
  void completed(Attempt a, int status) {
    answers(a);
    long now = timers.nowMillis();
    a.stats().succeeded(now);
    long first = answer.isStarted() ? answer.firstOutputAt() : now;
    log.answered(
        route(),
        a.target().id(),
        status,
        attempts.sends(),
        first - receivedAt,
        answer.longestGapMillis());
    forwarder
        .metrics()
        .ended(kind(), "answered", "status-" + status / 100 + "xx", now - receivedAt);
    cleanUp();
  }

  /** Records that an attempt has ended. */
  void ended(Attempt a) {
    attempts.ended(a);
  }

  CallHead head() {
    return head;
  }

  /** Returns what the request has in common with others. */
  RequestTraits traits() {
    return traits;
  }

  RequestLog log() {
    return log;
  }

  long receivedAt() {
    return receivedAt;
  }

  @Nullable ModelProfile model() {
    return model;
  }

  @Nullable EngineCost cost() {
    return cost;
  }

  /** Returns whether another attempt may answer the call, after a failure of this one. */
  boolean canBeAnsweredElsewhere() {
    return attempts.isRunning() || (mayRunElsewhere() && choose(false).target() != null);
  }

  /** Returns the kind of the call as a label of metrics. */
  String kind() {
    RouteRule r = route;
    return r == null ? "unknown" : r.kind().name().toLowerCase(Locale.ROOT);
  }

  /** Returns the route; an attempt exists only after it is known. */
  RouteRule route() {
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
}
