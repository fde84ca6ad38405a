package org.ebonypond.junit.consensus;

import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * A long run of a cluster under random faults, reproducible from its seed. The main method runs
 * many seeds: {@code RandomRaftRun <first seed> <number of seeds> [slow] [kills]}; with {@code
 * slow}, syncs take time, and with {@code kills}, processes also end without a loss of power.
 */
public final class RandomRaftRun {
  private static final int FAULT_MILLIS = 60_000;
  private static final int IDLE_PHASE_MILLIS = 4_000;
  private static final int MAX_SYNC_MILLIS = 3_000;

  private final Random random;
  private final RaftCluster cluster;
  private final List<String> names;
  private final boolean slowDisks;
  private final boolean killsProcesses;
  private @Nullable String wipedReplica;
  private long proposals;

  /**
   * Creates a run.
   *
   * @param seed the seed of every random choice, including the size of the cluster
   * @param slowDisks whether syncs take time, in single stalls and in long slow phases
   * @param killsProcesses whether processes also end without a loss of power, so that the next one
   *     finds writes that are not durable
   */
  public RandomRaftRun(long seed, boolean slowDisks, boolean killsProcesses) {
    this.slowDisks = slowDisks;
    this.killsProcesses = killsProcesses;
    random = new Random(seed);
    int size = random.nextInt(4) == 0 ? 5 : 3;
    cluster = new RaftCluster(random.nextLong(), size, 20 + random.nextInt(80));
    names = cluster.replicas().stream().map(FakeReplica::name).toList();
    if (killsProcesses) {
      cluster.endProcessesOnFailedSyncs();
    }
  }

  /**
   * Injects faults for one minute, then ends all faults and checks that the cluster recovers.
   *
   * @return the cluster, for further checks
   */
  public RaftCluster run() {
    cluster.startAll();
    for (int t = 0; t < FAULT_MILLIS; t++) {
      cluster.advance(1);
      if (random.nextInt(400) == 0) {
        injectFault();
      }
      if (slowDisks && random.nextInt(300) == 0) {
        changeDiskSpeed();
      }
      // A replica that lacks log entries cannot be elected; while no commands are proposed, it can
      // catch up.
      boolean idle = t / IDLE_PHASE_MILLIS % 2 == 1;
      if (!idle && random.nextInt(20) == 0) {
        propose();
      }
      if (t % 500 == 0) {
        cluster.checkLogs();
      }
    }
    endFaults();
    cluster.awaitConverged();
    cluster.commit("last");
    cluster.awaitConverged();
    cluster.checkLogs();
    return cluster;
  }

  private void propose() {
    String name = randomName();
    FakeReplica leader = cluster.leader();
    if (leader != null && random.nextInt(10) > 0) {
      name = leader.name();
    }
    if (cluster.replica(name).isUp() && !cluster.replica(name).isFrozen()) {
      cluster.propose(name, "command " + proposals++ + "x".repeat(random.nextInt(200)));
    }
  }

  private void injectFault() {
    String name = randomName();
    switch (random.nextInt(killsProcesses ? 15 : 14)) {
      case 0 -> cluster.kill(name);
      case 1 -> cluster.killWhileWriting(name);
      case 2 -> failSyncs(name);
      case 3 -> names.forEach(cluster::killWhileWriting);
      case 4 -> cluster.freeze(name);
      case 5 -> cluster.isolate(name);
      case 6 -> cluster.network().cut(name, randomName());
      case 7 -> cluster.network().setFaults(1 + random.nextInt(80), random.nextInt(20), 10);
      case 8 -> cluster.network().setFaults(1 + random.nextInt(3), 0, 0);
      case 9 -> wipe(name);
      case 10 -> endFaults();
      case 11 -> cluster.network().heal();
      case 12 -> names.forEach(cluster::unfreeze);
      case 13 -> cluster.startAll();
      default -> killProcess(name);
    }
  }

  private void killProcess(String name) {
    cluster.killProcess(name);
    if (random.nextBoolean()) {
      cluster.start(name);
    }
  }

  private void changeDiskSpeed() {
    FakeReplica r = cluster.replica(randomName());
    switch (random.nextInt(5)) {
      case 0, 1 -> r.stallNextSync(1 + random.nextInt(MAX_SYNC_MILLIS));
      case 2 -> r.slowSyncs(1 + random.nextInt(MAX_SYNC_MILLIS));
      case 3 -> cluster.replicas().forEach(o -> o.slowSyncs(1 + random.nextInt(50)));
      default -> r.slowSyncs(0);
    }
  }

  private void failSyncs(String name) {
    if (cluster.replica(name).isUp()) {
      cluster.replica(name).disk().failSyncs();
    }
  }

  /**
   * Empties a disk. The cluster tolerates the loss of one disk at a time, so the next disk must not
   * be emptied until this replica is a voter again.
   */
  private void wipe(String name) {
    if (wipedReplica != null && !isReadmitted(cluster.replica(wipedReplica))) {
      return;
    }
    if (cluster.checker().acknowledgedIndex() > 0) {
      wipedReplica = name;
      cluster.wipe(name);
    }
  }

  private boolean isReadmitted(FakeReplica r) {
    return r.isUp()
        && cluster.replicas().stream()
            .filter(FakeReplica::isUp)
            .allMatch(
                o -> {
                  FakeReplica leader = cluster.leader();
                  return leader != null
                      && leader.node().membership().contains(r.name(), r.node().identity())
                      && o.node().membership().equals(leader.node().membership())
                      && o.node().appliedIndex() == leader.node().appliedIndex();
                })
        && cluster.replicas().stream().allMatch(FakeReplica::isUp);
  }

  private void endFaults() {
    cluster.network().heal();
    cluster.network().setFaults(2, 0, 0);
    names.forEach(cluster::unfreeze);
    cluster
        .replicas()
        .forEach(
            r -> {
              r.disk().allowSyncs();
              r.slowSyncs(0);
            });
    cluster.startAll();
  }

  private String randomName() {
    return names.get(random.nextInt(names.size()));
  }

  /** Runs consecutive seeds and prints those that fail. */
  public static void main(String[] args) {
    long first = Long.parseLong(args[0]);
    long count = Long.parseLong(args[1]);
    List<String> modes = List.of(args).subList(2, args.length);
    boolean slow = modes.contains("slow");
    boolean kills = modes.contains("kills");
    long failed = 0;
    long acknowledged = 0;
    for (long seed = first; seed < first + count; seed++) {
      try {
        acknowledged += new RandomRaftRun(seed, slow, kills).run().checker().acknowledgedIndex();
      } catch (RuntimeException | AssertionError e) {
        failed++;
        System.out.println("seed " + seed + ": " + e);
        if (count == 1) {
          e.printStackTrace(System.out);
        }
      }
    }
    System.out.println(
        count + " seeds, " + failed + " failed, " + acknowledged + " log entries acknowledged");
    System.exit(failed == 0 ? 0 : 1);
  }
}
