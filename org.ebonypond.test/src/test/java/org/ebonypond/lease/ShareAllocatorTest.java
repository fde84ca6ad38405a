package org.ebonypond.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ebonypond.wire.MessagePackCodec;
import org.junit.jupiter.api.Test;

class ShareAllocatorTest {
  private static final ShareTarget TARGET = new ShareTarget("s", "b1");
  private static final long WARM = 1_000_000;

  private final ShareAllocator leader = new ShareAllocator(1, -10_000);
  private final List<ShareHolder> holders = new ArrayList<>();

  private void start(int ceiling, int count) {
    leader.addTarget(TARGET, new CeilingRamp(ceiling, ceiling, WARM, 0), true);
    for (int i = 0; i < count; i++) {
      ShareHolder h = new ShareHolder(new HolderId("e" + i, 1));
      h.onBoot(TARGET);
      h.setWaiting(TARGET, 10);
      holders.add(h);
    }
  }

  private void renew(ShareHolder h, long now) {
    for (ShareGrant g : leader.onRequest(h.request(now), now)) {
      if (h.onGrant(g)) {
        renew(h, now);
      }
    }
  }

  private void renewAll(long now) {
    holders.forEach(h -> renew(h, now));
  }

  private int freeOf(int holder, long now) {
    return holders.get(holder).free(TARGET, now);
  }

  /** Guards against an uneven division and against slots that are granted to no entry. */
  @Test
  void slotsAreDividedEvenly() {
    start(12, 3);
    for (long now = 0; now < 2_000; now += 500) {
      renewAll(now);
    }
    for (int i = 0; i < 3; i++) {
      assertEquals(4, freeOf(i, 2_000));
    }
  }

  /** Guards against slots that an entry keeps without demand. */
  @Test
  void unusedSharesAreReturnedWithinTwoRenewals() {
    start(12, 3);
    for (long now = 0; now < 2_000; now += 500) {
      renewAll(now);
    }
    holders.get(0).setWaiting(TARGET, 0);
    renewAll(2_000);
    renewAll(2_500);
    assertEquals(0, freeOf(0, 2_500));
    assertEquals(12, freeOf(1, 2_500) + freeOf(2, 2_500));
  }

  /** Guards against starvation if there are more entries than slots. */
  @Test
  void slotsRotateAmongMoreEntries() {
    start(3, 8);
    Set<Integer> served = new HashSet<>();
    for (long now = 0; now < 20_000; now += 500) {
      renewAll(now);
      int free = 0;
      for (int i = 0; i < 8; i++) {
        free += freeOf(i, now);
        if (freeOf(i, now) > 0) {
          served.add(i);
        }
      }
      assertTrue(free <= 3);
    }
    assertEquals(8, served.size());
  }

  /** Guards against a start under a share that has lapsed on the entry's clock. */
  @Test
  void shareLapsesThreeSecondsAfterTheRequestWasSent() {
    start(4, 1);
    ShareHolder h = holders.get(0);
    ShareRequest request = h.request(0);
    leader.onRequest(request, 2_000).forEach(h::onGrant);
    assertTrue(h.tryStart(TARGET, 2_999));
    assertFalse(h.tryStart(TARGET, 3_000));
    assertEquals(1, h.request(3_100).items().get(0).inFlight());
  }

  /**
   * Guards against slots that are granted again while requests of a lapsed holder may still run.
   */
  @Test
  void lapsedShareStaysChargedUntilReportShowsLess() {
    start(4, 2);
    renew(holders.get(0), 0);
    leader.lapse(10_000);
    leader.onLoad(TARGET, 9_000, 0);
    renew(holders.get(1), 10_000);
    assertEquals(0, freeOf(1, 10_000));
    leader.onLoad(TARGET, 10_500, 3);
    renew(holders.get(1), 11_000);
    assertEquals(1, freeOf(1, 11_000));
    leader.onLoad(TARGET, 11_500, 0);
    renew(holders.get(1), 12_000);
    assertEquals(4, freeOf(1, 12_000));
  }

  /** Guards against unused capacity because requests of live holders count as lapsed ones. */
  @Test
  void requestsOfLiveHoldersDoNotKeepLapsedSharesCharged() {
    start(4, 2);
    for (long now = 0; now <= 500; now += 100) {
      renewAll(now);
    }
    ShareHolder live = holders.get(1);
    while (live.tryStart(TARGET, 600)) {
      // Uses all slots for long requests.
    }
    assertEquals(2, live.inFlight(TARGET));
    for (long now = 1_000; now <= 6_000; now += 500) {
      renew(live, now);
      leader.onLoad(TARGET, now, 2);
    }
    assertEquals(2, live.free(TARGET, 6_000));
  }

