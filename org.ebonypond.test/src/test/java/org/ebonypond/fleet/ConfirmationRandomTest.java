package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.junit.Seeds;
import org.ebonypond.time.SuspensionDetector;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random runs of the way on which entries learn which version of the configuration is the newest:
 * from a leader over replicas, by polls whose answers are late and overtake each other, while
 * processes are suspended and restarted and the leader is lost.
 */
class ConfirmationRandomTest {
  private static final int RUN_MILLIS = 60_000;
  private static final int REPLICAS = 4;
  private static final int ENTRIES = 3;
  private static final int MAX_DELAY_MILLIS = 1_500;

  static LongStream seeds() {
    return Seeds.all();
  }

  /**
   * Guards against an entry that refuses a request for good by an older version than one that had
   * been acknowledged at the time for which the entry takes its own for the newest.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void olderVersionIsNeverConfirmed(long seed) {
    Run run = new Run(seed);
    for (int i = 0; i < RUN_MILLIS; i++) {
      run.step();
    }
    assertTrue(run.confirmations > RUN_MILLIS, "confirmed " + run.confirmations + " times");
  }

  /** A run in which only the leader commits, and everything else goes wrong. */
  private static final class Run {
    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final TreeMap<Long, Long> acknowledged = new TreeMap<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private long now;
    private long version = 1;
    private long leaderLostUntil;
    private int leader;
    private long confirmations;

    Run(long seed) {
      random = new Random(seed);
      for (int i = 0; i < REPLICAS + ENTRIES; i++) {
        nodes.add(new Node(random.nextInt(1_000_000)));
      }
    }

    void step() {
      now++;
      nodes.forEach(n -> n.advance(now));
      changeLeader();
      disturb();
      for (Node n : nodes) {
        if (!n.isSuspended(now) && random.nextInt(60) == 0) {
          poll(n, nodes.get(random.nextInt(REPLICAS)));
        }
      }
      while (!events.isEmpty() && events.peek().at <= now) {
        events.remove().action.run();
      }
      nodes.forEach(this::check);
    }

    private boolean hasLeader() {
      return now >= leaderLostUntil && !nodes.get(leader).isSuspended(now);
    }

    private void changeLeader() {
      if (random.nextInt(3_000) == 0) {
        leaderLostUntil = now + random.nextInt(6_000);
        leader = random.nextInt(REPLICAS);
      } else if (hasLeader() && random.nextInt(200) == 0) {
        version += 1 + random.nextInt(4);
        acknowledged.put(now, version);
        nodes.get(leader).held = version;
      }
      // A new leader has applied everything that was acknowledged before it confirms anything.
      if (hasLeader()) {
        Node l = nodes.get(leader);
        l.held = Math.max(l.held, version);
        l.newest.record(l.held, l.timers.nowMillis());
      }
    }

    private void disturb() {
      Node n = nodes.get(random.nextInt(nodes.size()));
      int choice = random.nextInt(2_000);
      if (choice == 0) {
        n.suspend(now, SuspensionDetector.MIN_SUSPENSION_MILLIS + random.nextInt(5_000));
      } else if (choice == 1) {
        n.restart();
      } else if (choice < 20 && nodes.indexOf(n) < REPLICAS && now >= leaderLostUntil) {
        n.held = Math.max(n.held, version - random.nextInt(3));
      }
    }

    private void poll(Node asker, Node replica) {
      final long sentAt = asker.timers.nowMillis();
      final int life = asker.life;
      events.add(
          new Event(
              now + delay(),
              () -> {
                if (replica.isSuspended(now)) {
                  return;
                }
                long at = replica.newest.confirmedAt(replica.held);
                boolean confirmed = at != Long.MIN_VALUE;
                long age = confirmed ? replica.timers.nowMillis() - at : -1;
                long held = replica.held;
                events.add(new Event(now + delay(), () -> answer(asker, life, held, sentAt, age)));
              }));
    }

    private void answer(Node asker, int life, long held, long sentAt, long age) {
      if (asker.life != life) {
        return;
      }
      if (asker.isSuspended(now)) {
        events.add(new Event(asker.suspendedUntil, () -> answer(asker, life, held, sentAt, age)));
        return;
      }
      asker.held = Math.max(asker.held, held);
      if (age >= 0) {
        asker.newest.record(held, sentAt - age);
      }
    }

    private int delay() {
      return random.nextInt(20) == 0 ? random.nextInt(MAX_DELAY_MILLIS) : random.nextInt(10);
    }

    private void check(Node n) {
      if (n.isSuspended(now) || n.newest.isOutdated(n.held)) {
        return;
      }
      long at = n.newest.confirmedAt(n.held);
      if (at == Long.MIN_VALUE) {
        return;
      }
      confirmations++;
      Map.Entry<Long, Long> newest = acknowledged.lowerEntry(now - (n.timers.nowMillis() - at));
      assertTrue(
          newest == null || newest.getValue() <= n.held,
          () -> "at " + now + " version " + n.held + " is confirmed, " + newest + " acknowledged");
    }
  }

  /** A process with clocks of its own. */
  private static final class Node {
    private final ManualTimerService timers = new ManualTimerService();
    private final FakeWallClock wallClock = new FakeWallClock(timers);
    private NewestVersion newest = new NewestVersion(wallClock.newDetector());
    private long held;
    private long suspendedUntil;
    private int life;

    Node(long steadyMillis) {
      timers.advance(steadyMillis);
      restart();
    }

    void advance(long now) {
      if (!isSuspended(now)) {
        timers.advance(1);
      }
    }

    boolean isSuspended(long now) {
      return now < suspendedUntil;
    }

    void suspend(long now, long millis) {
      if (!isSuspended(now)) {
        suspendedUntil = now + millis;
        wallClock.suspend(millis);
      }
    }

    void restart() {
      life++;
      newest = new NewestVersion(wallClock.newDetector());
    }
  }

  private record Event(long at, Runnable action) {}
}
