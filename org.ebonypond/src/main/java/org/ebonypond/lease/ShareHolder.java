package org.ebonypond.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/**
 * An entry's shares of starting backend servers. No request starts without a free slot of a share
 * whose lease, counted from the time the entry sent its request, has not lapsed. Not thread-safe.
 */
public final class ShareHolder {
  /** The interval of requests; a share survives the loss of several. */
  public static final long RENEW_MILLIS = 500;

  /** Requests older than this many can no longer bring a lease. */
  private static final int MAX_SENT = 16;

  /** Earlier boots of one server whose requests are still counted. */
  private static final int MAX_EARLIER_BOOTS = 4;

  private final HolderId id;
  private final LinkedHashMap<Long, Long> sent = new LinkedHashMap<>();
  // In order of first use. Slots of earlier boots stay while the server may run their requests,
  // because late news can name an earlier boot as the current one.
  private final LinkedHashMap<ShareTarget, Slot> slots = new LinkedHashMap<>();
  private final Map<String, ShareTarget> current = new HashMap<>();
  // New slots start at this count, so that a slot that is removed and added again never counts
  // back.
  private long totalEnded;
  private long sequence;
  private long ack;
  private long term;

  /** The state of one target. */
  private static final class Slot {
    private final ShareTarget target;
    private int demand;
    private int inFlight;
    private int lost;
    private long lostMillis = Long.MIN_VALUE;
    private long ended;
    private int granted;
    private long validUntil = Long.MIN_VALUE;
    private boolean warm;

    Slot(ShareTarget target, long ended) {
      this.target = target;
      this.ended = ended;
    }

    /** Returns the requests that the server may still run. */
    int busy() {
      return inFlight + lost;
    }
  }

  /**
   * Creates a holder without shares.
   *
   * @param id the entry and its incarnation
   */
  public ShareHolder(HolderId id) {
    this.id = id;
  }

  /**
   * Makes a boot identity the current one of a backend server. The shares of another boot are void
   * at once.
   */
  public void onBoot(ShareTarget target) {
    if (!target.equals(current.get(target.name()))) {
      remove(target.name());
      current.put(target.name(), target);
      slots.computeIfAbsent(target, t -> new Slot(t, totalEnded));
    }
  }

  /**
   * Gives up the share of a backend server that is down or gone. Requests that it may still run
   * stay counted, because it may come back with the same boot identity.
   */
  public void remove(String name) {
    ShareTarget target = current.remove(name);
    Slot s = target == null ? null : slots.get(target);
    if (s == null) {
      return;
    }
    s.granted = 0;
    s.demand = 0;
    s.warm = false;
    if (s.busy() == 0) {
      slots.remove(target);
    }
    prune(name);
  }

  /**
   * Sets how many requests wait for the target.
   *
   * @param target the target
   * @param waiting the requests that could start at once if there were slots
   */
  public void setWaiting(ShareTarget target, int waiting) {
    Slot s = slots.get(target);
    if (s != null && isCurrent(target)) {
      s.demand = waiting;
    }
  }

  /**
   * Builds the next request. Sent every {@link #RENEW_MILLIS} and at once when demand appears or
   * ends; a request without demand returns the shares.
   *
   * @param nowMillis the time before the request is sent
   */
  public ShareRequest request(long nowMillis) {
    sent.put(++sequence, nowMillis);
    if (sent.size() > MAX_SENT) {
      sent.remove(sent.keySet().iterator().next());
    }
    List<ShareRequest.Item> items = new ArrayList<>();
    for (Slot s : slots.values()) {
      int wanted = s.busy() + s.demand;
      boolean held = s.granted > 0 && nowMillis < s.validUntil;
      if (wanted > 0 || (held && !s.warm)) {
        items.add(new ShareRequest.Item(s.target, wanted, s.inFlight, s.lost, s.ended));
      }
    }
    return new ShareRequest(id, sequence, ack, items);
  }

