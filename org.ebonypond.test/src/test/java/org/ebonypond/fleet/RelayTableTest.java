package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RelayTableTest {
  private final RelayTable table = new RelayTable(new Random(1));

  private static RelayAddress relay(int number, String zone) {
    return new RelayAddress("10.0.0." + number + ":7000", zone);
  }

  /** Guards against a list that grows with the fleet, and against one entry that relays for all. */
  @Test
  void answersNameFewEntriesOfEachKindAndDifferentOnes() {
    for (int i = 0; i < 60; i++) {
      table.report("e-" + i, relay(i, i % 2 == 0 ? "a" : "b"), 0);
    }
    Set<RelayAddress> named = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      List<RelayAddress> sample = table.sample("e-0", "a", 0);
      assertEquals(8, sample.size());
      assertEquals(4, sample.stream().filter(r -> r.zone().equals("a")).count());
      assertFalse(sample.contains(relay(0, "a")));
      named.addAll(sample);
    }
    assertEquals(59, named.size());
  }

  /** Guards against a detour through an entry that has stopped or is cut off itself. */
  @Test
  void entriesThatRelayNothingOrAreSilentAreNotNamed() {
    table.report("e-1", relay(1, "a"), 0);
    table.report("e-2", relay(2, "a"), 2_000);
    table.report("e-1", new RelayAddress("", "a"), 2_500);
    assertEquals(List.of(relay(2, "a")), table.sample("e-3", "a", 3_000));
    assertTrue(table.sample("e-3", "a", 5_001).isEmpty());
  }
}
