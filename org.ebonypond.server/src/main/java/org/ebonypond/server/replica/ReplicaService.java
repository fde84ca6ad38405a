package org.ebonypond.server.replica;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.ebonypond.consensus.CommittedEntries;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.ProposalResult;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.RaftNode;
import org.ebonypond.consensus.RaftRole;
import org.ebonypond.consensus.RoleChange;
import org.ebonypond.consensus.StateMachine;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlState;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.ledger.LedgerCommand;
import org.ebonypond.ledger.LedgerResult;
import org.ebonypond.ledger.RequestLedger;
import org.ebonypond.server.control.LeaderDigest;
import org.ebonypond.server.control.ProposalReply;
import org.ebonypond.server.control.ReplicaChannels;
import org.ebonypond.server.control.ViewPoll;
import org.ebonypond.server.control.ViewPollResult;
import org.ebonypond.server.settings.DaemonSettings;
import org.ebonypond.server.settings.ReplicaAddress;
import org.ebonypond.server.storage.FileLogStorage;
import org.ebonypond.server.transport.Frame;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.PeerNetwork;
import org.ebonypond.time.SuspensionDetector;
import org.ebonypond.time.TimerService;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;

/** The replicated logs of a control replica and the handlers of their frames. */
public final class ReplicaService implements AutoCloseable {
  private static final int MAX_ENTRIES_PER_POLL = 1_000;
  // Limits of one ledger shard; with 24 h retention they allow about two keyed calls per second.
  private static final long MAX_LEDGER_RECORDS = 200_000;
  private static final long MAX_LEDGER_BYTES = 64L << 20;

  private final DaemonSettings settings;
  private final PeerNetwork network;
  private final TimerService timers;
  private final SuspensionDetector suspensions;
  private final EventSink events;
  private final RandomGenerator random;
  private final Consumer<Throwable> fatal;
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private final Map<String, ReplicaDriver> drivers = new HashMap<>();
  private final Map<String, RequestLedger> ledgers = new HashMap<>();
  private final ControlState controlState;
  private volatile boolean leadsControl;
  private volatile Function<ViewPoll, LeaderDigest> digests =
      p -> new LeaderDigest(List.of(), List.of());

  /**
   * Opens the data folder and restores every log; {@link #start} starts the logs.
   *
   * @param settings the daemon's settings, with a data folder
   * @param network sends the messages of the logs
   * @param timers provides the time
   * @param suspensions detects the suspensions of this process
   * @param events receives the events of the logs
   * @param random the source of identities and election timeouts
   * @param fatal called when a log has failed; the process must then end
   * @throws EbonypondException {@code log-corrupt}, {@code identity-mismatch} or {@code
   *     storage-failed}
   */
  public ReplicaService(
      DaemonSettings settings,
      PeerNetwork network,
      TimerService timers,
      SuspensionDetector suspensions,
      EventSink events,
      RandomGenerator random,
      Consumer<Throwable> fatal) {
    this.settings = settings;
    this.network = network;
    this.timers = timers;
    this.suspensions = suspensions;
    this.events = events;
    this.random = random;
    this.fatal = fatal;
    settings.replicas().forEach(r -> addresses.put(r.name(), r.address()));
    // Every replica applies every command, but only the leader emits its events, so that the
    // timeline contains each change once.
    EventSink leaderEvents =
        (code, subject, causes, fields) ->
            leadsControl ? events.emit(code, subject, causes, fields) : "";
    controlState = new ControlState(leaderEvents);
    open(ReplicaChannels.CONTROL, controlState, this::controlRoleChanged);
    for (int i = 0; i < settings.ledgerShards(); i++) {
      String channel = ReplicaChannels.ledger(i);
      RequestLedger ledger = new RequestLedger(MAX_LEDGER_RECORDS, MAX_LEDGER_BYTES);
      ledgers.put(channel, ledger);
      open(channel, ledger, c -> {});
    }
  }

  /** Sets the source of leader digests; must be called before {@link #start}. */
  public void digests(Function<ViewPoll, LeaderDigest> source) {
    digests = source;
  }

  /** Registers the frame handlers and starts the logs. */
  public void start() {
    network.handle(FrameType.RAFT, this::raft);
    network.handle(FrameType.PROPOSE, this::propose);
    network.handle(FrameType.VIEW_POLL, this::viewPoll);
    network.handle(FrameType.LEDGER_LOOKUP, this::lookup);
    drivers.values().forEach(ReplicaDriver::start);
  }

