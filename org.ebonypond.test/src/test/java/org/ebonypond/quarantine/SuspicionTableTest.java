package org.ebonypond.quarantine;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SuspicionTableTest {
  private static final int ROUNDS = 20_000;

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
                    "e", List.of(new PartSuspicion(i % 500, 0, List.of(crash), 1, true)), i);
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
