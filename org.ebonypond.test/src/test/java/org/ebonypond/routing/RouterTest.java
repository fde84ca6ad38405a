package org.ebonypond.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.kernel.PluginRegistry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class RouterTest {
  private final RouterState routerState = RouterState.create();

  private static Router router(
      String policy, RouterState routerState, SlotLimiter slots, long seed) {
    return new Router(
        RouterSettings.of("entry-1", "z0"),
        PluginRegistry.load(RoutingPolicy.class).get(policy),
        routerState,
        slots,
        EventSink.NONE,
        new SplittableRandom(seed));
  }

  private static RouteRequest request(int i) {
    return RouteRequest.model("r" + i, Views.MODEL, "surabaya", 100, PromptBlocks.NONE);
  }

  /**
   * Guards against requests to a group or an instance that is not allowed to serve (invariants 1,
   * 4, 8).
   */
  @ParameterizedTest
  @MethodSource("org.ebonypond.junit.Seeds#few")
  void neverSelectsTargetThatMustNotServe(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    String[] policies = {"round-robin", "least-outstanding", "prefix-tokens"};
    Router router = router(policies[(int) (seed % 3)], routerState, SlotLimiter.NONE, seed);
    Views v = new Views(4).withGroups(12).withServices(5);
    List<Reservation> open = new ArrayList<>();
    int chosen = 0;
    for (int i = 0; i < 3_000; i++) {
      if (i % 10 == 0) {
        change(v, random, i);
        router.onView(v.view());
      }
      RouteRequest r =
          random.nextInt(4) == 0
              ? RouteRequest.service("r" + i, Views.SERVICE, "surabaya")
              : request(i);
      Optional<Reservation> c = router.choose(r, i);
      if (c.isPresent()) {
        chosen++;
        assertMayServe(v, c.get().target());
        open.add(c.get());
      }
      if (open.size() > 20) {
        open.remove(random.nextInt(open.size())).complete(10, 5, i);
      }
    }
    assertTrue(chosen > 500, "chosen " + chosen);
    open.forEach(r -> r.release(4_000));
    v.groups.keySet().forEach(g -> assertEquals(0, routerState.load().inFlight("group/" + g)));
  }

  private static void change(Views v, SplittableRandom random, int step) {
    String zone = "z" + random.nextInt(3);
    String g = "g" + random.nextInt(12);
    String member = g + (random.nextBoolean() ? "a" : "b");
    String service = "s" + random.nextInt(5);
    switch (random.nextInt(8)) {
      case 0 -> v.zonesOut.add(zone);
      case 1, 2 -> v.zonesOut.clear();
      case 3 -> v.status(member, InstanceStatus.DOWN);
      case 4 -> v.status(service, InstanceStatus.values()[random.nextInt(3)]);
      case 5 -> v.state(g, GroupState.values()[random.nextInt(4)]);
      case 6 -> v.up(member, "boot" + step, "z0", InstanceKind.ENGINE);
      default -> v.withGroups(12);
    }
  }

  private static void assertMayServe(Views v, Target t) {
    assertFalse(v.zonesOut.contains(t.zone()), t.key());
    if (t.kind() == InstanceKind.ENGINE) {
      assertEquals(GroupState.READY, v.groups.get(t.name()).state());
      assertEquals(2, t.members().size());
    }
    for (GroupMember m : t.members()) {
      InstanceRecord i = v.instances.get(m.instance());
      assertEquals(InstanceStatus.UP, i.status());
      assertEquals(m.boot(), i.boot());
      assertFalse(v.zonesOut.contains(i.zone()));
    }
  }

  /** Guards against a check that accepts a target because an older view allowed it. */
  @Test
  void checkRejectsTargetOfOlderView() {
    Views v = new Views(4).withGroups(1);
    Target t = v.group("g0");
    v.status("g0b", InstanceStatus.DOWN);
    RoutingTable table = RoutingTable.of(v.view());
    EbonypondException e = assertThrows(EbonypondException.class, () -> table.check(t));
    assertEquals(ErrorCode.INVARIANT_VIOLATED, e.code());
    assertEquals(List.of(), table.model(Views.MODEL));
  }

  /**
   * Guards against use of a failed instance before the control view shows it as down, and against a
   * suspicion that never ends.
   */
  @Test
  void skipsSuspectedInstanceUntilNewBootOrConfirmation() {
    Views v = new Views(4).withGroups(1);
    Router router = router("prefix-tokens", routerState, SlotLimiter.NONE, 1);
    router.onView(v.view());
    assertTrue(routerState.suspicion().suspect("g0b", "boot1", 100));
    assertFalse(routerState.suspicion().suspect("g0b", "boot1", 101));
    routerState.suspicion().suspect("g0b", "boot0", 102);
    assertTrue(router.choose(request(1), 102).isEmpty());
    assertFalse(router.inService(InstanceKind.ENGINE, Views.MODEL));
    routerState.suspicion().confirmUp("g0b", "boot1", 99);
    router.onView(v.view());
    assertTrue(router.choose(request(2), 103).isEmpty());
    routerState.suspicion().confirmUp("g0b", "boot1", 104);
    assertTrue(router.choose(request(3), 105).isPresent());
    assertTrue(routerState.suspicion().onAnswer("g0a", "boot1", "boot2", 106));
    v.up("g0a", "boot2", "z0", InstanceKind.ENGINE);
    router.onView(v.view());
    assertEquals(List.of(), routerState.suspicion().suspected());
  }

  /**
   * Guards against a second attempt at the target that failed, and against more requests at a
   * target than it has slots.
   */
  @Test
  void honoursTriedTargetsAndSlots() {
    Views v = new Views(2).withGroups(2);
    Set<String> refused = new HashSet<>();
    SlotLimiter slots =
        new SlotLimiter() {
          @Override
          public boolean tryAcquire(Target t, long now) {
            return !refused.contains(t.key());
          }

          @Override
          public void release(Target t, long now) {}
        };
    Router router = router("prefix-tokens", routerState, slots, 1);
    router.onView(v.view());
    RouteRequest r = request(1).withTried(Set.of("group/g0"));
    refused.add("group/g1");
    assertTrue(router.choose(r, 0).isEmpty());
    refused.clear();
    assertEquals("g1", router.choose(r, 0).orElseThrow().target().name());
    Reservation second = router.choose(r, 0).orElseThrow();
    assertTrue(router.choose(r, 0).isEmpty());
    second.release(0);
    second.release(0);
    assertTrue(router.choose(r, 0).isPresent());
    assertEquals(2, routerState.load().inFlight("group/g1"));
    EbonypondException e =
        assertThrows(
            EbonypondException.class,
            () -> router.choose(RouteRequest.service("x", "none", "w"), 0));
    assertEquals(ErrorCode.UNKNOWN_SERVICE, e.code());
  }

  /**
   * Guards against unnecessary traffic between availability zones, and against an overloaded group
   * in the entry's own zone.
   */
  @Test
  void prefersOwnZoneUntilItIsBusier() {
    Views v = new Views(64).withGroups(3);
    Router router = router("prefix-tokens", routerState, SlotLimiter.NONE, 1);
    router.onView(v.view());
    Map<String, Integer> byZone = new HashMap<>();
    assertEquals("z0", router.choose(request(0), 0).orElseThrow().target().zone());
    for (int i = 1; i < 60; i++) {
      byZone.merge(router.choose(request(i), 0).orElseThrow().target().zone(), 1, Integer::sum);
    }
    assertTrue(
        byZone.get("z0") < 25 && byZone.get("z1") > 10 && byZone.get("z2") > 10, "" + byZone);
  }

  /** Guards against cached prefixes that are not used once all groups are busy. */
  @Test
  void choosesWaitingRequestWhosePrefixFreeTargetHolds() {
    Router router = router("prefix-tokens", routerState, SlotLimiter.NONE, 1);
    Views v = new Views(1).withGroups(2);
    router.onView(v.view());
    PromptBlocks known = PromptBlocks.ofHashes(1, 2, 3);
    router.onCacheEvents("g1a", "boot1", List.of(new CacheEvent(1, true, known)));
    List<RouteRequest> waiting =
        List.of(
            RouteRequest.model("a", Views.MODEL, "w", 200, PromptBlocks.ofHashes(7, 8, 9)),
            RouteRequest.model("b", Views.MODEL, "w", 200, known));
    Reservation first = router.chooseAny(waiting, 0).orElseThrow();
    assertEquals("b", first.request().id());
    assertEquals("g1", first.target().name());
    assertEquals("a", router.chooseAny(waiting, 0).orElseThrow().request().id());
    assertTrue(router.chooseAny(waiting, 0).isEmpty());
  }

  /**
   * Guards against cache misses from a subset that changes more than necessary when one group
   * leaves.
   */
  @Test
  void subsetChangesLittleWhenGroupLeaves() {
    Views v = new Views(4).withGroups(300);
    Router router = router("prefix-tokens", routerState, SlotLimiter.NONE, 1);
    router.onView(v.view());
    Set<String> before = new HashSet<>();
    router.preferredGroups().forEach(t -> before.add(t.key()));
    assertEquals(64, before.size());
    v.state(router.preferredGroups().get(5).name(), GroupState.DOWN);
    router.onView(v.view());
    Set<String> after = new HashSet<>();
    router.preferredGroups().forEach(t -> after.add(t.key()));
    after.retainAll(before);
    assertTrue(after.size() >= 62, "kept " + after.size());
  }

  /**
   * Guards against lost or duplicate counts when several threads reserve and release concurrently.
   */
  @ParameterizedTest
  @ValueSource(strings = {"least-outstanding", "prefix-tokens"})
  void countsExactlyFromSeveralThreads(String policy) throws Exception {
    int max = 3;
    Views v = new Views(max).withGroups(10);
    Router router = router(policy, routerState, SlotLimiter.NONE, 1);
    router.onView(v.view());
    ExecutorService pool = Executors.newFixedThreadPool(4);
    try {
      List<Callable<Integer>> tasks = new ArrayList<>();
      for (int t = 0; t < 4; t++) {
        int thread = t;
        tasks.add(() -> chooseAndRelease(router, thread, max));
      }
      int kept = 0;
      for (Future<Integer> f : pool.invokeAll(tasks)) {
        kept += f.get();
      }
      int counted = 0;
      for (int g = 0; g < 10; g++) {
        counted += routerState.load().inFlight("group/g" + g);
      }
      assertEquals(kept, counted);
    } finally {
      pool.shutdownNow();
    }
  }

  private int chooseAndRelease(Router router, int thread, int max) {
    SplittableRandom random = new SplittableRandom(thread);
    List<Reservation> open = new ArrayList<>();
    for (int i = 0; i < 5_000; i++) {
      Optional<Reservation> r = router.choose(request(thread * 10_000 + i), i);
      r.ifPresent(open::add);
      r.ifPresent(x -> assertTrue(routerState.load().inFlight(x.target().key()) <= max));
      if (r.isEmpty() || random.nextInt(3) > 0) {
        if (!open.isEmpty()) {
          Reservation x = open.remove(random.nextInt(open.size()));
          x.progress(30);
          x.complete(20, 1, i);
        }
      }
    }
    return open.size();
  }
}