  /** Returns the driver of the control log. */
  public ReplicaDriver control() {
    return driver(ReplicaChannels.CONTROL);
  }

  /** Returns the control state; must be read only on the thread of the control log. */
  public ControlState controlState() {
    return controlState;
  }

  @Override
  public void close() {
    drivers.values().forEach(ReplicaDriver::close);
  }

  private void open(String channel, StateMachine machine, Consumer<RoleChange> onRoleChange) {
    Path folder = Objects.requireNonNull(settings.dataFolder()).resolve(channel);
    LogStorage storage = FileLogStorage.open(folder, settings.node(), random, events);
    List<String> names = settings.replicas().stream().map(ReplicaAddress::name).toList();
    RaftConfig config = RaftConfig.standard(settings.node(), names);
    EventSink eventsOfLog =
        (code, subject, causes, fields) -> {
          Map<String, String> fieldsWithLog = new HashMap<>(fields);
          fieldsWithLog.put("log", channel);
          return events.emit(code, subject, causes, fieldsWithLog);
        };
    RaftNode node = new RaftNode(config, storage, machine, random, eventsOfLog, timers.nowMillis());
    ReplicaListener listener =
        new ReplicaListener() {
          @Override
          public void roleChanged(RoleChange change) {
            onRoleChange.accept(change);
          }

          @Override
          public void failed(Throwable cause) {
            fatal.accept(cause);
          }
        };
    drivers.put(
        channel, new ReplicaDriver(channel, node, this::send, timers, suspensions, listener));
  }

  private void controlRoleChanged(RoleChange change) {
    leadsControl = change.role() == RaftRole.LEADER;
  }

  private void send(String channel, String toReplica, byte[] payload) {
    InetSocketAddress to = addresses.get(toReplica);
    if (to != null) {
      network.send(to, FrameType.RAFT, channel, payload);
    }
  }

  private CompletableFuture<byte[]> raft(Frame f) {
    driver(f.channel()).receive(f.from(), f.payload());
    return CompletableFuture.completedFuture(new byte[0]);
  }

  private CompletableFuture<byte[]> propose(Frame f) {
    // A committed entry that cannot be decoded would stop every replica, so it is rejected here.
    Class<?> type =
        f.channel().equals(ReplicaChannels.CONTROL) ? ControlCommand.class : LedgerCommand.class;
    MessagePackCodec.decode(f.payload(), type);
    return driver(f.channel())
        .propose(f.payload())
        .thenApply(ReplicaService::reply)
        .thenApply(ProposalReply::encode);
  }

  private static ProposalReply reply(ProposalResult r) {
    return new ProposalReply(r.index(), r.result(), r.failure(), r.leaderHint());
  }

  private CompletableFuture<byte[]> viewPoll(Frame f) {
    ViewPoll p = MessagePackCodec.decode(f.payload(), ViewPoll.class);
    ReplicaDriver d = control();
    return d.inspect(n -> viewOf(n, p)).thenApply(MessagePackCodec::encode);
  }

  private ViewPollResult viewOf(RaftNode n, ViewPoll p) {
    CommittedEntries committed = n.entriesAfter(p.appliedIndex(), MAX_ENTRIES_PER_POLL);
    // Every replica records every entry, so that a new leader knows all of them immediately.
    LeaderDigest known = digests.apply(p);
    @Nullable LeaderDigest digest = control().status().mayLead(timers.nowMillis()) ? known : null;
    return new ViewPollResult(
        n.isVoter(),
        n.membership().members(),
        n.membershipIndex(),
        n.lastDurableIndex(),
        n.leaderHint(),
        committed,
        digest);
  }

  private CompletableFuture<byte[]> lookup(Frame f) {
    LedgerLookup q = MessagePackCodec.decode(f.payload(), LedgerLookup.class);
    RequestLedger ledger = ledgers.get(f.channel());
    if (ledger == null) {
      throw new EbonypondException(ErrorCode.FRAME_INVALID, "unknown log " + f.channel());
    }
    // Only the leader replies: a replica that lags could return ABSENT for a recorded key.
    return driver(f.channel())
        .read(() -> ledger.lookup(q.workspace(), q.key()))
        .thenApply((LedgerResult r) -> MessagePackCodec.encode(r));
  }

  private ReplicaDriver driver(String channel) {
    ReplicaDriver d = drivers.get(channel);
    if (d == null) {
      throw new EbonypondException(ErrorCode.FRAME_INVALID, "unknown log " + channel);
    }
    return d;
  }
}
