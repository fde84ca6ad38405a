package org.ebonypond.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.ebonypond.admission.Decision.Admitted;
import org.ebonypond.admission.Decision.Queued;
import org.ebonypond.admission.Decision.Refused;
import org.ebonypond.document.LimitsSpec;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.document.WorkspaceSpec;
import org.ebonypond.errors.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class AdmissionControllerTest {
  private final Slots slots = new Slots(4);
  private final ServiceRates rates = new ServiceRates();
  private final AdmissionController<String> controller = new AdmissionController<>(slots, rates);

  AdmissionControllerTest() {
    List<WorkspaceSpec> w = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      w.add(new WorkspaceSpec("w" + i, 1, 50));
    }
    controller.configure(
        new ServiceDocument(1, List.of(), List.of(), List.of(), w, LimitsSpec.DEFAULT, ""));
  }

  private static AdmissionRequest request(String id, String workspace, long deadline) {
    return new AdmissionRequest(id, "m", workspace, 5, 100, deadline);
  }

  @Test
  void admitsThenQueuesThenServesInOrder() {
    for (int i = 0; i < 4; i++) {
      assertInstanceOf(Admitted.class, controller.arrive(request("a" + i, "w0", 9_000), 0));
    }
    assertInstanceOf(Queued.class, controller.arrive(request("b", "w0", 9_000), 1));
    assertInstanceOf(Queued.class, controller.arrive(request("c", "w1", 9_000), 2));
    assertTrue(controller.cancel("m", "b", 3));
    assertEquals(List.of(), controller.serveWaiting("m", 4));
    slots.free++;
    Admitted<?> d = assertInstanceOf(Admitted.class, controller.serveWaiting("m", 5).get(0));
    assertEquals("c", d.request().id());
    assertEquals(3, d.waitedMillis());
    Refused<?> r =
        assertInstanceOf(Refused.class, controller.arrive(request("d", "unknown", 9_000), 6));
    assertEquals(ErrorCode.UNKNOWN_WORKSPACE, r.code());
  }

  /** Guards against a queue that exceeds the limit in the document. */
  @Test
  void refusesWhenQueueOfWorkspaceIsFull() {
    slots.free = 0;
    for (int i = 0; i < 50; i++) {
      assertInstanceOf(Queued.class, controller.arrive(request("a" + i, "w0", 90_000), 0));
    }
    Refused<?> r =
        assertInstanceOf(Refused.class, controller.arrive(request("b", "w0", 90_000), 0));
    assertEquals(ErrorCode.QUEUE_FULL, r.code());
    assertTrue(r.retryAfterSeconds() >= 1);
    assertInstanceOf(Queued.class, controller.arrive(request("c", "w1", 90_000), 0));
  }

  /**
   * Guards against a refusal that is delayed until the deadline although the request cannot finish
   * in time.
   */
  @Test
  void refusesWaitingRequestOnceItCannotFinish() {
    rates.onCompleted("m", 100, 100, 2_000);
    slots.free = 0;
    assertInstanceOf(Queued.class, controller.arrive(request("a", "w0", 10_000), 0));
    assertEquals(List.of(), controller.tick(7_900));
    Refused<?> r = assertInstanceOf(Refused.class, controller.tick(8_001).get(0));
    assertEquals(ErrorCode.DEADLINE_TOO_CLOSE, r.code());
    assertEquals(0, controller.waiting("m"));
    r = assertInstanceOf(Refused.class, controller.arrive(request("b", "w0", 9_500), 8_002));
    assertEquals(ErrorCode.DEADLINE_TOO_CLOSE, r.code());
  }

  /** Guards against requests that wait for a pool without any target in service. */
  @Test
  void refusesWhenNoTargetIsInServiceBeyondGrace() {
    slots.inService = false;
    slots.free = 0;
    assertInstanceOf(Queued.class, controller.arrive(request("a", "w0", 30_000), 0));
    assertEquals(List.of(), controller.tick(900));
    Refused<?> r = assertInstanceOf(Refused.class, controller.tick(1_000).get(0));
    assertEquals(ErrorCode.NO_CAPACITY, r.code());
    r = assertInstanceOf(Refused.class, controller.arrive(request("b", "w0", 30_000), 1_001));
    assertEquals(ErrorCode.NO_CAPACITY, r.code());
  }

  /**
   * Guards against a burst that is accepted beyond what can be served in time: all admitted
   * requests start in time to meet their deadline, refusals come before the last possible start,
   * and most come on arrival.
   */
  @ParameterizedTest
  @MethodSource("org.ebonypond.junit.Seeds#few")
  void burstIsRefusedBeyondWhatCanBeServedInTime(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PriorityQueue<Long> ends = new PriorityQueue<>();
    Map<String, AdmissionRequest> waiting = new HashMap<>();
    // Served in time, served too late, refused, and refused on arrival.
    int[] count = new int[4];
    int next = 0;
    for (long now = 0; now < 65_000; now += 10) {
      List<Decision<String>> decisions = new ArrayList<>();
      while (!ends.isEmpty() && ends.peek() <= now) {
        ends.remove();
        slots.free++;
        controller.onCompleted(request("x", "w0", 0), 100, 400);
        decisions.addAll(controller.serveWaiting("m", now));
      }
      // Four slots of 400 ms serve 10 requests per second; the burst has 40 per second.
      boolean burst = now > 20_000 && now < 40_000;
      if (now < 60_000 && random.nextInt(1_000) < (burst ? 400 : 60)) {
        AdmissionRequest r = request("r" + next++, "w" + random.nextInt(10), now + 3_000);
        decisions.add(controller.arrive(r, now));
      }
      decisions.addAll(controller.tick(now));
      for (Decision<String> d : decisions) {
        if (d instanceof Admitted<String> a) {
          ends.add(now + 400);
          count[now + 400 <= a.request().deadlineMillis() ? 0 : 1]++;
          waiting.remove(a.request().id());
        } else if (d instanceof Queued<String> q) {
          waiting.put(q.request().id(), q.request());
        } else if (d instanceof Refused<String> f) {
          count[2]++;
          count[3] += waiting.remove(f.request().id()) == null ? 1 : 0;
          assertTrue(now <= f.request().deadlineMillis() - 300, "refused late: " + f);
        }
      }
    }
    assertEquals(Map.of(), waiting);
    assertEquals(next, count[0] + count[1] + count[2]);
    assertEquals(0, count[1], "started too late to finish in time");
    assertTrue(count[3] > count[2] * 0.9, "refused on arrival " + count[3] + " of " + count[2]);
    // 20 s of burst at 10 per second, and 40 s at 6 per second.
    assertTrue(count[0] > 400 * 0.9, "served in time " + count[0]);
  }

  /** Guards against requests with two final decisions or none under concurrent use. */
  @Test
  void decidesEachRequestOnceFromSeveralThreads() throws Exception {
    ExecutorService pool = Executors.newFixedThreadPool(4);
    try {
      List<Callable<Integer>> tasks = new ArrayList<>();
      for (int t = 0; t < 4; t++) {
        int thread = t;
        tasks.add(
            () -> {
              int decided = 0;
              for (int i = 0; i < 3_000; i++) {
                Decision<String> d =
                    controller.arrive(request(thread + "-" + i, "w" + i % 10, 90_000), 1);
                decided += d instanceof Queued<String> ? 0 : 1;
                for (Decision<String> x : controller.serveWaiting("m", 1)) {
                  decided += x instanceof Queued<String> ? 0 : 1;
                }
                slots.release();
              }
              return decided;
            });
      }
      int decided = 0;
      for (Future<Integer> f : pool.invokeAll(tasks)) {
        decided += f.get();
      }
      assertEquals(12_000, decided + controller.waiting("m"));
    } finally {
      pool.shutdownNow();
    }
  }

  /** A source with a fixed number of slots. */
  private static final class Slots implements SlotSource<String> {
    private int free;
    private boolean inService = true;

    Slots(int free) {
      this.free = free;
    }

    @Override
    public synchronized Optional<String> tryAcquire(AdmissionRequest r, long now) {
      if (free == 0) {
        return Optional.empty();
      }
      free--;
      return Optional.of(r.id());
    }

    synchronized void release() {
      free++;
    }

    @Override
    public boolean inService(String pool) {
      return inService;
    }
  }
}
