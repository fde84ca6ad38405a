package org.ebonypond.server.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.ebonypond.consensus.ProposalResult;
import org.ebonypond.consensus.RaftRole;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlResult;
import org.ebonypond.control.ControlView;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.EngineState;
import org.ebonypond.group.GroupPlanner;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.group.InstanceDetector;
import org.ebonypond.group.ObservationTable;
import org.ebonypond.group.OrderScheduler;
import org.ebonypond.group.PlacementPolicy;
import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.Proposal;
import org.ebonypond.group.SchedulerOutput;
import org.ebonypond.group.SchedulerSettings;
import org.ebonypond.lease.ShareRequest;
import org.ebonypond.server.backend.EngineAdmin;
import org.ebonypond.server.replica.ReplicaService;
import org.ebonypond.server.replica.ReplicaStatus;
import org.ebonypond.server.transport.Frame;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.PeerNetwork;
import org.ebonypond.time.TimerService;
import org.ebonypond.trace.TraceRecord;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The tasks of the control leader: monitoring instances, planning groups, sending orders and
 * granting shares. Runs on one executor thread. While this replica is not the leader, only the
 * readiness of backend servers is tracked.
 */
public final class ControlLeader {
  private static final Logger LOG = LoggerFactory.getLogger(ControlLeader.class);
  private static final long TICK_MILLIS = 100;

  /** Time without a poll until an entry counts as lost: 20 polls, longer than a restart takes. */
  private static final long LOST_ENTRY_MILLIS = 10_000;

  private final ReplicaService replica;
  private final TimerService timers;
  private final Executor executor;
  private final EngineAdmin engines;
  private final InstanceDetector detector = new InstanceDetector();
  private final GroupPlanner planner;
  private final OrderScheduler scheduler;
  private final ShareGranter shares = new ShareGranter();
  private final LeaderDirectory directory;
  private final Consumer<EntryInfo> onLostEntry;
  private final LeaderTrace trace;
  private final ObservationTable observations = new ObservationTable();
  private long term = -1;
  private long electedMillis;
  private ControlView view = ControlView.EMPTY;
  private boolean stepRunning;

  /**
   * Creates the tasks; {@link #start} starts them.
   *
   * @param replica the control replica of this process
   * @param timers runs the ticks
   * @param executor a single thread, which serializes all tasks
   * @param engines the control interface of engines
   * @param policy chooses between placements and repairs
   * @param events receives the events
   * @param directory collects the entries and loads that only the leader knows
   * @param onLostEntry receives each entry that has not polled for 10 s
   * @param trace records the inputs of the decisions, or null
   */
  public ControlLeader(
      ReplicaService replica,
      TimerService timers,
      Executor executor,
      EngineAdmin engines,
      PlacementPolicy policy,
      EventSink events,
      LeaderDirectory directory,
      Consumer<EntryInfo> onLostEntry,
      @Nullable TraceFile trace) {
    this.replica = replica;
    this.timers = timers;
    this.executor = executor;
    this.engines = engines;
    this.planner = new GroupPlanner(policy, PlannerSettings.DEFAULT, events);
    this.scheduler = new OrderScheduler(SchedulerSettings.DEFAULT, events);
    this.directory = directory;
    this.onLostEntry = onLostEntry;
    this.trace = new LeaderTrace(trace);
  }

  /** Registers the frame handlers and starts the ticks. */
  public void start(PeerNetwork network) {
    network.handle(FrameType.INSTANCE_REPORT, this::onInstanceReport);
    network.handle(FrameType.SHARE_REQUEST, this::onShareRequest);
    timers.every(TICK_MILLIS, () -> executor.execute(loggingFailures(this::tick)));
  }

  /** Handles a new control view; called on every replica, whether or not it is the leader. */
  public void onView(ControlView v) {
    executor.execute(loggingFailures(() -> shares.onView(v, timers.nowMillis())));
  }

  private void tick() {
    ReplicaStatus status = replica.control().status();
    if (!status.mayLead(timers.nowMillis())) {
      // A leader that is only unconfirmed, as after a suspension, either goes on or hears of its
      // successor.
      boolean unconfirmed = status.role() == RaftRole.LEADER && status.term() == term;
      if (!unconfirmed) {
        endTerm();
      }
      return;
    }
    if (stepRunning) {
      return;
    }
    stepRunning = true;
    trace
        .read(replica, term != status.term())
        .whenCompleteAsync((v, failure) -> loggingFailures(() -> step(status, v)).run(), executor);
  }

  private void endTerm() {
    if (term >= 0) {
      trace.record(new TraceRecord.TermEnded(timers.nowMillis()));
    }
    term = -1;
    shares.ended();
  }

  private void step(ReplicaStatus status, @Nullable LeaderView read) {
    stepRunning = false;
    ReplicaStatus current = replica.control().status();
    boolean stillLeads = current.term() == status.term() && current.mayLead(timers.nowMillis());
    if (read == null || !stillLeads) {
      // A leader that was frozen after the tick must not act on a view of an earlier term.
      return;
    }
    final long now = timers.nowMillis();
    final ControlView v = read.view();
    trace.viewed(read, now);
    view = v;
    observations.retain(v);
    shares.onView(v, now);
    if (term != status.term()) {
      elected(status.term(), now);
    }
    shares.update(v, now);
    releaseCallsOfLostEntries();
    long leaseHeldUntil = replica.control().status().leaseHeldUntil();
    trace.record(new TraceRecord.Tick(now, leaseHeldUntil));
    detector.tick(v, now).forEach(this::propose);
    planner.plan(v, observations.view(), now).forEach(this::propose);
    execute(scheduler.poll(v, now, leaseHeldUntil));
  }

