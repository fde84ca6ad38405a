package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.junit.FakeFleet;
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
    Map<String, Integer> counts = new HashMap<>(Map.of("large", large, "small", small));
    return new GroupFormation(FakeFleet.twoModels(), counts, Map.of(), USABLE);
  }

  /** Guards against a cold zone that idles until the weights of a worse served model are loaded. */
  @Test
  void hostsServeWhatTheyHaveWhileTheLargerModelIsWorseServed() {
    List<FleetInstance> free = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      free.add(free(i, i < 2 ? "large" : "small"));
    }
    GroupFormation.Choice c = formation(3, 5).best(Map.of("domain", free), false);
    assertNotNull(c);
    assertEquals("small", c.model().name());
  }

  /** Guards against a small group that takes the room of a larger one which is about to fit. */
  @Test
  void instancesAreKeptForLargerGroupThatLacksOneMember() {
    List<FleetInstance> free = List.of(free(0, "large"), free(1, "large"), free(2, "large"));
    assertNull(formation(3, 7).best(Map.of("domain", free), true));
  }
}
