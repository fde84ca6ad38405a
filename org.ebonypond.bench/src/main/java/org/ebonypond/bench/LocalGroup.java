package org.ebonypond.bench;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.ProposalResult;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.RaftNode;
import org.ebonypond.consensus.RoleChange;
import org.ebonypond.consensus.StateMachine;
import org.ebonypond.events.EventSink;
import org.ebonypond.server.replica.RaftTransport;
import org.ebonypond.server.replica.ReplicaDriver;
import org.ebonypond.server.replica.ReplicaListener;
import org.ebonypond.time.SuspensionDetector;
import org.ebonypond.time.TimerService;

/**
 * A group of log replicas in this process, each with its own thread and storage; messages are
 * passed by method calls.
 */
final class LocalGroup implements AutoCloseable, TimerService, ReplicaListener {
  private static final long POLL_NANOS = 1_000_000;

  private final Map<String, ReplicaDriver> drivers = new ConcurrentHashMap<>();
  private final List<LogStorage> storages = new ArrayList<>();

  /**
   * Starts the replicas.
   *
   * @param size the number of replicas, at most 3
   * @param opener opens the empty storage of the replica of the given name
   */
  LocalGroup(int size, Function<String, LogStorage> opener) {
    List<String> names = List.of("a", "b", "c").subList(0, size);
    for (String name : names) {
      LogStorage s = opener.apply(name);
      storages.add(s);
      RaftNode node =
          new RaftNode(
              RaftConfig.standard(name, names),
              s,
              new CountingStateMachine(),
              new Random(name.hashCode()),
              EventSink.NONE,
              nowMillis());
      SuspensionDetector suspensions =
          new SuspensionDetector(this, System::currentTimeMillis, suspendedMillis -> {});
      RaftTransport transport = (channel, to, payload) -> drivers.get(to).receive(name, payload);
      drivers.put(name, new ReplicaDriver("bench", node, transport, this, suspensions, this));
    }
    drivers.values().forEach(ReplicaDriver::start);
  }

  ReplicaDriver awaitLeader() {
    while (true) {
      for (ReplicaDriver d : drivers.values()) {
        if (d.status().mayLead(nowMillis())) {
          return d;
        }
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  /**
   * Commits a command; proposes it again if the proposal fails, for example after a change of
   * leader.
   */
  void commit(byte[] command) {
    ProposalResult r;
    do {
      r = awaitLeader().propose(command).join();
    } while (r.failure() != null);
  }

  @Override
  public long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void roleChanged(RoleChange change) {}

  @Override
  public void failed(Throwable cause) {
    cause.printStackTrace();
  }

  @Override
  public void close() {
    drivers.values().forEach(ReplicaDriver::close);
    storages.forEach(LogStorage::close);
  }

  /** A state machine that counts the applied commands. */
  static final class CountingStateMachine implements StateMachine {
    private long count;

    @Override
    public byte[] apply(long index, byte[] command) {
      count++;
      return new byte[0];
    }

    @Override
    public byte[] snapshot() {
      return ByteBuffer.allocate(Long.BYTES).putLong(count).array();
    }

    @Override
    public void restore(byte[] snapshot) {
      count = ByteBuffer.wrap(snapshot).getLong();
    }
  }
}
