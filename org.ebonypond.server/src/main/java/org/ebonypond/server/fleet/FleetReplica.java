package org.ebonypond.server.fleet;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.RaftNode;
import org.ebonypond.consensus.RaftRole;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.fleet.EntryLoads;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.FleetOrder;
import org.ebonypond.fleet.FleetPlanner;
import org.ebonypond.fleet.FleetPoll;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.fleet.InstanceTable;
import org.ebonypond.fleet.InstanceUpdate;
import org.ebonypond.fleet.NewestVersion;
import org.ebonypond.fleet.OrderOutcome;
import org.ebonypond.fleet.PollCodec;
import org.ebonypond.fleet.RelayReport;
import org.ebonypond.fleet.ReplicaPollPlan;
import org.ebonypond.fleet.WeightLoadLimiter;
import org.ebonypond.server.control.ProposalClient;
import org.ebonypond.server.control.ProposalReply;
import org.ebonypond.server.logging.LogMarkers;
import org.ebonypond.server.replica.ReplicaStatus;
import org.ebonypond.server.storage.FileLogStorage;
import org.ebonypond.server.transport.Frame;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.PeerNetwork;
import org.ebonypond.serving.Departure;
import org.ebonypond.serving.ServiceProfile;
import org.ebonypond.serving.ServingCodec;
import org.ebonypond.serving.ServingCommand;
import org.ebonypond.serving.ServingConfig;
import org.ebonypond.serving.ServingState;
import org.ebonypond.time.SuspensionDetector;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A control replica of the serving fleet. It stores the replicated configuration, receives
 * heartbeats, answers the polls of entries, and sends orders to instances while it is the leader of
 * the log.
 */
