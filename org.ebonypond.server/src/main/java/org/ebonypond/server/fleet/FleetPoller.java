package org.ebonypond.server.fleet;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.fleet.FleetPoll;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.HeadLoad;
import org.ebonypond.fleet.PollCodec;
import org.ebonypond.fleet.PollPlan;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.Peers;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the known control replicas for what has changed. Each replica is asked by itself, so that a
 * change that one of them has acknowledged reaches this process even if that one cannot reach the
 * others. Used on one executor.
 */
public final class FleetPoller {
  private static final Logger LOG = LoggerFactory.getLogger(FleetPoller.class);

  /** The longest wait for an answer; a connection that is silent for so long is replaced. */
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
  private final Supplier<List<HeadLoad>> loads;
  private final BiConsumer<String, FleetPollResult> results;
  private final Map<String, Position> positions = new HashMap<>();
  private final Set<String> lost = new HashSet<>();
  private long lastAnswer = Long.MIN_VALUE;

  /**
   * Creates a follower.
   *
   * @param node the name of this process
   * @param address the address of this process if it is a control replica, or an empty string
   * @param peers carries the polls
   * @param timers gives the time and the period
   * @param directory the control replicas
   * @param plan decides which of them are asked
   * @param executor runs the callbacks
   * @param periodMillis the time between two rounds of polls, in milliseconds
   * @param version the version of the configuration that this process holds
   * @param zonesIndex the log index of the zones that this process holds
   * @param requests the requests that this process has received
   * @param loads the work of this process
   * @param results takes the name of the replica and its answer
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
      Supplier<List<HeadLoad>> loads,
      BiConsumer<String, FleetPollResult> results) {
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
    this.results = results;
  }

  /** Starts to poll. */
  public void start() {
    executor.execute(this::pollAll);
    timers.every(periodMillis, () -> executor.execute(this::pollAll));
  }

  /** Returns the time since the last answer of any replica, in milliseconds. */
  public long silentMillis() {
    return lastAnswer == Long.MIN_VALUE ? Long.MAX_VALUE : timers.nowMillis() - lastAnswer;
  }

  private void pollAll() {
    long now = timers.nowMillis();
    List<PollPlan.PlannedPoll> due =
        plan.due(directory.names(now), version.getAsLong(), zonesIndex.getAsLong(), now);
    List<HeadLoad> current =
        due.stream().anyMatch(PollPlan.PlannedPoll::home) ? loads.get() : List.of();
    due.forEach(a -> poll(a, a.home() ? current : List.of()));
  }

  private void poll(PollPlan.PlannedPoll ask, List<HeadLoad> current) {
    String name = ask.replica();
    Position p = positions.getOrDefault(name, new Position(0, 0));
    FleetPoll q =
        new FleetPoll(
            node,
            address,
            version.getAsLong(),
            zonesIndex.getAsLong(),
            p.boot,
            p.cursor,
            ask.home(),
            ask.wantsState(),
            requests.getAsLong(),
            current);
    byte[] question = PollCodec.encodePoll(q);
    InetSocketAddress to = ReplicaDirectory.address(name);
    peers
        .ask(to, FrameType.FLEET_POLL, "", question, TIMEOUT_MILLIS)
        .whenComplete(
            (bytes, failure) ->
                executor.execute(() -> answered(ask, question.length, bytes, failure)));
  }

  private void answered(
      PollPlan.PlannedPoll ask, int asked, byte @Nullable [] bytes, @Nullable Throwable failure) {
    String name = ask.replica();
    FleetPollResult r = bytes == null ? null : decode(name, bytes);
    if (bytes == null || r == null) {
      plan.failed(name);
      if (lost.add(name)) {
        LOG.atWarn()
            .addKeyValue("replica", name)
            .addKeyValue("reason", String.valueOf(failure))
            .log("control replica does not answer");
      }
      return;
    }
    if (lost.remove(name)) {
      LOG.atInfo().addKeyValue("replica", name).log("control replica answers again");
    }
    long now = timers.nowMillis();
    lastAnswer = now;
    directory.heard(name, now);
    plan.answered(name, r, asked + bytes.length, now);
    r.replicas().forEach(n -> directory.learn(n, now));
    if (ask.home()) {
      positions.put(name, new Position(r.boot(), r.cursor()));
    }
    results.accept(name, r);
  }

  private static @Nullable FleetPollResult decode(String replica, byte[] bytes) {
    try {
      return PollCodec.decodeResult(bytes);
    } catch (EbonypondException e) {
      LOG.atWarn().addKeyValue("replica", replica).setCause(e).log("answer cannot be read");
      return null;
    }
  }

  private record Position(long boot, long cursor) {}
}
