package org.ebonypond.bench.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Detects reading the wrong field of /proc, which would give plausible but wrong values. */
class ProcStatTest {
  private static final String STAT =
      "4711 (a (b) c) S 1 4711 4711 0 -1 4194560 11 12 13 14 1500 250 17 18 20 0 9 0 999 1 2\n";

  @Test
  void parsesTimesAfterCommandWithSpacesAndParentheses() {
    ProcStat s = ProcStat.parse(STAT, List.of("Name:\ta", "VmHWM:\t  99 kB", "VmRSS:\t  2048 kB"));
    assertEquals(17.5, s.cpuSeconds(), 1e-9);
    assertEquals(2_097_152, s.residentBytes());
  }

  @Test
  void rejectsStatusWithoutResidentSize() {
    assertThrows(IllegalArgumentException.class, () -> ProcStat.parse(STAT, List.of("Name:\ta")));
  }
}
