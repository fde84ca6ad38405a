package org.ebonypond.junit.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.ebonypond.consensus.ProposalResult;
import org.ebonypond.consensus.RaftCodec;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.RaftNode;
import org.ebonypond.consensus.RaftOutput;
import org.ebonypond.consensus.RaftRole;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/** A cluster of replicas with fake disks and a fake network on a manual clock in milliseconds. */
public final class RaftCluster {
  private static final long REPLACE_AFTER_MILLIS = 3_000;

  private final Random random;
  private final List<String> initialNames;
  private final int targetVoters;
  private final boolean leaderLease;
  private final SafetyChecker checker = new SafetyChecker();
  private final MemoryNetwork network;
  private final Map<String, FakeReplica> replicas = new TreeMap<>();
  private final Map<Long, byte[]> commands = new HashMap<>();
  private final Map<Long, ProposalResult> results = new HashMap<>();
  private long now;
  private long nextProposal = 1;
  private boolean endsProcessesOnFailedSyncs;
  private int messageMillis;
  private final Map<String, Long> busyUntil = new HashMap<>();

  /**
   * Creates a cluster with empty disks in which no process runs yet.
   *
   * @param seed the seed of every random choice
   * @param size the number of replicas, named a, b, c, ...
   * @param compactAfter see {@link RaftConfig#compactAfter()}
   */
  public RaftCluster(long seed, int size, int compactAfter) {
    this(seed, size, compactAfter, size);
  }

  /**
   * Creates a cluster with empty disks in which no process runs yet and which replicas can join.
   *
   * @param targetVoters the number of voters up to which joining replicas become voters
   */
  public RaftCluster(long seed, int size, int compactAfter, int targetVoters) {
    this(seed, size, compactAfter, targetVoters, true);
  }