  /**
   * Takes a grant. Grants of older requests, other processes and lower terms are ignored.
   *
   * @return whether a share shrank; the next request should go out at once, because the leader can
   *     give the slots to others only when it knows that this grant is in force
   */
  public boolean onGrant(ShareGrant grant) {
    Long sentMillis = sent.get(grant.sequence());
    boolean mine = grant.holder().equals(id) && sentMillis != null && grant.sequence() > ack;
    if (!mine || grant.term() < term) {
      return false;
    }
    ack = grant.sequence();
    term = grant.term();
    Map<ShareTarget, ShareGrant.Item> items = new HashMap<>();
    grant.items().forEach(i -> items.put(i.target(), i));
    boolean shrank = false;
    for (Slot s : slots.values()) {
      ShareGrant.Item i = items.get(s.target);
      int granted = i == null ? 0 : i.slots();
      shrank |= granted < s.granted;
      s.granted = granted;
      s.validUntil = sentMillis + ShareAllocator.LEASE_MILLIS;
      s.warm |= i != null && i.warm();
    }
    return shrank;
  }

  /**
   * Starts a request if the target is warm, or has a free slot of a share that has not lapsed.
   *
   * @param target the target with the boot identity that the entry expects
   * @param nowMillis the time, read immediately before
   * @return whether the request counts as in flight; if so, {@link #finished} must follow
   */
  public boolean tryStart(ShareTarget target, long nowMillis) {
    Slot s = slots.get(target);
    if (s == null || !isCurrent(target) || !(s.warm || hasSlot(s, nowMillis))) {
      return false;
    }
    s.inFlight++;
    return true;
  }

  /** Ends a request that {@link #tryStart} started and that the server runs no more. */
  public void finished(ShareTarget target) {
    Slot s = slots.get(target);
    if (s == null) {
      return;
    }
    end(s);
  }

  /**
   * Ends a request whose connection was lost, so that the server may still run it. Its slot stays
   * taken until a load report shows that it ended.
   */
  public void lost(ShareTarget target, long nowMillis) {
    Slot s = slots.get(target);
    if (s == null) {
      return;
    }
    end(s);
    s.lost++;
    s.lostMillis = nowMillis;
  }

  /**
   * Takes a load report.
   *
   * @param target the target, with the boot identity that the report names
   * @param measuredMillis the time of the measurement on this entry's clock, or an earlier time
   * @param active the requests that the server runs or queues
   */
  public void onLoad(ShareTarget target, long measuredMillis, int active) {
    Slot s = slots.get(target);
    if (s == null || s.lost <= active) {
      return;
    }
    if (measuredMillis >= s.lostMillis + ShareAllocator.TRANSIT_MILLIS) {
      s.lost = active;
    }
  }

  /** Returns the requests that a target may run for this entry. */
  public int inFlight(ShareTarget target) {
    Slot s = slots.get(target);
    return s == null ? 0 : s.busy();
  }

  /** Returns the requests that could start now; {@link Integer#MAX_VALUE} if the target is warm. */
  public int free(ShareTarget target, long nowMillis) {
    Slot s = slots.get(target);
    if (s == null || !isCurrent(target)) {
      return 0;
    }
    if (s.warm) {
      return Integer.MAX_VALUE;
    }
    return nowMillis < s.validUntil ? Math.max(0, s.granted - s.busy()) : 0;
  }

  private void end(Slot s) {
    if (s.inFlight == 0) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED, "more requests ended than started at " + s.target);
    }
    s.inFlight--;
    s.ended++;
    totalEnded++;
  }

  private static boolean hasSlot(Slot s, long nowMillis) {
    return nowMillis < s.validUntil && s.busy() < s.granted;
  }

  private boolean isCurrent(ShareTarget target) {
    return target.equals(current.get(target.name()));
  }

  /** Drops the slots of the oldest boots of a server. */
  private void prune(String name) {
    List<ShareTarget> boots = new ArrayList<>();
    for (ShareTarget t : slots.keySet()) {
      if (t.name().equals(name)) {
        boots.add(t);
      }
    }
    for (int i = 0; i < boots.size() - MAX_EARLIER_BOOTS; i++) {
      slots.remove(boots.get(i));
    }
  }
}