  private void elected(long newTerm, long now) {
    term = newTerm;
    electedMillis = now;
    trace.elected(newTerm, now);
    detector.elected(now);
    planner.elected();
    scheduler.elected(now);
    observations.clear();
    directory.clearLoads();
    shares.elected(newTerm, now);
  }

  /**
   * Reports entries that have not polled for {@code LOST_ENTRY_MILLIS}, so that the ledger marks
   * their calls as unknown and retries need not wait. An entry that is still running continues
   * under a higher incarnation.
   */
  private void releaseCallsOfLostEntries() {
    for (EntryInfo e : directory.removeSilent(LOST_ENTRY_MILLIS, electedMillis)) {
      onLostEntry.accept(e);
    }
  }

  private void propose(Proposal p) {
    ControlCommand c = p.command();
    LOG.debug("proposes {} because {}", c, p.reason());
    replica
        .control()
        .propose(MessagePackCodec.encode(c))
        .whenCompleteAsync((r, failure) -> loggingFailures(() -> resolved(c, r)).run(), executor);
  }

  private void resolved(ControlCommand c, @Nullable ProposalResult r) {
    boolean unknown = r == null || r.failure() == ErrorCode.OUTCOME_UNKNOWN;
    if (unknown) {
      // The command may still be applied; each component waits for it until its own timeout.
      return;
    }
    if (r.failure() == null) {
      ControlResult result = MessagePackCodec.decode(r.result(), ControlResult.class);
      if (!result.inForce()) {
        LOG.info("command {} was rejected: {}", c, result);
      }
    }
    trace.record(new TraceRecord.ProposalResolved(timers.nowMillis(), c));
    detector.resolved(c);
    planner.resolved(c);
    scheduler.resolved(c);
  }

  private void execute(SchedulerOutput out) {
    trace.issued(out);
    out.proposals().forEach(this::propose);
    for (SchedulerOutput.StateRead r : out.reads()) {
      engines
          .readState(r.address())
          .whenCompleteAsync(
              (s, failure) ->
                  loggingFailures(
                          () -> {
                            if (s == null) {
                              failed(r.token(), r.instance());
                            } else {
                              stateRead(r.token(), s);
                            }
                          })
                      .run(),
              executor);
    }
    for (SchedulerOutput.OrderToSend o : out.orders()) {
      engines
          .send(o.address(), o.order())
          .whenCompleteAsync(
              (ok, failure) ->
                  loggingFailures(
                          () -> {
                            if (failure != null) {
                              LOG.info("order to {} failed: {}", o.instance(), failure.toString());
                              failed(o.token(), o.instance());
                            } else {
                              accepted(o.token(), o.instance());
                            }
                          })
                      .run(),
              executor);
    }
  }

  private void stateRead(long token, EngineState s) {
    long now = timers.nowMillis();
    trace.record(new TraceRecord.EngineStateRead(now, token, s));
    scheduler.stateRead(token, s, now);
  }

  private void accepted(long token, String instance) {
    long now = timers.nowMillis();
    trace.record(new TraceRecord.OrderAccepted(now, token, instance));
    scheduler.orderAccepted(token, now);
  }

  private void failed(long token, String instance) {
    long now = timers.nowMillis();
    trace.record(new TraceRecord.OrderFailed(now, token, instance));
    scheduler.failed(token, now);
  }

  private CompletableFuture<byte[]> onInstanceReport(Frame f) {
    InstanceReport r = MessagePackCodec.decode(f.payload(), InstanceReport.class);
    executor.execute(loggingFailures(() -> r.items().forEach(this::announced)));
    return CompletableFuture.completedFuture(new byte[0]);
  }

  private void announced(InstanceReport.Item item) {
    if (term < 0) {
      return;
    }
    long now = timers.nowMillis();
    InstanceAnnouncement a = item.announcement();
    ReportedLoad load = item.load();
    long heard = now - load.announcedAgoMillis();
    trace.announced(a, heard, now);
    detector.announced(a, heard);
    scheduler.announced(a);
    directory.onLoad(load, now);
    observations.announced(a, view, heard);
    shares.announced(view, a, load, now);
  }

  private CompletableFuture<byte[]> onShareRequest(Frame f) {
    ShareRequest r = MessagePackCodec.decode(f.payload(), ShareRequest.class);
    CompletableFuture<byte[]> answer = new CompletableFuture<>();
    executor.execute(
        () -> {
          try {
            long now = timers.nowMillis();
            if (!replica.control().status().mayLead(now)) {
              throw new EbonypondException(ErrorCode.NOT_LEADER, "unknown");
            }
            answer.complete(MessagePackCodec.encode(shares.onRequest(r, now)));
          } catch (RuntimeException e) {
            answer.completeExceptionally(e);
          }
        });
    return answer;
  }

  private static Runnable loggingFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("task of the control leader failed", e);
      }
    };
  }
}
