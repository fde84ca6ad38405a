package org.ebonypond.server;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import org.ebonypond.admission.RetryBudget;
import org.ebonypond.admission.RetryPolicy;
import org.ebonypond.admission.ServiceRates;
import org.ebonypond.control.ControlView;
import org.ebonypond.document.LimitsSpec;
import org.ebonypond.drain.ShutdownSequence;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.group.PlacementPolicy;
import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.SchedulerSettings;
import org.ebonypond.kernel.PluginRegistry;
import org.ebonypond.lease.HolderId;
import org.ebonypond.ledger.LedgerCommand;
import org.ebonypond.routing.LoadReport;
import org.ebonypond.routing.Router;
import org.ebonypond.routing.RouterSettings;
import org.ebonypond.routing.RouterState;
import org.ebonypond.routing.RoutingPolicy;
import org.ebonypond.routing.RoutingTable;
import org.ebonypond.server.backend.BackendHttpClient;
import org.ebonypond.server.backend.CacheEventPoller;
import org.ebonypond.server.backend.HttpEngineAdmin;
import org.ebonypond.server.backend.HttpEngineClient;
import org.ebonypond.server.backend.HttpServiceClient;
import org.ebonypond.server.control.AnnouncementRelay;
import org.ebonypond.server.control.ControlLeader;
import org.ebonypond.server.control.EntryInfo;
import org.ebonypond.server.control.LeaderDigest;
import org.ebonypond.server.control.LeaderDirectory;
import org.ebonypond.server.control.ProposalClient;
import org.ebonypond.server.control.ReportedLoad;
import org.ebonypond.server.control.TraceFile;
import org.ebonypond.server.control.ViewFollower;
import org.ebonypond.server.entry.EntryIncarnation;
import org.ebonypond.server.entry.EntryParts;
import org.ebonypond.server.entry.LedgerClient;
import org.ebonypond.server.entry.RequestGate;
import org.ebonypond.server.entry.RequestTracker;
import org.ebonypond.server.entry.ShareClient;
import org.ebonypond.server.events.EventLog;
import org.ebonypond.server.http.EntryHandlers;
import org.ebonypond.server.http1.BackendPool;
import org.ebonypond.server.logging.SuspensionLog;
import org.ebonypond.server.replica.ReplicaService;
import org.ebonypond.server.settings.DaemonSettings;
import org.ebonypond.server.timer.ScheduledTimerService;
import org.ebonypond.server.transport.PeerNetwork;
import org.ebonypond.time.HybridClock;
import org.ebonypond.time.SuspensionDetector;
import org.ebonypond.time.TimerService;
import org.ebonypond.trace.TraceHeader;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.server.RatpackServer;

/** A daemon: an entry, and also a control replica if its settings name a data folder. */
public final class Daemon {
  private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
  private static final int EVENT_CAPACITY = 20_000;
  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final int IO_THREADS = 4;

  /** Backend servers are a few milliseconds away; a slower attempt has lost its packets. */
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** One for each client of backend servers: completions, service calls and control. */
  private static final int BACKEND_THREADS = 3;

  private static final long ROUTER_TICK_MILLIS = 1_000;
  private static final long RELEASE_CALLS_TIMEOUT_MILLIS = 10_000;

  private final DaemonSettings settings;
  private final HolderId holder;
  private final MetricRegistry metrics = new MetricRegistry();
  private final ScheduledExecutorService timerThreads =
      Executors.newScheduledThreadPool(2, daemonThreads("timer"));
  private final ExecutorService leaderThread =
      Executors.newSingleThreadExecutor(daemonThreads("control-leader"));
  private final TimerService timers = new ScheduledTimerService(timerThreads);
  private final EventLoopGroup backendLoops =
      new NioEventLoopGroup(BACKEND_THREADS, daemonThreads("backend"));
  private final BackendHttpClient controlClient = backendClient();
  private final SuspensionDetector suspensions =
      new SuspensionDetector(timers, System::currentTimeMillis, new SuspensionLog());
  private final HybridClock clock = new HybridClock(System::currentTimeMillis);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final EventLog events;
  private final PeerNetwork network;
  private final ViewFollower follower;
  private final RequestTracker tracker;
  private final RouterState routing = RouterState.create();
  private final RetryBudget budget = new RetryBudget(LimitsSpec.DEFAULT.retryBudgetPercent());
  private final ServiceRates rates = new ServiceRates();
  private final ShareClient shares;
  private final Router router;
  private final RequestGate gate;
  private @Nullable ReplicaService replica;
  private @Nullable TraceFile trace;
  private @Nullable RatpackServer server;
  private volatile @Nullable EntryIncarnation incarnation;
  private volatile int exitCode;

