package org.ebonypond.lease;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/** The shares of one target, on the leader. */
final class TargetShares {
  /** A placeholder for the holders of shares that an earlier leader may have granted. */
  private static final HolderId EARLIER_LEADER = new HolderId("", 0);

  /**
   * The number of load reports kept until the holders' next requests; both arrive about every 500
   * ms.
   */
  private static final int MAX_REPORTS = 8;

  private final CeilingRamp ramp;
  private final TreeMap<HolderId, Holding> live =
      new TreeMap<>(Comparator.comparing(HolderId::entry).thenComparingLong(HolderId::incarnation));
  private final LapsedShares lapsed = new LapsedShares();
  private final Deque<AttributedReport> reports = new ArrayDeque<>();

  TargetShares(CeilingRamp ramp) {
    this.ramp = ramp;
  }

  /** Charges the full concurrency until a load report measured after the given time shows less. */
  void chargeEarlierLeader(long lapsedMillis) {
    Holding h = new Holding();
    h.assume(ramp.maxConcurrency());
    lapsed.add(EARLIER_LEADER, h, lapsedMillis);
  }

  void onRequest(
      HolderId holder,
      ShareRequest.@Nullable Item item,
      long ack,
      long ackHandledMillis,
      long nowMillis) {
    Holding h = resume(holder);
    h.onRequest(item, ack, ackHandledMillis, nowMillis);
    for (AttributedReport r : reports) {
      // The margin on both sides covers requests and answers in transit between the entry and the
      // server.
      if (ackHandledMillis >= r.measuredMillis() + ShareAllocator.TRANSIT_MILLIS) {
        r.attribute(holder, h.minActive(r.measuredMillis() - ShareAllocator.TRANSIT_MILLIS));
      }
    }
    if (h.isEmpty()) {
      live.remove(holder);
    }
    applyReports();
  }

  /** Grants a share to a holder whose request was already processed. */
  ShareGrant.Item grant(
      ShareTarget target, HolderId holder, long sequence, long nowMillis, boolean mayGrant) {
    Holding h = live.get(holder);
    boolean warm = ramp.isWarm(nowMillis);
    if (h == null || !mayGrant) {
      return new ShareGrant.Item(target, 0, warm);
    }
    int slots = Math.min(fairShare(holder, nowMillis), ramp.at(nowMillis) - chargeWithout(holder));
    slots = Math.max(0, slots);
    int before = charge();
    h.addGrant(sequence, slots, nowMillis + ShareAllocator.LEADER_LEASE_MILLIS);
    if (charge() > Math.max(before, ramp.at(nowMillis))) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED, "shares of " + target + " exceed the ceiling");
    }
    return new ShareGrant.Item(target, slots, warm);
  }

  void onLapse(HolderId holder, long nowMillis) {
    Holding h = live.remove(holder);
    if (h != null) {
      lapsed.add(holder, h, nowMillis);
    }
  }

  void onLoad(long measuredMillis, int active) {
    if (!reports.isEmpty() && reports.getLast().measuredMillis() >= measuredMillis) {
      return;
    }
    if (reports.size() == MAX_REPORTS) {
      reports.removeFirst();
    }
    reports.addLast(new AttributedReport(measuredMillis, active));
    applyReports();
  }

  int charge() {
    return lapsed.charge() + live.values().stream().mapToInt(Holding::charge).sum();
  }

  int ceiling(long nowMillis) {
    return ramp.at(nowMillis);
  }

  private Holding resume(HolderId holder) {
    Holding returning = lapsed.remove(holder);
    if (returning != null) {
      live.put(holder, returning);
    }
    return live.computeIfAbsent(holder, k -> new Holding());
  }

  private int chargeWithout(HolderId holder) {
    Holding h = live.get(holder);
    return charge() - (h == null ? 0 : h.charge());
  }

  private int fairShare(HolderId holder, long nowMillis) {
    TreeMap<HolderId, Integer> wanted = new TreeMap<>(live.comparator());
    for (Map.Entry<HolderId, Holding> e : live.entrySet()) {
      wanted.put(e.getKey(), e.getValue().wanted());
    }
    int slots = Math.max(0, ramp.at(nowMillis) - lapsed.charge());
    return FairDivision.divide(slots, wanted, nowMillis).getOrDefault(holder, 0);
  }

  private void applyReports() {
    for (AttributedReport r : reports) {
      lapsed.bound(r.measuredMillis() - ShareAllocator.TRANSIT_MILLIS, r.unattributed());
    }
  }
}
