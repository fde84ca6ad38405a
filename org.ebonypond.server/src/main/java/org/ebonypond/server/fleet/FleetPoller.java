package org.ebonypond.server.fleet;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.fleet.FleetPoll;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.fleet.NamedLimit;
import org.ebonypond.fleet.PollCodec;
import org.ebonypond.fleet.PollPlan;
import org.ebonypond.fleet.RelayReport;
import org.ebonypond.quarantine.PartSuspicion;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.Peers;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the known control replicas for changes. Each replica is polled independently, so that a
 * change that one of them has acknowledged reaches this process even if that replica cannot reach
 * the others. Runs on one executor.
 */
public final class FleetPoller {
  private static final Logger LOG = LoggerFactory.getLogger(FleetPoller.class);

  /** The timeout of a poll; a connection without an answer for this long is replaced. */
  private static final long TIMEOUT_MILLIS = 900;

  private final String node;
  private final String address;
  private final Peers peers;
  private final TimerService timers;
  private final ReplicaDirectory directory;
  private final PollPlan plan;
  private final Executor executor;
  private final long periodMillis;
  private final LongSupplier version;
  private final LongSupplier zonesIndex;
  private final LongSupplier requests;
  private final Supplier<List<InstanceLoad>> loads;
  private final Supplier<List<PartSuspicion>> suspicions;
  private final Supplier<List<NamedLimit>> limits;
  private final Supplier<RelayReport> relays;
  private final PollListener listener;
  private final Map<String, Position> positions = new HashMap<>();
  private final Set<String> unreachable = new HashSet<>();
  private long lastAnswerMillis = Long.MIN_VALUE;

  /**
   * Creates a poller; it polls after {@link #start}.
   *
   * @param node the name of this process
   * @param address the address of this process if it is a control replica; empty otherwise
   * @param peers sends the polls
   * @param timers the clock and the timer of the rounds
   * @param directory the known control replicas
   * @param plan decides which replicas are polled in each round
   * @param executor runs the rounds and the callbacks
   * @param periodMillis the interval between rounds of polls, in milliseconds
   * @param version the version of the configuration that this process holds
   * @param zonesIndex the log index of the zones that this process holds
   * @param requests the number of requests that this process has received
   * @param loads the load of this process at each instance
   * @param suspicions the prompt parts that this process suspects of crashing instances
   * @param limits the limits that instances named to this process
   * @param relays what this process says about connections that entries relay for each other
   * @param listener receives the answers
   */
  public FleetPoller(
      String node,
      String address,
      Peers peers,
      TimerService timers,
      ReplicaDirectory directory,
      PollPlan plan,
      Executor executor,
      long periodMillis,
      LongSupplier version,
      LongSupplier zonesIndex,
      LongSupplier requests,
      Supplier<List<InstanceLoad>> loads,
      Supplier<List<PartSuspicion>> suspicions,
      Supplier<List<NamedLimit>> limits,
      Supplier<RelayReport> relays,
      PollListener listener) {
    this.node = node;
    this.address = address;
    this.peers = peers;
    this.timers = timers;
    this.directory = directory;
    this.plan = plan;
    this.executor = executor;
    this.periodMillis = periodMillis;
    this.version = version;
    this.zonesIndex = zonesIndex;
    this.requests = requests;
    this.loads = loads;
    this.suspicions = suspicions;
    this.limits = limits;
    this.relays = relays;
    this.listener = listener;
  }

  /** Starts polling. */
  public void start() {
    executor.execute(this::pollAll);
    timers.every(periodMillis, () -> executor.execute(this::pollAll));
  }

  /**
   * Returns the time since the last answer from any replica, in milliseconds; {@link
   * Long#MAX_VALUE} before the first one.
   */
  public long millisSinceLastAnswer() {
    return lastAnswerMillis == Long.MIN_VALUE
        ? Long.MAX_VALUE
        : timers.nowMillis() - lastAnswerMillis;
  }

  private void pollAll() {
    long now = timers.nowMillis();
    List<PollPlan.PlannedPoll> due =
        plan.due(directory.names(now), version.getAsLong(), zonesIndex.getAsLong(), now);
    List<InstanceLoad> currentLoads =
        due.stream().anyMatch(PollPlan.PlannedPoll::home) ? loads.get() : List.of();
    due.forEach(p -> poll(p, p.home() ? currentLoads : List.of()));
  }

  private void poll(PollPlan.PlannedPoll planned, List<InstanceLoad> currentLoads) {
    String name = planned.replica();
    Position position = positions.getOrDefault(name, new Position(0, 0));
    FleetPoll message =
        new FleetPoll(
            node,
            address,
            version.getAsLong(),
            zonesIndex.getAsLong(),
            position.boot,
            position.cursor,
            planned.home(),
            planned.wantsState(),
            requests.getAsLong(),
            currentLoads,
            planned.home() ? suspicions.get() : List.of(),
            planned.home() ? limits.get() : List.of(),
            relays.get());
    byte[] request = PollCodec.encodePoll(message);
    InetSocketAddress to = ReplicaDirectory.address(name);
    long sentAt = timers.nowMillis();
    peers
        .ask(to, FrameType.FLEET_POLL, "", request, TIMEOUT_MILLIS)
        .whenComplete(
            (bytes, failure) ->
                executor.execute(() -> answered(planned, sentAt, request.length, bytes, failure)));
  }

  private void answered(
      PollPlan.PlannedPoll planned,
      long sentAt,
      int requestBytes,
      byte @Nullable [] bytes,
      @Nullable Throwable failure) {
    String name = planned.replica();
    FleetPollResult r = bytes == null ? null : decode(name, bytes);
    if (bytes == null || r == null) {
      plan.failed(name);
      if (unreachable.add(name)) {
        LOG.atWarn()
            .addKeyValue("replica", name)
            .addKeyValue("reason", String.valueOf(failure))
            .log("control replica does not answer");
      }
      return;
    }
    if (unreachable.remove(name)) {
      LOG.atInfo().addKeyValue("replica", name).log("control replica answers again");
    }
    long now = timers.nowMillis();
    lastAnswerMillis = now;
    directory.recordContact(name, now);
    plan.answered(name, r, requestBytes + bytes.length, now);
    r.replicas().forEach(n -> discover(name, n, now));
    if (planned.home()) {
      positions.put(name, new Position(r.boot(), r.cursor()));
    }
    listener.answered(name, r, sentAt);
  }

  /** Adds a replica that another one reported, unless no poll could be sent to it. */
  private void discover(String reporter, String name, long now) {
    if (ReplicaDirectory.isAddress(name)) {
      directory.add(name, now);
    } else {
      // Each answer may bring one, and lines of this level are dropped under load.
      LOG.atInfo()
          .addKeyValue("replica", reporter)
          .addKeyValue("address", name)
          .log("malformed address of a replica ignored");
    }
  }

  private static @Nullable FleetPollResult decode(String replica, byte[] bytes) {
    try {
      return PollCodec.decodeResult(bytes);
    } catch (EbonypondException e) {
      LOG.atWarn().addKeyValue("replica", replica).setCause(e).log("answer cannot be decoded");
      return null;
    }
  }

  private record Position(long boot, long cursor) {}
}