  /**
   * Creates a daemon without starting it.
   *
   * @param settings the validated settings
   */
  public Daemon(DaemonSettings settings) {
    this.settings = settings;
    this.holder = new HolderId(settings.node(), System.currentTimeMillis());
    this.events =
        new EventLog(
            settings.node(), Long.toString(holder.incarnation(), 36), clock, EVENT_CAPACITY);
    this.network = new PeerNetwork(settings.node(), clock, timers);
    this.follower =
        new ViewFollower(
            network,
            timers,
            suspensions,
            events,
            settings.replicas(),
            this::entryInfo,
            this::polledInstances);
    this.tracker =
        new RequestTracker(timers, settings.drainNoticeMillis(), this::performShutdownAction);
    this.shares =
        new ShareClient(
            holder,
            network,
            timers,
            suspensions,
            settings.replicas(),
            follower::leader,
            this::onGrant);
    this.router =
        new Router(
            RouterSettings.of(settings.node(), settings.zone()),
            PluginRegistry.load(RoutingPolicy.class).get(settings.routingPolicy()),
            routing,
            shares,
            events,
            new SplittableRandom());
    this.gate = new RequestGate(router, rates, timers);
  }

  /**
   * Starts all components of the daemon.
   *
   * @throws EbonypondException {@code settings-invalid}, {@code log-corrupt}, {@code
   *     identity-mismatch} or {@code storage-failed}
   */
  public void start() {
    follower.onView(this::onControlView);
    follower.onDigest(this::onLeaderDigest);
    ProposalClient proposals = new ProposalClient(network, timers, settings.replicas());
    LedgerClient ledger =
        new LedgerClient(proposals, network, settings.replicas(), settings.ledgerShards());
    EntryIncarnation ownIncarnation =
        new EntryIncarnation(
            settings.node(), holder.incarnation(), System::currentTimeMillis, ledger);
    incarnation = ownIncarnation;
    if (settings.isReplica()) {
      startReplica(ledger);
    }
    network.listen(settings.peer());
    follower.start();
    shares.start();
    gate.start();
    timers.every(SuspensionDetector.LOOK_MILLIS, suspensions::resumedAt);
    timers.every(ROUTER_TICK_MILLIS, () -> router.tick(timers.nowMillis()));
    AnnouncementRelay relay =
        new AnnouncementRelay(network, timers, suspensions, settings.replicas(), follower::leader);
    relay.start();
    new CacheEventPoller(controlClient, timers, router, routing.prefixes()).start();
    ownIncarnation.announce();
    EntryParts parts =
        new EntryParts(timers, events, follower, gate, routing, budget, tracker, metrics);
    registerGauges();
    startHttp(
        new EntryHandlers(
            parts,
            new HttpEngineClient(backendClient()),
            new HttpServiceClient(backendClient(), MAX_BODY_BYTES),
            new RetryPolicy(budget, rates),
            ledger,
            relay,
            proposals,
            events,
            ownIncarnation,
            this::entryInfo,
            System::currentTimeMillis));
    events.emit(
        EventCode.DAEMON_STARTED,
        "node/" + settings.node(),
        Map.of("zone", settings.zone(), "replica", String.valueOf(settings.isReplica())));
  }

  /** Starts a graceful shutdown, as on SIGTERM. */
  public void shutdown() {
    events.emit(EventCode.DAEMON_DRAINING, "node/" + settings.node());
    tracker.signal();
  }

  /**
   * Waits until the shutdown is complete.
   *
   * @return the exit code of the process
   */
  public int awaitStop() throws InterruptedException {
    stopped.await();
    return exitCode;
  }

  private @Nullable TraceFile startTrace() {
    Path path = settings.traceFile();
    if (path == null) {
      return null;
    }
    TraceHeader header =
        new TraceHeader(
            settings.placementPolicy(), PlannerSettings.DEFAULT, SchedulerSettings.DEFAULT);
    TraceFile file = TraceFile.start(path, header, (long) settings.traceMaxMegabytes() << 20);
    trace = file;
    return file;
  }

  private void startReplica(LedgerClient ledger) {
    ReplicaService r =
        new ReplicaService(
            settings,
            network,
            timers,
            suspensions,
            events,
            new SecureRandom(),
            this::stopOnFailure);
    LeaderDirectory directory = new LeaderDirectory(timers);
    r.digests(directory::onPoll);
    ControlLeader leader =
        new ControlLeader(
            r,
            timers,
            leaderThread,
            new HttpEngineAdmin(controlClient),
            PluginRegistry.load(PlacementPolicy.class).get(settings.placementPolicy()),
            events,
            directory,
            e -> releaseCallsOfLostEntry(ledger, e),
            startTrace());
    follower.onView(leader::onView);
    leader.start(network);
    r.start();
    replica = r;
  }

  private void startHttp(EntryHandlers handlers) {
    try {
      server =
          RatpackServer.start(
              s ->
                  s.serverConfig(
                          c ->
                              c.address(settings.http().getAddress())
                                  .port(settings.http().getPort())
                                  .threads(IO_THREADS)
                                  .maxContentLength(MAX_BODY_BYTES)
                                  .registerShutdownHook(false)
                                  .development(false))
                      .handlers(handlers));
    } catch (Exception e) {
      throw new EbonypondException(
          e,
          ErrorCode.SETTINGS_INVALID,
          "http",
          "cannot listen on " + settings.http(),
          "use a free local address and port");
    }
  }

