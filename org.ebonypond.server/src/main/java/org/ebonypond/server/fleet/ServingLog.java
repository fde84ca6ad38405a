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
import org.ebonypond.server.replica.RaftTransport;
import org.ebonypond.server.replica.ReplicaDriver;
import org.ebonypond.server.replica.ReplicaListener;
import org.ebonypond.server.replica.ReplicaStatus;
import org.ebonypond.serving.ServingState;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The replicated log of one control replica, with the state that its entries lead to. When the disk
 * refuses a write, because it is full for example, this replica cannot vouch for what it has in
 * memory: the log is closed and read again from the disk, as after a restart of the process, until
 * the disk takes writes. Meanwhile the process keeps what it knows of the instances, and the other
 * replicas go on. Thread-safe.
 */
final class ServingLog implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ServingLog.class);
  static final String CHANNEL = "serving";

  /** A disk that has refused a write is tried again after this time, in milliseconds. */
  private static final long REOPEN_MILLIS = 500;

  private final Supplier<LogStorage> storages;
  private final BiFunction<LogStorage, ServingState, RaftNode> nodes;
  private final RaftTransport transport;
  private final TimerService timers;
  private final Executor opener;
  private final Consumer<Throwable> fatal;
  private volatile Opened opened;
  private volatile boolean started;
  private boolean closed;

  /**
   * Opens the log; it runs after {@link #start}.
   *
   * @param storages opens the storage
   * @param nodes creates the replica on a storage
   * @param transport sends messages to other replicas
   * @param timers gives the time
   * @param opener opens the storage again; may block
   * @param fatal is called when the log is damaged, so that the process must end
   * @throws EbonypondException {@code log-corrupt}, {@code identity-mismatch} or {@code
   *     storage-failed}
   */
  ServingLog(
      Supplier<LogStorage> storages,
      BiFunction<LogStorage, ServingState, RaftNode> nodes,
      RaftTransport transport,
      TimerService timers,
      Executor opener,
      Consumer<Throwable> fatal) {
    this.storages = storages;
    this.nodes = nodes;
    this.transport = transport;
    this.timers = timers;
    this.opener = opener;
    this.fatal = fatal;
    this.opened = open();
  }

  /** Starts the threads of the log. */
  void start() {
    started = true;
    opened.driver.start();
  }

  /** Returns the state of the log after its last round. */
  ReplicaStatus status() {
    return opened.driver.status();
  }

  /** Returns the committed state that this replica has applied. */
  ServingState.Committed current() {
    return opened.state.current();
  }

  /** Returns the applied state if it reflects all entries up to an index, or null. */
  ServingState.@Nullable Committed appliedAt(long index) {
    // The log may be opened again at any time, and its state is older then.
    Opened o = opened;
    return o.driver.status().appliedIndex() >= index ? o.state.current() : null;
  }

  /** Proposes a command, see {@link ReplicaDriver#propose}. */
  CompletableFuture<ProposalResult> propose(byte[] command) {
    return opened.driver.propose(command);
  }

  /** Takes a message of another replica. */
  void receive(String from, byte[] payload) {
    opened.driver.receive(from, payload);
  }

  /** Takes the news of a replica that may join. */
  void discover(String name) {
    opened.driver.discover(name);
  }

  /** Runs one round on the thread of a test that has not started the log. */
  void runOnce() {
    opened.driver.runOnce();
  }

  @Override
  public synchronized void close() {
    closed = true;
    opened.close();
  }

  private Opened open() {
    LogStorage s = storages.get();
    ServingState state = new ServingState();
    ReplicaDriver d =
        new ReplicaDriver(CHANNEL, nodes.apply(s, state), transport, timers, new Listener());
    return new Opened(s, state, d);
  }

  private void failed(Throwable cause) {
    boolean refused = cause instanceof EbonypondException e && e.code() == ErrorCode.STORAGE_FAILED;
    if (!refused) {
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
    opened.close();
    try {
      opened = open();
    } catch (EbonypondException e) {
      failed(e);
      return;
    }
    LOG.atInfo()
        .addKeyValue("durable_index", status().lastDurableIndex())
        .log("the log was opened again");
    if (started) {
      opened.driver.start();
    }
  }

  private final class Listener implements ReplicaListener {
    @Override
    public void roleChanged(RoleChange c) {
      LOG.atInfo()
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

  /** One opening of the storage. */
  private record Opened(LogStorage storage, ServingState state, ReplicaDriver driver) {
    void close() {
      driver.close();
      try {
        storage.close();
      } catch (EbonypondException e) {
        // Nothing that the log has acknowledged depends on a close; the files are read again.
        LOG.atWarn().setCause(e).log("the storage of the log could not be closed");
      }
    }
  }
}