  private RaftCluster(
      long seed, int size, int compactAfter, int targetVoters, boolean leaderLease) {
    this.targetVoters = targetVoters;
    this.leaderLease = leaderLease;
    random = new Random(seed);
    network = new MemoryNetwork(new Random(random.nextLong()));
    List<String> names = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      names.add(String.valueOf((char) ('a' + i)));
    }
    initialNames = List.copyOf(names);
    for (String name : names) {
      RaftConfig config = config(name, compactAfter);
      replicas.put(name, new FakeReplica(config, new Random(random.nextLong()), checker));
    }
  }

  /** Creates a cluster whose leaders have no leases, as those of the serving log. */
  public static RaftCluster withoutLeases(long seed, int size, int compactAfter) {
    return new RaftCluster(seed, size, compactAfter, size, false);
  }

  /** Returns the checker of all replicas. */
  public SafetyChecker checker() {
    return checker;
  }

  /** Returns the network. */
  public MemoryNetwork network() {
    return network;
  }

  /** Returns the cluster time in milliseconds. */
  public long now() {
    return now;
  }

  /** Returns a replica. */
  public FakeReplica replica(String name) {
    FakeReplica r = replicas.get(name);
    if (r == null) {
      throw new IllegalArgumentException("no replica " + name);
    }
    return r;
  }

  /** Returns all replicas. */
  public Collection<FakeReplica> replicas() {
    return replicas.values();
  }

  /** Starts a replica with a new name and an empty disk; the running replicas discover it. */
  public void join(String name) {
    RaftConfig config = config(name, 1_000);
    replicas.put(name, new FakeReplica(config, new Random(random.nextLong()), checker));
    start(name);
    for (FakeReplica r : replicas.values()) {
      if (r.isUp()) {
        r.node().discover(name);
      }
    }
  }

  private RaftConfig config(String name, int compactAfter) {
    return new RaftConfig(
        name,
        initialNames,
        100,
        500,
        1000,
        compactAfter,
        compactAfter / 4,
        4096,
        64,
        targetVoters,
        REPLACE_AFTER_MILLIS,
        leaderLease);
  }

  /** Starts every replica that is down. */
  public void startAll() {
    replicas.keySet().forEach(this::start);
  }

  /** Starts a replica that is down. */
  public void start(String name) {
    if (!replica(name).isUp()) {
      replica(name).start(now);
      // Replicas are discovered outside of the log; here the discovery is immediate.
      replicas.keySet().forEach(replica(name).node()::discover);
    }
  }

  /**
   * Kills the process of a replica without a loss of power: the next process finds what was written
   * and not synced.
   */
  public void killProcess(String name) {
    replica(name).stopProcess(random);
    network.drop(name);
  }

  /**
   * Makes each replica handle one message at a time, as on a processor that is too slow; it does
   * nothing else meanwhile.
   *
   * @param millis the mean time that a message takes, in milliseconds; 0 for none
   */
  public void slowProcessors(int millis) {
    messageMillis = millis;
  }

  /** Lets some failed syncs end only the process; otherwise each one is a loss of power. */
  public void endProcessesOnFailedSyncs() {
    endsProcessesOnFailedSyncs = true;
  }

  /** Takes the power of a replica; unsynced data is lost. */
  public void kill(String name) {
    replica(name).stop(null);
    network.drop(name);
  }

  /** Takes the power of a replica during a write: some of the unsynced bytes may survive. */
  public void killWhileWriting(String name) {
    replica(name).stop(random);
    network.drop(name);
  }

  /** Kills the process of a replica and empties its disk. */
  public void wipe(String name) {
    kill(name);
    replica(name).disk().wipe();
  }

  /** Pauses the process of a replica; messages to it are delivered after {@link #unfreeze}. */
  public void freeze(String name) {
    replica(name).freeze(true);
  }

  /** Resumes a frozen process. */
  public void unfreeze(String name) {
    replica(name).freeze(false);
  }

  /** Cuts the connections between a replica and all others, in both directions. */
  public void isolate(String name) {
    for (String other : replicas.keySet()) {
      network.cut(name, other);
      network.cut(other, name);
    }
  }

  /**
   * Proposes a command at a replica.
   *
   * @return the number of the proposal, see {@link #result}
   */
  public long propose(String name, String command) {
    long id = nextProposal++;
    byte[] bytes = command.getBytes(StandardCharsets.UTF_8);
    commands.put(id, bytes);
    FakeReplica r = replica(name);
    run(r, () -> r.node().propose(r.localTime(now), id, bytes));
    return id;
  }

  /** Returns the result of a proposal, or null if there is none yet. */
  public @Nullable ProposalResult result(long proposal) {
    return results.get(proposal);
  }

  /** Returns whether a proposal was committed. */
  public boolean isCommitted(long proposal) {
    ProposalResult r = results.get(proposal);
    return r != null && r.failure() == null;
  }

  /** Returns the replica that may act as the leader now, or null if there is none. */
  public @Nullable FakeReplica leader() {
    return replicas.values().stream()
        .filter(r -> r.isUp() && !r.isFrozen() && r.mayLead(now))
        .findFirst()
        .orElse(null);
  }

  /** Waits for a leader, at most 10 seconds. */
  public FakeReplica awaitLeader() {
    await(10_000, () -> leader() != null);
    FakeReplica leader = leader();
    if (leader == null) {
      throw new AssertionError("unreachable: a leader was found");
    }
    return leader;
  }

  /** Proposes a command at the leader and waits until it is committed, at most 10 seconds. */
  public void commit(String command) {
    long id = propose(awaitLeader().name(), command);
    await(10_000, () -> isCommitted(id));
  }

  /** Waits until every running replica is a voter and has applied the whole log of the leader. */
  public void awaitConverged() {
    await(
        20_000,
        () -> {
          FakeReplica leader = leader();
          return leader != null
              && replicas.values().stream()
                  .filter(FakeReplica::isUp)
                  .allMatch(
                      r ->
                          r.node().isVoter()
                              && r.node().appliedIndex() == leader.node().appliedIndex()
                              && leader.node().appliedIndex() == leader.storage().lastIndex());
        });
  }

  /** Advances the time until a condition holds, at most by a number of milliseconds. */
  public void await(long millis, BooleanSupplier condition) {
    long end = now + millis;
    while (!condition.getAsBoolean()) {
      if (now >= end) {
        throw new AssertionError("condition did not hold within " + millis + " ms; " + describe());
      }
      step();
    }
  }

  private String describe() {
    return replicas.values().stream().map(FakeReplica::toString).collect(Collectors.joining("; "));
  }

  /** Advances the time by a number of milliseconds. */
  public void advance(long millis) {
    for (long i = 0; i < millis; i++) {
      step();
    }
  }

  private void step() {
    now++;
    List<FakeReplica> running =
        replicas.values().stream()
            .filter(r -> r.isUp() && !r.isFrozen() && !isBusy(r.name()))
            .toList();
    for (FakeReplica r : running) {
      run(r, () -> r.node().tick(r.localTime(now)));
    }
    deliver();
    for (FakeReplica r : running) {
      run(r, () -> handleOutput(r, r.advance(now)));
    }
    checkLeaders();
  }

  private boolean isBusy(String name) {
    return now < busyUntil.getOrDefault(name, Long.MIN_VALUE);
  }

  private void deliver() {
    List<MemoryNetwork.Message> due =
        network.due(
            now,
            replicas.values().stream()
                .filter(r -> !r.isFrozen() && !isBusy(r.name()))
                .map(FakeReplica::name)
                .collect(Collectors.toSet()),
            messageMillis > 0);
    for (MemoryNetwork.Message m : due) {
      FakeReplica r = replica(m.to());
      if (messageMillis > 0) {
        busyUntil.put(r.name(), now + 1 + random.nextInt(2 * messageMillis));
      }
      run(
          r,
          () -> r.node().receive(r.localTime(now), m.from(), RaftCodec.decodeMessage(m.payload())));
    }
  }

  /** Runs an action of a process; if its storage fails, the process ends or loses its power. */
  private void run(FakeReplica r, Runnable action) {
    if (!r.isUp()) {
      return;
    }
    try {
      action.run();
    } catch (EbonypondException e) {
      if (e.code() != ErrorCode.STORAGE_FAILED) {
        throw e;
      }
      if (endsProcessesOnFailedSyncs && random.nextBoolean()) {
        killProcess(r.name());
      } else {
        killWhileWriting(r.name());
      }
    }
  }

  private void handleOutput(FakeReplica r, RaftOutput output) {
    output
        .messages()
        .forEach(m -> network.send(now, r.name(), m.to(), RaftCodec.encodeMessage(m.message())));
    output.completed().forEach(this::complete);
    output.roleChanges().stream()
        .filter(c -> c.role() == RaftRole.LEADER)
        .forEach(c -> checker.onLeader(c.term(), r.node().identity()));
  }

  private void complete(ProposalResult result) {
    results.put(result.proposalId(), result);
    byte[] command = commands.remove(result.proposalId());
    if (result.failure() == null && command != null) {
      checker.onAcknowledged(now, result.index(), command);
    }
  }

  private void checkLeaders() {
    List<String> leaders = new ArrayList<>();
    for (FakeReplica r : replicas.values()) {
      if (r.isUp() && r.node().confirmedAt() != Long.MIN_VALUE) {
        long confirmedAt = r.clusterTime(r.node().confirmedAt());
        checker.checkConfirmed(r.name(), r.node().appliedIndex(), confirmedAt);
      }
      if (r.isUp() && r.mayLead(now)) {
        RaftNode n = r.node();
        leaders.add(r.name());
        checker.checkLeaderIsCurrent(r.name(), n.appliedIndex());
      }
    }
    checker.checkAtMostOneLeader(leaders);
  }

  /** Checks that the logs of all pairs of running replicas match. */
  public void checkLogs() {
    List<FakeReplica> up = replicas.values().stream().filter(FakeReplica::isUp).toList();
    for (int i = 0; i < up.size(); i++) {
      for (int j = i + 1; j < up.size(); j++) {
        checker.checkLogsMatch(up.get(i).storage(), up.get(j).storage());
      }
    }
  }
}