  /** Returns a client with an event loop and connections of its own. */
  private BackendHttpClient backendClient() {
    EventLoop loop = backendLoops.next();
    BackendPool pool = new BackendPool(loop, timers, CONNECT_TIMEOUT_MILLIS);
    return new BackendHttpClient(loop, pool, timers);
  }

  private void onControlView(ControlView view) {
    if (view.document() != null) {
      budget.setPercent(view.document().limits().retryBudgetPercent());
    }
    RoutingTable table = RoutingTable.of(view);
    shares.onTable(table);
    router.onTable(table);
    gate.onView(view);
  }

  private void onLeaderDigest(LeaderDigest digest) {
    long now = timers.nowMillis();
    for (ReportedLoad l : digest.loads()) {
      router.onLoadReport(
          l.instance(),
          new LoadReport(l.boot(), now - l.ageMillis(), l.active(), l.waiting(), l.tokens()));
      routing.suspicion().confirmUp(l.instance(), l.boot(), now - l.announcedAgoMillis());
      shares.onLoad(l);
    }
    gate.tick();
  }

  private void onGrant() {
    gate.tick();
  }

  private void releaseCallsOfLostEntry(LedgerClient ledger, EntryInfo lost) {
    events.emit(
        EventCode.ENTRY_LOST,
        "node/" + lost.node(),
        Map.of("incarnation", String.valueOf(lost.incarnation())));
    ledger.proposeToAll(
        new LedgerCommand.EntryRestarted(
            lost.node(), lost.incarnation() + 1, System.currentTimeMillis()),
        RELEASE_CALLS_TIMEOUT_MILLIS);
  }

  /**
   * Returns the instances whose loads this entry polls: those that it prefers or suspects. Their
   * number is bounded for any size of the fleet.
   */
  private List<String> polledInstances() {
    Set<String> out = new TreeSet<>();
    router.preferred().forEach(t -> out.add(t.instance()));
    routing.suspicion().suspected().forEach(s -> out.add(s.instance()));
    return List.copyOf(out);
  }

  private EntryInfo entryInfo() {
    String address =
        settings.http().getAddress().getHostAddress() + ":" + settings.http().getPort();
    boolean ready = tracker.isReady() && follower.mayStart();
    EntryIncarnation i = incarnation;
    long number = i == null ? holder.incarnation() : i.current();
    return new EntryInfo(settings.node(), settings.zone(), address, ready, number);
  }

  private void performShutdownAction(ShutdownSequence.Action action) {
    switch (action) {
      case REPORT_NOT_READY -> LOG.info("reporting not ready to the load balancer");
      case RETURN_SHARES -> shares.returnAll().whenComplete((r, e) -> tracker.sharesReturned());
      case EXIT -> stop(0);
      default -> throw new IllegalStateException("unknown shutdown action " + action);
    }
  }

  private void stopOnFailure(Throwable cause) {
    LOG.error("a replicated log failed; stopping the process", cause);
    events.emit(
        EventCode.INTERNAL_ERROR,
        "node/" + settings.node(),
        Map.of("detail", String.valueOf(cause)));
    stop(1);
  }

  private void stop(int code) {
    exitCode = code;
    new Thread(
            () -> {
              events.emit(EventCode.DAEMON_STOPPED, "node/" + settings.node());
              stopServer();
              ReplicaService r = replica;
              if (r != null) {
                r.close();
              }
              network.close();
              timerThreads.shutdown();
              backendLoops.shutdownGracefully();
              leaderThread.shutdown();
              TraceFile t = trace;
              if (t != null) {
                t.close();
              }
              stopped.countDown();
            },
            "stop")
        .start();
  }

  private void stopServer() {
    RatpackServer s = server;
    if (s == null) {
      return;
    }
    try {
      s.stop();
    } catch (Exception e) {
      LOG.warn("the HTTP server did not stop cleanly", e);
    }
  }

  private void registerGauges() {
    gauge("requests.in.flight", tracker::inFlight);
    gauge("requests.waiting", gate::waitingCount);
    gauge("view.index", () -> follower.view().index());
    gauge("view.fresh", () -> follower.mayStart() ? 1 : 0);
    gauge("peer.sent.bytes", network::sentBytes);
    Runtime rt = Runtime.getRuntime();
    gauge("heap.used.bytes", () -> rt.totalMemory() - rt.freeMemory());
  }

  private void gauge(String name, Gauge<Number> g) {
    metrics.registerGauge(name, g);
  }

  private static ThreadFactory daemonThreads(String name) {
    return task -> {
      Thread t = new Thread(task, name);
      t.setDaemon(true);
      return t;
    };
  }
}