public final class FleetReplica implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(FleetReplica.class);

  /** The heartbeat interval of the log's leader; a core machine has only a fifth of a CPU. */
  private static final long LOG_HEARTBEAT_MILLIS = 120;

  private static final long ELECTION_MIN_MILLIS = 600;
  private static final long ELECTION_MAX_MILLIS = 1_200;

  /**
   * The log is compacted after this many entries; a configuration has at most about 100 KB, and the
   * disk has about 100 MB.
   */
  private static final int COMPACT_AFTER = 100;

  private static final int KEEP_ENTRIES = 20;
  private static final int MAX_BATCH_BYTES = 1 << 20;

  /** Longer than the one second after which operators try another replica. */
  private static final long PROPOSAL_TIMEOUT_MILLIS = 3_000;

  /** The interval between planning rounds. */
  private static final long PLAN_MILLIS = 100;

  /**
   * The interval between polls of another replica, in milliseconds. It adds to the age of the loads
   * of the entries whose home that replica is, on top of the interval of their own reports.
   */
  static final long POLL_MILLIS = 75;

  /** How late a heartbeat may arrive, in addition to one or two heartbeat intervals. */
  private static final long HEARTBEAT_DELAY_MILLIS = 400;

  /** Longer than a process takes to restart, so that a restart does not cause a replacement. */
  private static final long REPLACE_AFTER_MILLIS = 3_000;

  /** The interval at which the load of this replica is logged. */
  private static final long LOAD_LOG_MILLIS = 2_000;

  /** The interval at which the delay of the event loop is measured. */
  private static final long LOOP_CHECK_MILLIS = 100;

  /**
   * A delay of the event loop that is logged when it ends, in milliseconds: longer ones hold up
   * more than one heartbeat of the log.
   */
  private static final long LOOP_BUSY_MILLIS = 2 * LOG_HEARTBEAT_MILLIS;

  /**
   * The interval at which a replica that does not lead decodes a changed configuration, in
   * milliseconds. It only needs the names of the services, to filter heartbeats; in a series of
   * large changes decoding each one would take most of a fifth of a CPU.
   */
  private static final long FOLLOWER_DECODING_MILLIS = 5_000;

  /** Spreads the bits of the start time over those of the hash of a name. */
  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

  private final FleetReplicaSettings settings;
  private final PeerNetwork network;
  private final TimerService timers;
  private final Executor executor;
  private final ConfigLoader loader;
  private final OrderSender orders;
  private final ReplicaDirectory directory;
  private final InstanceTable table = new InstanceTable(this::isKnown);
  private final EntryLoads loads = new EntryLoads();
  private final ServingLog log;
  private final ProposalClient proposals;
  private final PollHandler pollHandler;
  private final FleetPoller poller;
  private final ReplicaMetrics metrics;
  private final NewestVersion newestVersion;
  private final DepartureLog departures;
  private final DecisionLog decisions;
  private final Map<String, FleetPlanner> planners = new HashMap<>();
  private final Map<String, String> summaries = new HashMap<>();
  private @Nullable ServingConfig config;
  private boolean observationInFlight;
  private List<String> restoredQuarantine = List.of();
  private List<Departure> appliedDepartures = List.of();
  private long loggedVersion;
  private long confirmedTerm = -1;
  private long decodedVersion;
  private boolean decoding;
  private long decodingStartedAt;
  private int lastEntryCount;
  private long entryCountSince;
  private long loopCheckedAt;
  private long maxLoopDelayMillis;
  private ReplicaMetrics.Totals lastTotals = new ReplicaMetrics.Totals(0, 0, 0, 0, 0);

  /**
   * Opens the log; the replica takes part in the system after {@link #start}.
   *
   * @param settings the settings
   * @param network sends and receives the messages between processes
   * @param timers the clock and timers
   * @param suspensions detects the suspensions of this process
   * @param executor a single thread that runs everything except the log
   * @param opener runs the blocking reopening of the log after a failed write
   * @param loader decodes the configuration
   * @param orders sends orders to instances
   * @param events receives the events of the log
   * @param metrics records counts and durations
   * @param fatal called when the log is corrupt and the process must exit
   * @throws EbonypondException {@code log-corrupt}, {@code identity-mismatch} or {@code
   *     storage-failed}
   */
  public FleetReplica(
      FleetReplicaSettings settings,
      PeerNetwork network,
      TimerService timers,
      SuspensionDetector suspensions,
      Executor executor,
      Executor opener,
      ConfigLoader loader,
      OrderSender orders,
      EventSink events,
      ReplicaMetrics metrics,
      Consumer<Throwable> fatal) {
    this.settings = settings;
    this.metrics = metrics;
    this.network = network;
    this.timers = timers;
    this.newestVersion = new NewestVersion(suspensions);
    this.executor = executor;
    this.loader = loader;
    this.orders = orders;
    this.directory = new ReplicaDirectory(settings.seeds());
    // A secure generator takes 20 ms of CPU time; only a replica without an identity needs one.
    RandomGenerator identities = () -> new SecureRandom().nextLong();
    // Replicas that start at the same moment must not draw the same election timeouts.
    RandomGenerator random =
        new SplittableRandom(System.nanoTime() * HASH_FACTOR + settings.name().hashCode());
    this.log =
        new ServingLog(
            () -> FileLogStorage.open(settings.dataFolder(), settings.name(), identities, events),
            (storage, state) ->
                new RaftNode(raftConfig(), storage, state, random, events, timers.nowMillis()),
            this::sendLog,
            timers,
            suspensions,
            opener,
            fatal);
    this.proposals =
        new ProposalClient(
            network,
            timers,
            () -> directory.addresses(timers.nowMillis()),
            () -> log.status().leader());
    this.decisions = new DecisionLog(metrics);
    this.departures = new DepartureLog(this::commit, () -> log.current().departures());
    this.pollHandler =
        new PollHandler(
            settings.name(),
            ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE),
            directory,
            table,
            loads,
            this::confirmed,
            () -> log.status().leader(),
            timers.nowMillis());
    this.poller =
        new FleetPoller(
            settings.name(),
            settings.name(),
            network,
            timers,
            directory,
            new ReplicaPollPlan(settings.name()),
            executor,
            POLL_MILLIS,
            () -> log.current().version(),
            () -> log.current().zonesIndex(),
            () -> 0,
            () -> loads.own(timers.nowMillis()),
            () -> pollHandler.ownSuspicions(timers.nowMillis()),
            () -> pollHandler.ownLimits(timers.nowMillis()),
            () -> RelayReport.NONE,
            this::merge);
  }

  private RaftConfig raftConfig() {
    return new RaftConfig(
        settings.name(),
        settings.seeds(),
        LOG_HEARTBEAT_MILLIS,
        ELECTION_MIN_MILLIS,
        ELECTION_MAX_MILLIS,
        COMPACT_AFTER,
        KEEP_ENTRIES,
        MAX_BATCH_BYTES,
        MAX_BATCH_BYTES,
        settings.voters(),
        REPLACE_AFTER_MILLIS,
        false);
  }

  /** Registers the handlers of messages; call before the network listens. */
  public void register() {
    network.handle(FrameType.RAFT, this::handleRaft);
    network.handle(FrameType.PROPOSE, this::handleProposal);
    network.handle(FrameType.FLEET_POLL, this::handlePoll);
  }

  /** Starts the log, the polling and the planning of groups. */
  public void start() {
    LOG.atInfo()
        .addMarker(LogMarkers.STATE)
        .addKeyValue("last_index", status().lastDurableIndex())
        .addKeyValue("committed_index", status().commitIndex())
        .addKeyValue("term", status().term())
        .log("log opened");
    log.start();
    poller.start();
    timers.every(PLAN_MILLIS, () -> executor.execute(this::plan));
    loopCheckedAt = timers.nowMillis();
    decodingStartedAt = loopCheckedAt;
    timers.every(LOOP_CHECK_MILLIS, () -> executor.execute(this::measureLoopDelay));
    timers.every(LOAD_LOG_MILLIS, () -> executor.execute(this::logLoad));
    metrics.gauge("log_applied_index", () -> status().appliedIndex());
    metrics.gauge("log_leader", () -> status().role() == RaftRole.LEADER ? 1 : 0);
    metrics.gauge("log_term", () -> status().term());
    metrics.gauge("config_version", () -> log.current().version());
    metrics.gauge("loads_summed", loads::summed);
    metrics.gauge("entries", () -> loads.entries(timers.nowMillis()));
  }

  private void measureLoopDelay() {
    long now = timers.nowMillis();
    long delay = Math.max(0, now - loopCheckedAt - LOOP_CHECK_MILLIS);
    loopCheckedAt = now;
    maxLoopDelayMillis = Math.max(maxLoopDelayMillis, delay);
    metrics.loopDelay(delay);
    if (delay >= LOOP_BUSY_MILLIS) {
      LOG.atInfo().addKeyValue("delay_ms", delay).log("the event loop was busy");
    }
  }

  private void logLoad() {
    ReplicaMetrics.Totals totals = metrics.totals();
    ReplicaMetrics.Totals sinceLastLog = totals.since(lastTotals);
    lastTotals = totals;
    ReplicaStatus s = log.status();
    LOG.atInfo()
        .addKeyValue("loop_delay_ms", maxLoopDelayMillis)
        .addKeyValue("entry_polls", sinceLastLog.entryPolls())
        .addKeyValue("replica_polls", sinceLastLog.replicaPolls())
        .addKeyValue("poll_ms", TimeUnit.MICROSECONDS.toMillis(sinceLastLog.pollMicros()))
        .addKeyValue("poll_bytes", sinceLastLog.pollBytes())
        .addKeyValue("heartbeats", sinceLastLog.heartbeats())
        .addKeyValue("role", s.role())
        .addKeyValue("term", s.term())
        .addKeyValue("leader", String.valueOf(s.leader()))
        .addKeyValue("applied", s.appliedIndex())
        .addKeyValue("version", log.current().version())
        .log("replica load");
    maxLoopDelayMillis = 0;
  }

  /**
   * Installs a configuration that has been validated.
   *
   * @return completes when it is committed, or when a higher version is already committed
   */
  public CompletableFuture<Void> install(long version, byte[] content) {
    return commit(ServingCommand.Install.of(version, content)).thenAccept(r -> {});
  }

  /**
   * Takes an availability zone out of service or returns it to service, unless the caller has given
   * the order up: it may then have been replaced by a newer one, through another replica.
   *
   * @param callerWaits whether the caller certainly still waits; called on any thread
   * @return completes when the order is committed; fails with {@code no-quorum} if no majority
   *     confirms it, and with {@code order-abandoned} if it has no effect because the caller may
   *     have given it up
   */
  public CompletableFuture<Void> setZone(String zone, boolean out, BooleanSupplier callerWaits) {
    return read()
        .thenComposeAsync(
            s -> {
              if (!callerWaits.getAsBoolean()) {
                throw new EbonypondException(ErrorCode.ORDER_ABANDONED);
              }
              return commit(new ServingCommand.SetZone(zone, out, s.zonesIndex()));
            },
            executor)
        .thenCompose(
            r ->
                ServingState.isSuperseded(r.result())
                    ? setZone(zone, out, callerWaits)
                    : CompletableFuture.completedFuture(null));
  }

  /**
   * Returns a state that includes everything committed before the call; fails with {@code
   * no-quorum} if no majority confirms it.
   */
  public CompletableFuture<ServingState.Committed> read() {
    return commit(new ServingCommand.Barrier())
        .thenCompose(r -> whenApplied(r.index(), timers.nowMillis() + PROPOSAL_TIMEOUT_MILLIS));
  }

  /**
   * Processes a heartbeat of an instance.
   *
   * @return completes when the heartbeat can be acknowledged: at once, or if the instance drains,
   *     when that is committed; fails with {@code no-quorum} if no majority confirms it
   */
  public CompletableFuture<Void> heartbeat(FleetInstance instance) {
    metrics.heartbeat();
    if (table.merge(instance, 0, timers.nowMillis())) {
      LOG.atInfo()
          .addKeyValue("instance", instance.id())
          .addKeyValue("phase", instance.phase())
          .addKeyValue("zone", instance.zone())
          .addKeyValue("domain", instance.domain())
          .addKeyValue("group", instance.group())
          .addKeyValue("staged", instance.staged())
          .addKeyValue("cold_ms", instance.coldMillis())
          .log("instance changed");
    }
    return instance.phase() == InstancePhase.DRAINING
        ? departures.record(
            new Departure(instance.id(), instance.startMillis(), instance.sequence()))
        : CompletableFuture.completedFuture(null);
  }

  /**
   * Records that an instance has deregistered.
   *
   * @return completes when that is committed; fails with {@code no-quorum} if no majority confirms
   *     it
   */
  public CompletableFuture<Void> deregister(String id) {
    long wallMillis = System.currentTimeMillis();
    FleetInstance known = table.get(id);
    table.remove(id, wallMillis, timers.nowMillis());
    LOG.atInfo().addKeyValue("instance", id).log("instance deregistered");
    return departures.record(
        Departure.deregistered(id, known == null ? wallMillis : known.startMillis()));
  }

  /** Applies the departures that the log has to the table, if there are new ones. */
  private void applyDepartures(long now) {
    List<Departure> all = log.current().departures();
    if (all != appliedDepartures) {
      appliedDepartures = all;
      table.depart(all, now);
    }
  }

  /** Replaces the seed replicas from the settings. */
  public void seeds(List<String> names) {
    directory.seeds(names);
  }

  /** Returns the status of the log. */
  public ReplicaStatus status() {
    return log.status();
  }

  /** Returns the committed state that this replica has applied. */
  public ServingState.Committed applied() {
    return log.current();
  }

  /** Returns the instances that this replica knows. */
  public List<InstanceUpdate> instances() {
    return table.all(timers.nowMillis());
  }

  @Override
  public void close() {
    log.close();
  }

  private CompletableFuture<ProposalReply> commit(ServingCommand c) {
    long startedAt = timers.nowMillis();
    String kind = c.getClass().getSimpleName();
    return proposals
        .propose(ServingLog.CHANNEL, ServingCodec.encodeCommand(c), PROPOSAL_TIMEOUT_MILLIS)
        .whenComplete(
            (r, failure) ->
                metrics.commitEnded(kind, failure == null, timers.nowMillis() - startedAt));
  }

  private CompletableFuture<ServingState.Committed> whenApplied(long index, long deadline) {
    CompletableFuture<ServingState.Committed> done = new CompletableFuture<>();
    awaitApplied(index, deadline, done);
    return done;
  }

  private void awaitApplied(
      long index, long deadline, CompletableFuture<ServingState.Committed> done) {
    ServingState.Committed applied = log.appliedAt(index);
    if (applied != null) {
      done.complete(applied);
    } else if (timers.nowMillis() > deadline) {
      done.completeExceptionally(new EbonypondException(ErrorCode.NO_QUORUM));
    } else {
      timers.after(LOG_HEARTBEAT_MILLIS / 5, () -> awaitApplied(index, deadline, done));
    }
  }

  private void sendLog(String channel, String to, byte[] payload) {
    network.send(ReplicaDirectory.address(to), FrameType.RAFT, channel, payload);
  }

  private CompletableFuture<byte[]> handleRaft(Frame f) {
    log.receive(f.from(), f.payload());
    return CompletableFuture.completedFuture(new byte[0]);
  }

  private CompletableFuture<byte[]> handleProposal(Frame f) {
    // A committed entry that cannot be decoded would stop every replica; reject it beforehand.
    ServingCodec.decodeCommand(f.payload());
    return log.propose(f.payload())
        .thenApply(
            r -> new ProposalReply(r.index(), r.result(), r.failure(), r.leaderHint()).encode());
  }

  private CompletableFuture<byte[]> handlePoll(Frame f) {
    return CompletableFuture.supplyAsync(() -> answerPoll(f), executor)
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                LOG.atError()
                    .addKeyValue("peer", f.from())
                    .setCause(failure)
                    .log("poll could not be answered");
              }
            });
  }

  private byte[] answerPoll(Frame f) {
    final long startedNanos = System.nanoTime();
    FleetPoll p = PollCodec.decodePoll(f.payload());
    applyDepartures(timers.nowMillis());
    byte[] answer = PollCodec.encodeResult(pollHandler.answer(p, timers.nowMillis()));
    if (!p.address().isEmpty()) {
      log.discover(p.address());
    }
    metrics.pollAnswered(!p.address().isEmpty(), System.nanoTime() - startedNanos, answer.length);
    return answer;
  }

  /** Records the number of entries in the log once it has been stable for a while. */
  private void recordEntries(long now) {
    int count = loads.entries(now);
    if (count != lastEntryCount) {
      lastEntryCount = count;
      entryCountSince = now;
    }
    if (count > log.current().entries()
        && now - entryCountSince >= PollHandler.ENTRY_DISCOVERY_MILLIS) {
      proposeObservation(new ServingCommand.NoteEntries(count));
    }
  }

  private void recordQuarantine(long now) {
    List<String> parts = pollHandler.quarantine(now);
    if (!parts.equals(log.current().quarantine())) {
      proposeObservation(new ServingCommand.Quarantine(parts));
    }
  }

  /**
   * Takes over the blocked prompt parts of the log when they have changed. Only a leader that knows
   * the newest state does: others learn them from it, and a replica that has just started may hold
   * parts that were released since.
   */
  private void restoreQuarantine(long now) {
    List<String> parts = log.current().quarantine();
    if (parts.equals(restoredQuarantine)) {
      return;
    }
    restoredQuarantine = parts;
    try {
      pollHandler.restoreQuarantine(parts, now);
      LOG.atInfo().addKeyValue("parts", parts).log("quarantine of the log");
    } catch (EbonypondException e) {
      // Entries find a harmful part again; without the configuration they could not serve at all.
      LOG.atError().addKeyValue("parts", parts).setCause(e).log("quarantine cannot be decoded");
    }
  }

  private void merge(String replica, FleetPollResult r, long sentAt) {
    long now = timers.nowMillis();
    recordNewest(r.version(), newestVersion.record(r, sentAt));
    r.instances().forEach(u -> table.merge(u.instance(), u.ageMillis(), now));
    r.unchanged().forEach(i -> table.confirm(i, now));
    directory.names(now).forEach(log::discover);
  }

  private void plan() {
    long now = timers.nowMillis();
    table.prune(now);
    applyDepartures(now);
    boolean holdsNewestState = log.leaderState().confirmedAt() != Long.MIN_VALUE;
    if (holdsNewestState) {
      restoreQuarantine(now);
    }
    logConfiguration(now);
    ReplicaStatus s = log.status();
    if (holdsNewestState) {
      logFirstConfirmation(s);
    }
    boolean leads = s.role() == RaftRole.LEADER && s.mayLead(now);
    if (leads || now - decodingStartedAt >= FOLLOWER_DECODING_MILLIS) {
      decodeNewest(now);
    }
    ServingConfig c = config;
    if (c == null || !leads) {
      return;
    }
    recordEntries(now);
    if (holdsNewestState) {
      // Before, what the log has blocked is unknown here and would be released.
      recordQuarantine(now);
    }
    List<InstanceUpdate> all = table.all(now);
    for (ServiceProfile p : c.services().values()) {
      if (p.engine() != null) {
        FleetPlanner planner = planners.computeIfAbsent(p.name(), n -> newPlanner());
        if (planner.term() != s.term()) {
          planner.startTerm(s.term(), isFirstLeader(all), p.engine().loadsPerSecond(), now);
          LOG.atInfo()
              .addKeyValue("term", s.term())
              .addKeyValue("instances", all.size())
              .log("plans groups");
        }
        List<FleetOrder> round =
            planner.plan(all, loads.all(now), p.name(), p.engine(), beforeTraffic(), now);
        planner.decisions().forEach(d -> decisions.write(p.name(), d));
        round.forEach(o -> send(planner, o));
        logSummary(p.name(), planner.summary());
      }
    }
  }

  /**
   * Proposes a command that records an observation for replicas that start later. Only one such
   * proposal is in flight at a time; the next planning round proposes again what is still missing.
   */
  private void proposeObservation(ServingCommand c) {
    if (!observationInFlight) {
      observationInFlight = true;
      commit(c).whenComplete((r, failure) -> executor.execute(() -> observationInFlight = false));
    }
  }

  /** Returns the applied state, which the leader of the log knows to be the newest by itself. */
  private ConfirmedState confirmed() {
    ConfirmedState own = log.leaderState();
    ServingState.Committed s = own.state();
    recordNewest(s.version(), newestVersion.record(s.version(), own.confirmedAt()));
    return new ConfirmedState(s, newestVersion.confirmedAt(s.version()));
  }

  private void recordNewest(long version, boolean consistent) {
    if (!consistent) {
      LOG.atWarn()
          .addKeyValue("version", version)
          .addKeyValue("known", newestVersion.version())
          .log("an older configuration is reported as the newest");
    }
  }

  /** Logs a configuration that this replica has applied, so that its way can be followed. */
  private void logConfiguration(long now) {
    ConfirmedState s = confirmed();
    long version = s.state().version();
    if (version != loggedVersion) {
      loggedVersion = version;
      LOG.atInfo()
          .addMarker(LogMarkers.STATE)
          .addKeyValue("version", version)
          .addKeyValue("applied", status().appliedIndex())
          .addKeyValue(
              "confirmed_ms_ago",
              s.confirmedAt() == Long.MIN_VALUE ? -1 : Math.max(0, now - s.confirmedAt()))
          .log("configuration applied");
    }
  }

  /** Logs what a new leader takes for the newest state, once a majority has confirmed its term. */
  private void logFirstConfirmation(ReplicaStatus s) {
    if (s.term() != confirmedTerm) {
      confirmedTerm = s.term();
      LOG.atInfo()
          .addMarker(LogMarkers.STATE)
          .addKeyValue("term", s.term())
          .addKeyValue("applied", s.appliedIndex())
          .addKeyValue("version", log.current().version())
          .log("a majority confirms the leader");
    }
  }

  private void logSummary(String service, String summary) {
    if (!summary.equals(summaries.put(service, summary))) {
      LOG.atInfo().addKeyValue("service", service).addKeyValue("state", summary).log("groups");
    }
  }

  /**
   * Returns whether the system has received no request yet. This is stored in the log, because a
   * restarted process knows neither of requests before its start nor whether the whole system is
   * starting.
   */
  private boolean beforeTraffic() {
    boolean began = log.current().traffic();
    if (!began && loads.hasTraffic()) {
      proposeObservation(new ServingCommand.BeginTraffic());
    }
    return !began && !loads.hasTraffic();
  }

  private FleetPlanner newPlanner() {
    return new FleetPlanner(
        2 * settings.heartbeatMillis() + HEARTBEAT_DELAY_MILLIS,
        settings.heartbeatMillis() + HEARTBEAT_DELAY_MILLIS,
        settings.stallMillis(),
        new WeightLoadLimiter(settings.loadWindowMillis()));
  }

  /** Decodes the applied configuration, one at a time; {@link #config} has the result later. */
  private void decodeNewest(long now) {
    ServingState.Committed s = log.current();
    if (decoding || s.version() == 0 || s.version() == decodedVersion) {
      return;
    }
    decoding = true;
    decodingStartedAt = now;
    loader
        .load(s::document)
        .whenComplete((c, failure) -> executor.execute(() -> decoded(s.version(), c, failure)));
  }

  private void decoded(long version, @Nullable ServingConfig c, @Nullable Throwable failure) {
    decoding = false;
    decodedVersion = version;
    if (c == null) {
      // It was validated before it was committed, but another release may have done that.
      LOG.atError()
          .addKeyValue("version", version)
          .setCause(failure)
          .log("configuration cannot be decoded");
      return;
    }
    config = c;
    LOG.atInfo()
        .addKeyValue("version", version)
        .addKeyValue("took_ms", timers.nowMillis() - decodingStartedAt)
        .log("configuration decoded");
  }

  private boolean isKnown(String service) {
    ServingConfig c = config;
    return c == null || c.services().containsKey(service);
  }

  /**
   * Returns whether no earlier leader can have formed groups. After a restart of all replicas, only
   * the log tells that there was one.
   */
  private boolean isFirstLeader(List<InstanceUpdate> all) {
    return !log.current().traffic()
        && !all.isEmpty()
        && all.stream()
            .map(InstanceUpdate::instance)
            .allMatch(i -> i.group() == null && i.lastModel().isEmpty());
  }

  private void send(FleetPlanner planner, FleetOrder o) {
    long sentAt = timers.nowMillis();
    sendOrReport(o)
        .whenComplete(
            (outcome, failure) ->
                executor.execute(
                    () -> {
                      long now = timers.nowMillis();
                      LOG.atInfo()
                          .addKeyValue("order", o.kind())
                          .addKeyValue("instance", o.instance())
                          .addKeyValue("group", o.group())
                          .addKeyValue("epoch", o.epoch())
                          .addKeyValue("model", o.model())
                          .addKeyValue("outcome", outcome)
                          .addKeyValue("took_ms", now - sentAt)
                          .log("order answered");
                      planner.answered(o, outcome, now);
                    }));
  }

  /** Sends an order; one that cannot be encoded must not hold back those behind it. */
  private CompletableFuture<OrderOutcome> sendOrReport(FleetOrder o) {
    try {
      return orders.send(o);
    } catch (RuntimeException e) {
      LOG.atWarn()
          .addKeyValue("order", o.kind())
          .addKeyValue("instance", o.instance())
          .setCause(e)
          .log("order cannot be sent");
      return CompletableFuture.completedFuture(OrderOutcome.UNKNOWN);
    }
  }
}
