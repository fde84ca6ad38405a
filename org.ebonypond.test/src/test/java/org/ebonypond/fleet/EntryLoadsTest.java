package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class EntryLoadsTest {
  /** The time between rounds; longer than a sum is reused. */
  private static final long ROUND_MILLIS = 100;

  private static List<InstanceLoad> randomLoads(Random random) {
    List<InstanceLoad> out = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      if (random.nextInt(3) > 0) {
        int active = random.nextInt(3);
        out.add(
            new InstanceLoad(
                "i-" + i,
                1 + random.nextInt(2),
                active,
                100 * active,
                active == 0 ? InstanceLoad.NEVER : random.nextInt(400),
                random.nextInt(2) * random.nextInt(900)));
      }
    }
    return out;
  }

  private static Map<String, InstanceLoad> expected(
      Map<String, List<InstanceLoad>> reports, String excluded) {
    Map<String, Long> epochs = new HashMap<>();
    reports.forEach((e, l) -> l.forEach(h -> epochs.merge(h.instance(), h.epoch(), Math::max)));
    Map<String, InstanceLoad> out = new HashMap<>();
    reports.forEach(
        (entry, loads) -> {
          if (!entry.equals(excluded)) {
            for (InstanceLoad l : loads) {
              if (l.epoch() == epochs.get(l.instance())) {
                out.merge(l.instance(), l, InstanceLoad::plus);
              }
            }
          }
        });
    return out;
  }

  /** Guards against a cached sum from which an entry's own load is not subtracted exactly. */
  @Test
  void othersExcludesExactlyTheOwnLoad() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      EntryLoads loads = new EntryLoads();
      Map<String, List<InstanceLoad>> reports = new HashMap<>();
      for (int round = 1; round <= 5; round++) {
        for (int e = 0; e < 4; e++) {
          List<InstanceLoad> l = randomLoads(random);
          reports.put("e" + e, l);
          loads.report("e" + e, 0, l, round * ROUND_MILLIS);
        }
        for (String entry : reports.keySet()) {
          Map<String, InstanceLoad> others = new HashMap<>();
          loads.others(entry, round * ROUND_MILLIS).forEach(l -> others.put(l.instance(), l));
          assertEquals(expected(reports, entry), others, "seed " + seed);
        }
        assertEquals(expected(reports, ""), loads.all(round * ROUND_MILLIS), "seed " + seed);
      }
    }
  }

  /** Guards against stopped entries whose load still counts. */
  @Test
  void loadsOfSilentEntriesExpire() {
    EntryLoads loads = new EntryLoads();
    loads.report("e0", 0, List.of(new InstanceLoad("i", 1, 1, 10, 5, 0)), 0);
    assertEquals(1, loads.others("e1", 1_000).size());
    assertEquals(0, loads.others("e1", 3_000).size());
  }
}
