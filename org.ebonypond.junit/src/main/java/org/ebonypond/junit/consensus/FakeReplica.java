package org.ebonypond.junit.consensus;

import java.util.random.RandomGenerator;
import org.ebonypond.consensus.DiskLogStorage;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.RaftNode;
import org.ebonypond.consensus.RaftOutput;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/** A replica of a {@link RaftCluster}: a disk, and a process that can be stopped and restarted. */
public final class FakeReplica {
  /** Small enough that compaction deletes segments during a test. */
  private static final int SEGMENT_BYTES = 4096;

  private final RaftConfig config;
  private final RandomGenerator random;
  private final SafetyChecker checker;
  private final MemoryDisk disk = new MemoryDisk();
  private final RecordingEvents events = new RecordingEvents();
  private final long clockOffset;
  private final DurabilityChecker durability;
  private HashingStateMachine machine;
  private @Nullable LogStorage storage;
  private @Nullable RaftNode node;
  private boolean frozen;
  private @Nullable Runnable runningSync;
  private long syncEndMillis;
  private int maxSyncMillis;
  private int nextStallMillis;

  FakeReplica(RaftConfig config, RandomGenerator random, SafetyChecker checker) {
    this.config = config;
    this.random = random;
    this.checker = checker;
    this.machine = new HashingStateMachine(checker);
    this.durability = new DurabilityChecker(config.self(), disk, SEGMENT_BYTES);
    this.clockOffset = random.nextLong(-1_000_000, 1_000_000);
  }

  /** Returns the name of this replica. */
  public String name() {
    return config.self();
  }

  /** Returns the clock of this replica, which differs from the cluster time by a constant. */
  public long localTime(long now) {
    return now + clockOffset;
  }

  /** Returns the cluster time of a time on the clock of this replica. */
  long clusterTime(long local) {
    return local - clockOffset;
  }

  /** Returns whether the running process may act as the leader at a cluster time. */
  public boolean mayLead(long now) {
    return node().mayLead(localTime(now));
  }

  /** Returns the disk. */
  public MemoryDisk disk() {
    return disk;
  }

  /** Returns the events of this replica, including those before restarts. */
  public RecordingEvents events() {
    return events;
  }

  /** Returns the state machine of the running process, or else of the last one. */
  public HashingStateMachine machine() {
    return machine;
  }

  /** Returns whether the process runs; a frozen process counts. */
  public boolean isUp() {
    return node != null;
  }

  /** Returns whether the process is frozen. */
  public boolean isFrozen() {
    return frozen;
  }

  /**
   * Returns the running process.
   *
   * @throws IllegalStateException if there is none
   */
  public RaftNode node() {
    RaftNode n = node;
    if (n == null) {
      throw new IllegalStateException(name() + " is down");
    }
    return n;
  }

  /** Returns the storage of the running process. */
  public LogStorage storage() {
    LogStorage s = storage;
    if (s == null) {
      throw new IllegalStateException(name() + " is down");
    }
    return s;
  }

  /** Sets the duration of the next sync, in milliseconds. */
  public void stallNextSync(int millis) {
    nextStallMillis = millis;
  }

  /** Makes each later sync take a random time up to a maximum, in milliseconds. */
  public void slowSyncs(int maxMillis) {
    maxSyncMillis = maxMillis;
  }

  /** Returns whether a sync is in progress. */
  public boolean isSyncing() {
    return runningSync != null;
  }

  /** Advances the running process and its disk to a cluster time. */
  RaftOutput advance(long now) {
    RaftNode n = node();
    Runnable sync = runningSync;
    if (sync != null && now >= syncEndMillis) {
      runningSync = null;
      sync.run();
      n.syncEnded(localTime(now));
    }
    RaftOutput output = syncsAreImmediate() ? n.flush(localTime(now)) : n.advance(localTime(now));
    output.messages().forEach(m -> durability.check(m.message()));
    if (!syncsAreImmediate()) {
      beginSync(n, now);
    }
    return output;
  }

  private boolean syncsAreImmediate() {
    return maxSyncMillis == 0 && nextStallMillis == 0;
  }

  private void beginSync(RaftNode n, long now) {
    Runnable next = n.beginSync();
    if (next == null) {
      return;
    }
    runningSync = next;
    syncEndMillis =
        now + nextStallMillis + (maxSyncMillis == 0 ? 0 : random.nextInt(maxSyncMillis + 1));
    nextStallMillis = 0;
  }

  void start(long now) {
    machine = new HashingStateMachine(checker);
    LogStorage s = new DiskLogStorage(disk, name(), random, events, SEGMENT_BYTES);
    storage = s;
    node = new RaftNode(config, s, machine, random, events, localTime(now));
    frozen = false;
  }

  void stop(@Nullable RandomGenerator tornWrites) {
    node = null;
    storage = null;
    frozen = false;
    interruptSync(tornWrites);
    disk.crash(tornWrites);
  }

  /** Ends the process, but not the system whose cache holds its unsynced writes. */
  void stopProcess(RandomGenerator r) {
    node = null;
    storage = null;
    frozen = false;
    interruptSync(r);
    disk.allowSyncs();
  }

  /** Interrupts the sync in progress after a random number of its file syncs. */
  private void interruptSync(@Nullable RandomGenerator tornWrites) {
    Runnable interrupted = runningSync;
    runningSync = null;
    if (interrupted == null || tornWrites == null) {
      return;
    }
    disk.failSyncsAfter(tornWrites.nextInt(4));
    try {
      interrupted.run();
    } catch (EbonypondException e) {
      if (e.code() != ErrorCode.STORAGE_FAILED) {
        throw e;
      }
    }
  }

  void freeze(boolean value) {
    frozen = value;
  }

  @Override
  public String toString() {
    RaftNode n = node;
    if (n == null) {
      return name() + " down";
    }
    return String.format(
        "%s %s%s identity %s term %d commit %d last %d members %s",
        name(),
        n.role(),
        frozen ? " frozen" : "",
        n.identity(),
        n.term(),
        n.commitIndex(),
        storage().lastIndex(),
        n.membership().members());
  }
}