  /** Guards against a request to a restarted server under a share of its previous boot. */
  @Test
  void newBootVoidsShares() {
    start(4, 1);
    ShareHolder h = holders.get(0);
    renew(h, 0);
    assertTrue(h.tryStart(TARGET, 10));
    ShareTarget next = new ShareTarget("s", "b2");
    h.onBoot(next);
    assertFalse(h.tryStart(TARGET, 20));
    assertFalse(h.tryStart(next, 20));
    leader.addTarget(next, new CeilingRamp(4, 4, WARM, 20), true);
    assertEquals(0, leader.charged(next));
  }

  /** Guards against a slot that is reused after the connection of its request was lost. */
  @Test
  void lostRequestKeepsItsSlotUntilReportShowsItsEnd() {
    start(1, 1);
    ShareHolder h = holders.get(0);
    renew(h, 0);
    assertTrue(h.tryStart(TARGET, 10));
    h.lost(TARGET, 20);
    assertFalse(h.tryStart(TARGET, 30));
    h.onLoad(TARGET, 400, 0);
    assertTrue(h.tryStart(TARGET, 410));
  }

  /** Guards against losing count of a request because a delayed message named an earlier boot. */
  @Test
  void delayedMessageOfEarlierBootKeepsCounts() {
    start(4, 1);
    ShareHolder h = holders.get(0);
    renew(h, 0);
    assertTrue(h.tryStart(TARGET, 10));
    h.onBoot(new ShareTarget("s", "b0"));
    h.onBoot(TARGET);
    assertEquals(1, h.request(20).items().get(0).inFlight());
  }

  /**
   * Guards against requests of a lapsed holder that are mistaken for lost ones of a live holder.
   */
  @Test
  void lostRequestsAreNotAttributedToLiveHolders() {
    start(4, 2);
    for (long now = 0; now <= 500; now += 100) {
      renewAll(now);
    }
    ShareHolder live = holders.get(1);
    assertTrue(live.tryStart(TARGET, 600));
    live.lost(TARGET, 610);
    for (long now = 1_000; now <= 6_000; now += 500) {
      renew(live, now);
      leader.onLoad(TARGET, now, 2);
    }
    // Two requests of the lapsed holder and the slot of the lost request are charged.
    assertEquals(1, live.free(TARGET, 6_000));
  }

  /** Guards against a grant of a deposed leader that replaces one of its successor's grants. */
  @Test
  void grantOfLowerTermIsIgnored() {
    start(4, 1);
    ShareHolder h = holders.get(0);
    HolderId id = new HolderId("e0", 1);
    h.onGrant(new ShareGrant(id, 2, h.request(0).sequence(), List.of()));
    renew(h, 10);
    assertEquals(0, freeOf(0, 10));
  }

  /** Guards against share messages that cannot be decoded. */
  @Test
  void messagesRoundTrip() {
    start(4, 1);
    ShareRequest request = holders.get(0).request(0);
    ShareGrant grant = leader.onRequest(request, 0).get(0);
    assertEquals(
        request, MessagePackCodec.decode(MessagePackCodec.encode(request), ShareRequest.class));
    assertEquals(grant, MessagePackCodec.decode(MessagePackCodec.encode(grant), ShareGrant.class));
  }

  /**
   * Guards against grants of a new leader while requests under earlier shares may be unreported.
   */
  @Test
  void newLeaderWaitsForLeaseAndLoadReport() {
    ShareAllocator next = new ShareAllocator(2, 0);
    next.addTarget(TARGET, new CeilingRamp(4, 4, WARM, 0), false);
    ShareHolder h = new ShareHolder(new HolderId("e", 1));
    h.onBoot(TARGET);
    h.setWaiting(TARGET, 4);
    for (long now = 0; now < 10_000; now += 500) {
      next.onRequest(h.request(now), now).forEach(h::onGrant);
      assertEquals(0, h.free(TARGET, now));
    }
    next.onLoad(TARGET, 9_900, 1);
    next.onRequest(h.request(10_000), 10_000).forEach(h::onGrant);
    assertEquals(3, h.free(TARGET, 10_000));
  }

  /** Guards against a sudden rise to full load and against shares required for a warm server. */
  @Test
  void ceilingRisesLinearlyUntilWarm() {
    CeilingRamp ramp = new CeilingRamp(2, 16, 20_000, 1_000);
    assertEquals(2, ramp.at(500));
    assertEquals(2, ramp.at(1_000));
    assertEquals(9, ramp.at(11_000));
    assertEquals(15, ramp.at(20_999));
    assertFalse(ramp.isWarm(20_999));
    assertEquals(16, ramp.at(21_000));
    assertTrue(ramp.isWarm(21_000));
  }
}
