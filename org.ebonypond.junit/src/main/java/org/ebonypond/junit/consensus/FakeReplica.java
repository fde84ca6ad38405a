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

/** One replica of a {@link RaftCluster}: a disk that stays, and a process that comes and goes. */
public final class FakeReplica {
  /** Small segments, so that runs delete some. */
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
  private @Nullable Runnable sync;
  private long syncEnd;
  private int slowSyncMillis;
  private int stallMillis;

  FakeReplica(RaftConfig config, RandomGenerator random, SafetyChecker checker) {
    this.config = config;
    this.random = random;
    this.checker = checker;
    this.machine = new HashingStateMachine(checker);
    this.durability = new DurabilityChecker(config.self(), disk, SEGMENT_BYTES);
    this.clockOffset = random.nextLong(-1_000_000, 1_000_000);
  }

  /** Returns the name. */
  public String name() {
    return config.self();
  }

  /** Returns the time on the clock of this replica; the clocks differ by constant values. */
  public long localTime(long now) {
    return now + clockOffset;
  }

  /** Returns whether the running process may act as the leader at a time of the group. */
  public boolean mayLead(long now) {
    return node().mayLead(localTime(now));
  }

  /** Returns the disk. */
  public MemoryDisk disk() {
    return disk;
  }

  /** Returns the events of all processes of this replica. */
  public RecordingEvents events() {
    return events;
  }

  /** Returns the state machine of the current or last process. */
  public HashingStateMachine machine() {
    return machine;
  }

  /** Returns whether a process runs, frozen or not. */
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

  /** Makes the next sync take a time, in milliseconds. */
  public void stallNextSync(int millis) {
    stallMillis = millis;
  }

  /** Makes each sync from now on take a random time up to a maximum, in milliseconds. */
  public void slowSyncs(int maxMillis) {
    slowSyncMillis = maxMillis;
  }

  /** Returns whether a sync is under way. */
  public boolean isSyncing() {
    return sync != null;
  }

  /** Advances the running process, and its disk, to a time of the group. */
  RaftOutput advance(long now) {
    RaftNode n = node();
    Runnable running = sync;
    if (running != null && now >= syncEnd) {
      sync = null;
      running.run();
      n.syncEnded(localTime(now));
    }
    RaftOutput output = isDiskFast() ? n.flush(localTime(now)) : n.advance(localTime(now));
    output.messages().forEach(m -> durability.check(m.message()));
    if (!isDiskFast()) {
      beginSync(n, now);
    }
    return output;
  }

  private boolean isDiskFast() {
    return slowSyncMillis == 0 && stallMillis == 0;
  }

  private void beginSync(RaftNode n, long now) {
    Runnable next = n.beginSync();
    if (next == null) {
      return;
    }
    sync = next;
    syncEnd = now + stallMillis + (slowSyncMillis == 0 ? 0 : random.nextInt(slowSyncMillis + 1));
    stallMillis = 0;
  }

  void start(long now) {
    machine = new HashingStateMachine(checker);
    LogStorage s = new DiskLogStorage(disk, name(), random, events, SEGMENT_BYTES);
    storage = s;
    node = new RaftNode(config, s, machine, random, events, localTime(now));
    frozen = false;
  }

  void stop(@Nullable RandomGenerator tear) {
    node = null;
    storage = null;
    frozen = false;
    interruptSync(tear);
    disk.crash(tear);
  }

  /** Ends a sync that is under way after a random part of its writes. */
  private void interruptSync(@Nullable RandomGenerator tear) {
    Runnable interrupted = sync;
    sync = null;
    if (interrupted == null || tear == null) {
      return;
    }
    disk.failSyncsAfter(tear.nextInt(4));
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
