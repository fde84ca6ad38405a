package org.ebonypond.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/**
 * An entry's shares of starting backend servers. A request starts only with a free slot of a share
 * whose lease, counted from the time the entry sent its request for the share, has not lapsed. Not
 * thread-safe.
 */
public final class ShareHolder {
  /** The interval between share requests; a share survives the loss of several. */
  public static final long RENEW_MILLIS = 500;

  /** The number of share requests kept; grants of older ones are ignored. */
  private static final int MAX_SENT_REQUESTS = 16;

  /** The number of earlier boots of one server whose requests are still counted. */
  private static final int MAX_EARLIER_BOOTS = 4;

  private final HolderId id;
  // When each of the latest requests was sent, by sequence number.
  private final LinkedHashMap<Long, Long> sent = new LinkedHashMap<>();
  // In order of first use. Earlier boots are kept while the server may run their requests, since a
  // delayed message can name an earlier boot as the current one.
  private final LinkedHashMap<ShareTarget, TargetState> targets = new LinkedHashMap<>();
  private final Map<String, ShareTarget> current = new HashMap<>();
  // The initial value of a new target's counter, so that the counter of a target that is removed
  // and added again never decreases.
  private long totalEnded;
  private long sequence;
  private long ack;
  private long term;
  private long resumedAt = Long.MIN_VALUE;

  /** The state of one target. */
  private static final class TargetState {
    private final ShareTarget target;
    private int demand;
    private int inFlight;
    private int lost;
    private long lostMillis = Long.MIN_VALUE;
    private long ended;
    private int granted;
    private long grantRequestedAt = Long.MIN_VALUE;
    private boolean warm;

    TargetState(ShareTarget target, long ended) {
      this.target = target;
      this.ended = ended;
    }

