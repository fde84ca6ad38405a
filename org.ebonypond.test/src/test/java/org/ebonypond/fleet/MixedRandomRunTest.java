package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.forward.ArrivalGuard;
import org.ebonypond.forward.RetryAllowance;
import org.ebonypond.junit.FakeFleet;
import org.ebonypond.junit.Seeds;
import org.ebonypond.junit.consensus.FakeReplica;
import org.ebonypond.junit.consensus.RaftCluster;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs the control log with membership changes, group epochs, the retry budget and the rate limits
 * of cold instances together on one manual clock. Replicas are killed, paused, partitioned and
 * added; instances crash, restart, drain and leave orders unanswered; entries restart and are
 * partitioned.
 */
class MixedRandomRunTest {
  private static final long SLICE_MILLIS = 100;
  private static final int SLICES = 300;
  private static final long WINDOW_MILLIS = 10_000;
  private static final double RATIO = 0.2;
  private static final int SLACK = 60;
  private static final double COLD_PER_SECOND = 20;
  private static final double COLD_OVERSHOOT = 1.5;
  private static final int COLD_SLACK = 5;
  private static final int ENTRIES = 6;

  /** The start of a process takes 0.3 to 0.6 s on users' machines. */
  private static final long START_MILLIS = 300;

  private static final String SERVICE = "engines";

