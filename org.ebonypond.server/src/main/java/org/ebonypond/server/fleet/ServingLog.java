package org.ebonypond.server.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.ProposalResult;
import org.ebonypond.consensus.RaftNode;
import org.ebonypond.consensus.RoleChange;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.server.logging.LogMarkers;
import org.ebonypond.server.replica.RaftTransport;
import org.ebonypond.server.replica.ReplicaDriver;
import org.ebonypond.server.replica.ReplicaListener;
import org.ebonypond.server.replica.ReplicaStatus;
import org.ebonypond.serving.ServingState;
import org.ebonypond.time.SuspensionDetector;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The replicated log of one control replica and the state machine that it drives. When a write to
 * disk fails, for example because the disk is full, the state in memory may differ from the durable
 * state: the log is closed and reopened from disk, as after a restart of the process, until writes
 * succeed. Meanwhile the process keeps its table of instances, and the other replicas continue.
 * Thread-safe.
 */
final class ServingLog implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ServingLog.class);
  static final String CHANNEL = "serving";

  /** The delay before the log is reopened after a failed write, in milliseconds. */
  private static final long REOPEN_MILLIS = 500;

  private final Supplier<LogStorage> storageFactory;
  private final BiFunction<LogStorage, ServingState, RaftNode> nodeFactory;
  private final RaftTransport transport;
  private final TimerService timers;
  private final SuspensionDetector suspensions;
  private final Executor opener;
  private final Consumer<Throwable> fatal;
  private volatile OpenLog openLog;
  private volatile boolean started;
  private boolean closed;

  /**
   * Opens the log; it takes part in replication after {@link #start}.
   *
   * @param storageFactory opens the storage
   * @param nodeFactory creates the replica on a storage
   * @param transport sends messages to the other replicas
   * @param timers the clock and timers
   * @param suspensions detects the suspensions of this process
   * @param opener runs the blocking reopening of the storage
   * @param fatal called when the log is corrupt and the process must exit
   * @throws EbonypondException {@code log-corrupt}, {@code identity-mismatch} or {@code
   *     storage-failed}
   */
  ServingLog(
      Supplier<LogStorage> storageFactory,
      BiFunction<LogStorage, ServingState, RaftNode> nodeFactory,
      RaftTransport transport,
      TimerService timers,
      SuspensionDetector suspensions,
      Executor opener,
      Consumer<Throwable> fatal) {
    this.storageFactory = storageFactory;
    this.nodeFactory = nodeFactory;
    this.transport = transport;
    this.timers = timers;
    this.suspensions = suspensions;
    this.opener = opener;
    this.fatal = fatal;
    this.openLog = open();
  }

  /** Starts the threads of the log; a reopened log is started as well from then on. */
  void start() {
    started = true;
    openLog.driver.start();
  }

  /** Returns the status of the log after its last round. */
  ReplicaStatus status() {
    return openLog.driver.status();
  }

  /** Returns the committed state that this replica has applied. */
  ServingState.Committed current() {
    return openLog.state.current();
  }

  /**
   * Returns the applied state, and until when this replica knows by itself that it is the newest.
   */
  ConfirmedState leaderState() {
    // Read the field once, see appliedAt; the state may only be newer than the status.
    OpenLog o = openLog;
    long confirmedAt = o.driver.status().confirmedAt();
    return new ConfirmedState(o.state.current(), confirmedAt);
  }

  /** Returns the applied state if it includes all entries up to an index, or null. */
  ServingState.@Nullable Committed appliedAt(long index) {
    // Read the field once: the log may be reopened at any time, with an older state.
    OpenLog o = openLog;
    return o.driver.status().appliedIndex() >= index ? o.state.current() : null;
  }

  /** Proposes a command, see {@link ReplicaDriver#propose}. */
  CompletableFuture<ProposalResult> propose(byte[] command) {
    return openLog.driver.propose(command);
  }

  /** Delivers a message from another replica. */
  void receive(String from, byte[] payload) {
    openLog.driver.receive(from, payload);
  }

  /** Reports a replica that may join the log. */
  void discover(String name) {
    openLog.driver.discover(name);
  }

  /** Runs one round on the calling thread; for tests that do not start the log. */
  void runOnce() {
    openLog.driver.runOnce();
  }

  @Override
  public synchronized void close() {
    closed = true;
    openLog.close();
  }

  private OpenLog open() {
    LogStorage s = storageFactory.get();
    ServingState state = new ServingState();
    ReplicaDriver d =
        new ReplicaDriver(
            CHANNEL, nodeFactory.apply(s, state), transport, timers, suspensions, new Listener());
    return new OpenLog(s, state, d);
  }

  private void failed(Throwable cause) {
    boolean storageFailed =
        cause instanceof EbonypondException e && e.code() == ErrorCode.STORAGE_FAILED;
    if (!storageFailed) {
      fatal.accept(cause);
      return;
    }
    LOG.atWarn()
        .addKeyValue("reopen_ms", REOPEN_MILLIS)
        .addKeyValue("reason", cause.getMessage())
        .log("the disk has refused a write of the log");
    timers.after(REOPEN_MILLIS, () -> opener.execute(this::reopen));
  }

  private synchronized void reopen() {
    if (closed) {
      return;
    }
    openLog.close();
    try {
      openLog = open();
    } catch (RuntimeException e) {
      // Nothing else would open the log again.
      failed(e);
      return;
    }
    LOG.atInfo()
        .addKeyValue("durable_index", status().lastDurableIndex())
        .log("the log was opened again");
    if (started) {
      openLog.driver.start();
    }
  }

  private final class Listener implements ReplicaListener {
    @Override
    public void roleChanged(RoleChange c) {
      LOG.atInfo()
          .addMarker(LogMarkers.STATE)
          .addKeyValue("role", c.role())
          .addKeyValue("term", c.term())
          .addKeyValue("leader", String.valueOf(c.leader()))
          .log("role in the log changed");
    }

    @Override
    public void failed(Throwable cause) {
      ServingLog.this.failed(cause);
    }
  }

  /** The open storage and the objects that depend on it. */
  private record OpenLog(LogStorage storage, ServingState state, ReplicaDriver driver) {
    void close() {
      driver.close();
      try {
        storage.close();
      } catch (EbonypondException e) {
        // No acknowledged entry depends on the close; the files are read again.
        LOG.atWarn().setCause(e).log("closing the storage of the log failed");
      }
    }
  }
}
