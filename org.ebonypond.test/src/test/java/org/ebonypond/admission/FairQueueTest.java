package org.ebonypond.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.ebonypond.document.WorkspaceSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class FairQueueTest {
  private final FairQueue queue = new FairQueue();

  private static AdmissionRequest request(String id, String workspace, int priority, long tokens) {
    return new AdmissionRequest(id, "m", workspace, priority, tokens, 1_000_000);
  }

  private AdmissionRequest next(long now) {
    FairQueue.Waiting w = queue.peek(now).orElseThrow();
    queue.serve(w);
    return w.request();
  }

  /** Guards against a workspace with many requests that takes the capacity of nine small ones. */
  @Test
  void largeWorkspaceDoesNotDelaySmallOnes() {
    List<WorkspaceSpec> specs = new ArrayList<>();
    specs.add(new WorkspaceSpec("large", 1, 10_000));
    for (int i = 0; i < 9; i++) {
      specs.add(new WorkspaceSpec("small" + i, 1, 100));
    }
    queue.configure(specs);
    for (int i = 0; i < 5_000; i++) {
      assertTrue(queue.offer(request("l" + i, "large", 9, 100), 0, 0));
    }
    for (int i = 0; i < 5; i++) {
      next(1);
    }
    for (int i = 0; i < 9; i++) {
      for (int k = 0; k < 10; k++) {
        queue.offer(request(i + "-" + k, "small" + i, 0, 100), 0, 2);
      }
    }
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      served.merge(next(3).workspace(), 1, Integer::sum);
    }
    for (int i = 0; i < 9; i++) {
      assertEquals(10, served.get("small" + i));
    }
  }

  /** Guards against shares that count requests instead of tokens, or that ignore weights. */
  @ParameterizedTest
  @MethodSource("org.ebonypond.junit.Seeds#few")
  void sharesTokensByWeight(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    queue.configure(
        List.of(
            new WorkspaceSpec("a", 4, 9_999),
            new WorkspaceSpec("b", 2, 9_999),
            new WorkspaceSpec("c", 1, 9_999)));
    for (int i = 0; i < 9_000; i++) {
      String w = List.of("a", "b", "c").get(i % 3);
      queue.offer(request("r" + i, w, random.nextInt(10), 1 + random.nextInt(2_000)), 0, 0);
    }
    Map<String, Long> tokens = new HashMap<>();
    for (int i = 0; i < 2_000; i++) {
      AdmissionRequest r = next(i);
      tokens.merge(r.workspace(), r.tokens(), Long::sum);
    }
    assertEquals(2.0, (double) tokens.get("a") / tokens.get("b"), 0.05);
    assertEquals(2.0, (double) tokens.get("b") / tokens.get("c"), 0.05);
  }

  /**
   * Guards against urgent requests that wait behind others, and against starvation of low
   * priorities.
   */
  @Test
  void urgentFirstButNoneStarves() {
    queue.configure(List.of(new WorkspaceSpec("a", 1, 100)));
    queue.offer(request("low", "a", 0, 10), 0, 0);
    queue.offer(request("high", "a", 9, 10), 0, 10);
    assertEquals("high", next(20).id());
    long served = -1;
    for (int i = 0; served < 0 && i < 1_000; i++) {
      long now = 100L * i;
      queue.offer(request("h" + i, "a", 9, 10), 0, now);
      if (next(now).id().equals("low")) {
        served = now;
      }
    }
    assertEquals(9_000, served, 200);
  }

  /**
   * Guards against a request that is skipped without limit in favour of others with a cached
   * prefix.
   */
  @Test
  void skipsRequestBoundedNumberOfTimes() {
    queue.configure(List.of(new WorkspaceSpec("a", 1, 100)));
    for (int i = 0; i < 40; i++) {
      queue.offer(request("r" + i, "a", 5, 10), 0, 0);
    }
    int skips = 0;
    while (true) {
      List<FairQueue.Waiting> next = queue.peek(1, 8);
      assertEquals("r0", next.get(0).request().id());
      if (next.size() == 1) {
        break;
      }
      queue.serve(next.get(next.size() - 1));
      skips++;
    }
    assertEquals(FairQueue.MAX_SKIPS, skips);
    next(1);
    assertEquals(8, queue.peek(1, 8).size());
  }

  /** Guards against lost, duplicate or unknown requests and a queue that exceeds its limit. */
  @ParameterizedTest
  @MethodSource("org.ebonypond.junit.Seeds#few")
  void everyRequestLeavesExactlyOnce(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    queue.configure(List.of(new WorkspaceSpec("a", 3, 20), new WorkspaceSpec("b", 1, 20)));
    Set<String> waiting = new HashSet<>();
    for (int i = 0; i < 5_000; i++) {
      String w = random.nextBoolean() ? "a" : "b";
      AdmissionRequest r = request("r" + i, w, random.nextInt(10), random.nextInt(500));
      boolean room = queue.size(w) < 20;
      assertEquals(room, queue.offer(r, 0, i));
      if (room) {
        waiting.add(r.id());
      }
      int action = random.nextInt(4);
      if (action <= 1) {
        Optional<FairQueue.Waiting> next = queue.peek(i);
        next.ifPresent(queue::serve);
        next.ifPresent(n -> assertTrue(waiting.remove(n.request().id())));
      } else if (action == 2) {
        String id = "r" + random.nextInt(i + 1);
        assertEquals(waiting.remove(id), queue.cancel(id));
      } else if (random.nextInt(50) == 0) {
        int before = i - 100;
        queue
            .removeIf(x -> x.sinceMillis() < before)
            .forEach(x -> assertTrue(waiting.remove(x.request().id())));
      }
      assertEquals(waiting.size(), queue.size());
    }
    assertFalse(waiting.isEmpty());
  }
}
