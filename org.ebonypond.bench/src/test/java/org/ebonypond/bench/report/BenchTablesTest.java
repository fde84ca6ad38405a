package org.ebonypond.bench.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Detects values that are taken from the wrong column of a table, and lines that are skipped
 * without an error.
 */
class BenchTablesTest {
  @Test
  void readsTheLogsTables() {
    final Rows rows = new Rows();
    List<String> lines = new ArrayList<>();
    lines.add("records of 200 bytes         proposers  records/s     p50 ms     p99 ms");
    for (String kind :
        List.of(
            "one sync for each record    ",
            "group commit, 1 replica(s)  ",
            "group commit, 3 replica(s)  ")) {
      lines.add(kind + "         1       2335      0.167      4.283");
      lines.add(kind + "         8      11005      0.233      7.923");
      lines.add(kind + "        64      17066      1.917     24.751");
    }
    lines.add("recovery, median of 7           records      read ms  elect+apply");
    lines.add("                                    100         1.96        80.19");
    lines.add("                                   1000         4.10        98.76");
    lines.add("                                  10000         7.81        88.54");
    BenchTables.log(lines, rows);
    assertEquals(11_005, rows.value("log.group.r3.8.rate"));
    assertEquals(1.917, rows.value("log.sync-each.64.p50"));
    assertEquals(4.283, rows.value("log.group.r1.1.p99"));
    assertEquals(7.81, rows.value("log.recovery.10000.read"));
    assertEquals(88.54, rows.value("log.recovery.10000.apply"));
    assertThrows(
        IllegalStateException.class, () -> BenchTables.log(lines.subList(0, 9), new Rows()));
  }

  @Test
  void readsTheLedgersTable() {
    Rows rows = new Rows();
    List<String> lines =
        List.of(
            "applies per second, one thread                          101,482.5",
            "heap bytes per record                                       729.7",
            "estimated bytes per record                                  748.0",
            "snapshot, ns per record                                  13,390.3",
            "snapshot bytes per record                                   399.0",
            "restore, ns per record                                   41,310.5",
            "AtMostOnceCall, ns per call                                  60.9",
            "RequestDigest, ns per call                                  582.6",
            "ShareHolder start and end, ns per request                    15.5");
    BenchTables.ledger(lines, rows);
    assertEquals(101_482.5, rows.value("ledger.applies"));
    assertEquals(729.7, rows.value("ledger.heap"));
    assertThrows(
        IllegalStateException.class, () -> BenchTables.ledger(lines.subList(0, 8), new Rows()));
  }

  @Test
  void readsTheRoutingTable() {
    Rows rows = new Rows();
    List<String> lines = new ArrayList<>();
    lines.add("policy             groups threads decisions/s table-ms bytes/group");
    for (String policy : List.of("round-robin", "least-outstanding", "prefix-tokens")) {
      for (int groups : new int[] {10, 100, 1_000, 10_000}) {
        lines.add(policy + "   " + groups + "       1       32170     0.24       49474");
        lines.add(policy + "   " + groups + "       4      138100     0.24       15546");
      }
    }
    BenchTables.routing(lines, rows);
    assertEquals(32_170, rows.value("decide.prefix-tokens.10000.t1"));
    assertEquals(138_100, rows.value("decide.prefix-tokens.10000.t4"));
    assertEquals(49_474, rows.value("decide.least-outstanding.100.memory"));
    assertEquals(0.24, rows.value("decide.table.1000"));
    assertThrows(
        IllegalStateException.class, () -> BenchTables.routing(lines.subList(0, 24), new Rows()));
  }

  @Test
  void readsThePlacementTable() {
    Rows rows = new Rows();
    List<String> lines = new ArrayList<>();
    lines.add("spares           greedy                      0                         0        0");
    for (int n : new int[] {100, 1_000, 10_000, 80_000}) {
      lines.add("  " + n + "   greedy  0.72 / 1.80   0.53 / 6.21   0.31 / 17.98   0.54 / 5.00");
      lines.add("  " + n + "   scored  473.75 / 573.20  51.47 / 168.37  69.30 / 536.31  7 / 8.24");
    }
    BenchTables.placement(lines, rows);
    assertEquals(473.75, rows.value("place.scored.80000.first.p50"));
    assertEquals(168.37, rows.value("place.scored.80000.idle.max"));
    assertEquals(69.30, rows.value("place.scored.80000.member-lost.p50"));
    assertEquals(5.00, rows.value("place.greedy.100.domain-lost.max"));
    assertThrows(
        IllegalStateException.class, () -> BenchTables.placement(lines.subList(0, 8), new Rows()));
  }
}