  static LongStream seeds() {
    return Seeds.all();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void invariantsHoldUnderCombinedFaults(long seed) {
    Run run = new Run(seed);
    for (int i = 0; i < SLICES; i++) {
      run.slice();
    }
    run.heal();
    assertEquals(List.of(), run.fleet.violations());
    assertTrue(run.servingInstances() >= 20, run.servingInstances() + " instances serve");
    assertTrue(run.sent > 1_000, run.sent + " requests were sent");
  }

  private static final class Run {
    final FakeFleet fleet;
    final Random random;
    final RaftCluster cluster;
    final Map<String, FleetPlanner> planners = new HashMap<>();
    final Map<String, Long> terms = new HashMap<>();
    final List<Entry> entries = new ArrayList<>();
    final Deque<Long> requests = new ArrayDeque<>();
    final Deque<Long> retries = new ArrayDeque<>();
    final Map<String, Deque<Long>> arrivals = new HashMap<>();
    int added;
    int sent;

    Run(long seed) {
      random = new Random(seed);
      fleet = new FakeFleet(FakeFleet.twoModels(), 6, 8, seed);
      cluster = new RaftCluster(seed, 3, 40);
      cluster.startAll();
      for (int i = 0; i < ENTRIES; i++) {
        entries.add(new Entry());
      }
      for (int i = 0; i < 500; i++) {
        advance(true);
      }
      fleet.setLostAnswerRate(0.1);
    }

    /** Advances replicas and instances by one slice; the current leader, if any, plans. */
    private void advance(boolean beforeTraffic) {
      cluster.advance(SLICE_MILLIS);
      FakeReplica leader = cluster.leader();
      if (leader == null) {
        fleet.run(SLICE_MILLIS);
        return;
      }
      String name = leader.name();
      long term = leader.node().term();
      FleetPlanner p = planners.computeIfAbsent(name, n -> newPlanner());
      if (terms.getOrDefault(name, -1L) != term) {
        boolean first = terms.isEmpty();
        terms.put(name, term);
        p.startTerm(term, first, FakeFleet.twoModels().loadsPerSecond(), fleet.now());
      }
      fleet.run(p, SLICE_MILLIS, beforeTraffic);
    }

    private static FleetPlanner newPlanner() {
      return new FleetPlanner(
          2 * FakeFleet.HEARTBEAT_MILLIS + 400,
          FakeFleet.HEARTBEAT_MILLIS + 400,
          FakeFleet.STALL_MILLIS,
          new WeightLoadLimiter(5_000));
    }

    void slice() {
      if (random.nextInt(12) == 0) {
        injectReplicaFault();
      }
      if (random.nextInt(8) == 0) {
        injectInstanceFault();
      }
      if (random.nextInt(15) == 0) {
        injectEntryFault();
      }
      if (random.nextInt(3) == 0 && cluster.leader() != null) {
        cluster.propose(cluster.leader().name(), "command " + sent);
      }
      advance(false);
      entries.forEach(this::serve);
      checkRetryBudget();
    }

    private void injectReplicaFault() {
      List<String> names = cluster.replicas().stream().map(FakeReplica::name).toList();
      String name = names.get(random.nextInt(names.size()));
      switch (random.nextInt(7)) {
        case 0 -> cluster.kill(name);
        case 1 -> cluster.freeze(name);
        case 2 -> cluster.isolate(name);
        case 3 -> cluster.network().heal();
        case 4 -> names.forEach(cluster::unfreeze);
        case 5 -> addReplica();
        default -> cluster.startAll();
      }
    }

    /** Adds a replica with an empty disk under a new name, once per run. */
    private void addReplica() {
      if (added == 0 && cluster.leader() != null) {
        added++;
        cluster.join("new");
      }
    }

    private void injectInstanceFault() {
      List<String> ids = new ArrayList<>(fleet.ids());
      String id = ids.get(random.nextInt(ids.size()));
      switch (random.nextInt(6)) {
        case 0 -> fleet.crash(id);
        case 1 -> fleet.setCutOff(id, true);
        case 2 -> fleet.drain(id);
        case 3 -> fleet.restart(id);
        default -> fleet.setCutOff(id, false);
      }
    }

    private void injectEntryFault() {
      int i = random.nextInt(ENTRIES);
      if (random.nextBoolean()) {
        entries.set(i, new Entry());
        entries.get(i).startingUntil = fleet.now() + START_MILLIS;
      } else {
        entries.get(i).cutOff = !entries.get(i).cutOff;
      }
    }

    /** Sends some requests through an entry; some fail and are retried if the budget allows. */
    private void serve(Entry e) {
      long now = fleet.now();
      if (now < e.startingUntil) {
        return;
      }
      if (!e.cutOff) {
        e.heads = heads();
      }
      for (int n = random.nextInt(8); n > 0 && !e.heads.isEmpty(); n--) {
        e.allowance.recordRequest(SERVICE, now);
        requests.addLast(now);
        send(e, now);
        if (random.nextInt(3) == 0 && e.allowance.tryRetry(SERVICE, ENTRIES, now)) {
          retries.addLast(now);
          send(e, now);
        }
      }
    }

    private void send(Entry e, long now) {
      // Most requests go to a few instances, as after the loss of a zone.
      String head = e.heads.get(random.nextInt(Math.min(3, e.heads.size())));
      if (e.guard.allows(head, COLD_PER_SECOND, random.nextBoolean(), ENTRIES, now)) {
        e.guard.sent(head, now);
        sent++;
        Deque<Long> times = arrivals.computeIfAbsent(head, h -> new ArrayDeque<>());
        times.addLast(now);
        times.removeIf(t -> now - t >= 1_000);
        double bound = COLD_PER_SECOND * COLD_OVERSHOOT + COLD_SLACK;
        assertTrue(times.size() <= bound, times.size() + " requests within a second at " + head);
      }
    }

    private List<String> heads() {
      return fleet.table().all(fleet.now()).stream()
          .map(InstanceUpdate::instance)
          .filter(FleetInstance::servesGroup)
          .map(FleetInstance::id)
          .sorted()
          .toList();
    }

    private void checkRetryBudget() {
      long now = fleet.now();
      requests.removeIf(t -> now - t >= 2 * WINDOW_MILLIS);
      retries.removeIf(t -> now - t >= WINDOW_MILLIS);
      long recent = requests.stream().filter(t -> now - t < WINDOW_MILLIS).count();
      double allowed = RATIO * Math.max(recent, requests.size() - recent) + SLACK;
      assertTrue(retries.size() <= allowed, retries.size() + " retries, allowed " + allowed);
    }

    void heal() {
      fleet.setLostAnswerRate(0);
      fleet.ids().forEach(id -> fleet.setCutOff(id, false));
      cluster.network().heal();
      cluster.replicas().forEach(r -> cluster.unfreeze(r.name()));
      cluster.startAll();
      for (int i = 0; i < 900; i++) {
        advance(false);
      }
      cluster.checkLogs();
    }

    int servingInstances() {
      return 4 * fleet.serving("large") + 2 * fleet.serving("small");
    }
  }

  private static final class Entry {
    final RetryAllowance allowance = new RetryAllowance(RATIO, SLACK, WINDOW_MILLIS);
    final ArrivalGuard guard = new ArrivalGuard(COLD_OVERSHOOT, COLD_SLACK, new Random(1), 0);
    List<String> heads = List.of();
    boolean cutOff;
    long startingUntil;
  }
}
