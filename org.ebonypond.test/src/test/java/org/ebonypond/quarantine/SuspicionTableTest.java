package org.ebonypond.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SuspicionTableTest {
  private static final int ROUNDS = 20_000;

  /** Guards against a block that is renewed whenever another part is blocked or released. */
  @Test
  void changesOfTheLogDoNotRenewKnownParts() {
    SuspicionTable table = new SuspicionTable();
    List<BlockedPart> first = List.of(new BlockedPart(1, false, List.of(11L, 12L, 13L)));
    table.restore(first, 0);
    long later = SuspicionTable.EXPIRY_MILLIS - 1;
    List<BlockedPart> both =
        List.of(first.get(0), new BlockedPart(2, true, List.of(21L, 22L, 23L)));
    table.restore(both, later);
    assertEquals(both, table.blockedParts(later));
    assertEquals(both.subList(1, 2), table.blockedParts(later + 2));
  }

  /** Guards against a replica that fails when a poll arrives while its leader reads the table. */
  @Test
  void pollsMayArriveWhileTheTableIsRead() throws Exception {
    SuspicionTable table = new SuspicionTable();
    CompletableFuture<Void> polls =
        CompletableFuture.runAsync(
            () -> {
              for (int i = 0; i < ROUNDS; i++) {
                PartSuspicion.Crash crash = new PartSuspicion.Crash(i, 0, 0.01);
                table.merge(
                    "e",
                    List.of(new PartSuspicion(i % 500, 0, List.of(crash), 1, true, i % 2 == 0)),
                    i);
              }
            });
    CompletableFuture<Void> reads =
        CompletableFuture.runAsync(
            () -> {
              for (int i = 0; i < ROUNDS / 10; i++) {
                assertTrue(table.blockedParts(i).size() <= SuspicionTable.MAX_REPORTED);
                table.report(r -> true, i);
              }
            });
    CompletableFuture.allOf(polls, reads).get(60, TimeUnit.SECONDS);
  }
}