    /** Returns the number of requests that the server may still run. */
    int inUse() {
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
   * Sets the current boot identity of a backend server. Shares of any other boot become void
   * immediately.
   */
  public void onBoot(ShareTarget target) {
    if (!target.equals(current.get(target.name()))) {
      remove(target.name());
      current.put(target.name(), target);
      targets.computeIfAbsent(target, t -> new TargetState(t, totalEnded));
    }
  }

  /**
   * Drops the share of a backend server that is down or removed. Requests that it may still run
   * stay counted, because it may return with the same boot identity.
   */
  public void remove(String name) {
    ShareTarget target = current.remove(name);
    TargetState s = target == null ? null : targets.get(target);
    if (s == null) {
      return;
    }
    s.granted = 0;
    s.demand = 0;
    s.warm = false;
    if (s.inUse() == 0) {
      targets.remove(target);
    }
    prune(name);
  }

  /**
   * Sets the number of requests that wait for a target.
   *
   * @param target the target
   * @param waiting the number of requests that could start now if there were free slots
   */
  public void setWaiting(ShareTarget target, int waiting) {
    TargetState s = targets.get(target);
    if (s != null && isCurrent(target)) {
      s.demand = waiting;
    }
  }

  /**
   * Builds the next share request, to be sent every {@link #RENEW_MILLIS} and immediately when
   * demand starts or ends. A request without demand returns the shares.
   *
   * @param nowMillis the time, read before the request is sent
   */
  public ShareRequest request(long nowMillis) {
    sent.put(++sequence, nowMillis);
    if (sent.size() > MAX_SENT_REQUESTS) {
      sent.remove(sent.keySet().iterator().next());
    }
    List<ShareRequest.Item> items = new ArrayList<>();
    for (TargetState s : targets.values()) {
      int wanted = s.inUse() + s.demand;
      boolean held = s.granted > 0 && isValid(s, nowMillis);
      if (wanted > 0 || (held && !s.warm)) {
        items.add(new ShareRequest.Item(s.target, wanted, s.inFlight, s.lost, s.ended));
      }
    }
    return new ShareRequest(id, sequence, ack, items);
  }

  /**
   * Applies a grant. Grants for older requests, other processes or of lower terms are ignored.
   *
   * @return whether a share shrank; the next request should then be sent immediately, because the
   *     leader can grant the slots to others only once it knows that this grant is in force
   */
  public boolean onGrant(ShareGrant grant) {
    Long sentMillis = sent.get(grant.sequence());
    boolean applicable = grant.holder().equals(id) && sentMillis != null && grant.sequence() > ack;
    if (!applicable || grant.term() < term) {
      return false;
    }
    ack = grant.sequence();
    term = grant.term();
    Map<ShareTarget, ShareGrant.Item> items = new HashMap<>();
    grant.items().forEach(i -> items.put(i.target(), i));
    boolean shrank = false;
    for (TargetState s : targets.values()) {
      ShareGrant.Item i = items.get(s.target);
      int granted = i == null ? 0 : i.slots();
      shrank |= granted < s.granted;
      s.granted = granted;
      s.grantRequestedAt = sentMillis;
      s.warm |= i != null && i.warm();
    }
    return shrank;
  }

  /**
   * Records that the process was suspended, for a time that its clock does not count: shares that
   * were requested before have lapsed.
   *
   * @param millis when the process noticed it, see {@link
   *     org.ebonypond.time.SuspensionDetector#resumedAt}
   */
  public void onResumed(long millis) {
    resumedAt = millis;
  }

  /**
   * Starts a request if the target is warm or a slot of an unlapsed share is free.
   *
   * @param target the target with the boot identity that the entry expects
   * @param nowMillis the time, read immediately before the call, in milliseconds
   * @return whether the request counts as in flight; if so, {@link #finished} must follow
   */
  public boolean tryStart(ShareTarget target, long nowMillis) {
    TargetState s = targets.get(target);
    if (s == null || !isCurrent(target) || !(s.warm || hasSlot(s, nowMillis))) {
      return false;
    }
    s.inFlight++;
    return true;
  }

  /**
   * Releases the slot of a request that {@link #tryStart} started and that has ended on the server.
   */
  public void finished(ShareTarget target) {
    TargetState s = targets.get(target);
    if (s == null) {
      return;
    }
    end(s);
  }

  /**
   * Records a request whose connection was lost, so that the server may still be running it. Its
   * slot stays in use until a load report shows that the request has ended.
   */
  public void lost(ShareTarget target, long nowMillis) {
    TargetState s = targets.get(target);
    if (s == null) {
      return;
    }
    end(s);
    s.lost++;
    s.lostMillis = nowMillis;
  }

  /**
   * Processes a load report.
   *
   * @param target the target, with the boot identity that the report names
   * @param measuredMillis the time of the measurement on this entry's clock; may be an earlier time
   * @param active the number of requests that the server runs or queues
   */
  public void onLoad(ShareTarget target, long measuredMillis, int active) {
    TargetState s = targets.get(target);
    if (s == null || s.lost <= active) {
      return;
    }
    if (measuredMillis >= s.lostMillis + ShareAllocator.TRANSIT_MILLIS) {
      s.lost = active;
    }
  }

  /** Returns the number of this entry's requests that a target may be running. */
  public int inFlight(ShareTarget target) {
    TargetState s = targets.get(target);
    return s == null ? 0 : s.inUse();
  }

  /**
   * Returns the number of requests that could start now; {@link Integer#MAX_VALUE} if the target is
   * warm.
   */
  public int free(ShareTarget target, long nowMillis) {
    TargetState s = targets.get(target);
    if (s == null || !isCurrent(target)) {
      return 0;
    }
    if (s.warm) {
      return Integer.MAX_VALUE;
    }
    return isValid(s, nowMillis) ? Math.max(0, s.granted - s.inUse()) : 0;
  }

  private void end(TargetState s) {
    if (s.inFlight == 0) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED, "more requests ended than started at " + s.target);
    }
    s.inFlight--;
    s.ended++;
    totalEnded++;
  }

  private boolean hasSlot(TargetState s, long nowMillis) {
    return isValid(s, nowMillis) && s.inUse() < s.granted;
  }

  private boolean isValid(TargetState s, long nowMillis) {
    return s.grantRequestedAt > resumedAt
        && nowMillis - s.grantRequestedAt < ShareAllocator.LEASE_MILLIS;
  }

  private boolean isCurrent(ShareTarget target) {
    return target.equals(current.get(target.name()));
  }

  /** Removes the state of the oldest boots of a server. */
  private void prune(String name) {
    List<ShareTarget> boots = new ArrayList<>();
    for (ShareTarget t : targets.keySet()) {
      if (t.name().equals(name)) {
        boots.add(t);
      }
    }
    for (int i = 0; i < boots.size() - MAX_EARLIER_BOOTS; i++) {
      targets.remove(boots.get(i));
    }
  }
}
