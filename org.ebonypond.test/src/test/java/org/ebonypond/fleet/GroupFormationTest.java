package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.junit.FakeFleet;
import org.ebonypond.serving.EngineProfile;
import org.junit.jupiter.api.Test;

class GroupFormationTest {
  private static final int USABLE = 48;

  private static FleetInstance free(int number, String... staged) {
    return new FleetInstance(
        "i-" + number,
        1,
        1,
        "engines",
        "10.0.0.1:" + (1_000 + number),
        "z",
        InstancePhase.READY,
        18,
        0,
        "domain",
        List.of(),
        List.of(staged),
        null,
        "");
  }

  private static GroupFormation formation(int large, int small) {
    return formation(large, small, Map.of());
  }

  private static GroupFormation formation(int large, int small, Map<String, Integer> active) {
    Map<String, Integer> counts = new HashMap<>(Map.of("large", large, "small", small));
    return new GroupFormation(FakeFleet.twoModels(), counts, active, USABLE);
  }

  private static boolean converts(GroupFormation f, String from, String to) {
    EngineProfile e = FakeFleet.twoModels();
    return f.isWorthConverting(e.model(from), e.model(to), 1);
  }

  /**
   * Guards against a cold zone that idles until the weights of a model with a greater shortfall are
   * loaded.
   */
  @Test
  void stagedModelIsServedWhileTheLargerModelIsLoaded() {
    List<FleetInstance> free = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      free.add(free(i, i < 2 ? "large" : "small"));
    }
    GroupFormation.Choice c = formation(3, 5).best(Map.of("domain", free), false);
    assertNotNull(c);
    assertEquals("small", c.model().name());
  }

  /** Guards against instances that idle beside those reserved for a larger model. */
  @Test
  void instancesUnusableForTheLargerModelFormSmallGroup() {
    List<FleetInstance> free = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      free.add(i < 3 ? free(i, "large", "small") : free(i, "small"));
    }
    GroupFormation.Choice c = formation(3, 7).best(Map.of("domain", free), false);
    assertNotNull(c);
    assertEquals(List.of("i-3", "i-4"), c.members().stream().map(FleetInstance::id).toList());
  }

  /** Guards against a small group that uses instances of a larger one lacking a single member. */
  @Test
  void instancesAreReservedForLargerGroupThatLacksOneMember() {
    List<FleetInstance> free = List.of(free(0, "large"), free(1, "large"), free(2, "large"));
    assertNull(formation(3, 7).best(Map.of("domain", free), true));
  }

  /** Guards against refused requests in a burst for one model while groups of the other idle. */
  @Test
  void groupsFollowBurstAndReturnAfterIt() {
    Map<String, Integer> calm = Map.of("large", 8 * 8, "small", 8 * 9);
    Map<String, Integer> burst = Map.of("large", 8 * 5, "small", 8 * 16);
    assertFalse(converts(formation(8, 8, calm), "large", "small"));
    assertTrue(converts(formation(8, 8, burst), "large", "small"));
    assertFalse(converts(formation(8, 8, burst), "small", "large"));
    Map<String, Integer> worse = Map.of("large", 6 * 6, "small", 12 * 17);
    assertTrue(converts(formation(6, 12, worse), "large", "small"));
    assertTrue(converts(formation(6, 12, calm), "small", "large"));
  }

  /** Guards against a model that loses all its groups while it is idle. */
  @Test
  void idleModelKeepsGroups() {
    Map<String, Integer> burst = Map.of("large", 0, "small", 22 * 18);
    assertFalse(converts(formation(1, 22, burst), "large", "small"));
  }
}
