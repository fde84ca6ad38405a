package org.ebonypond.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Divides the ceilings of starting backend servers among entries. The control leader creates one
 * allocator for its term and discards it when it steps down. Not thread-safe.
 *
 * <p>The leader cannot observe a holder between two requests. It therefore charges each holder with
 * the maximum over all grants that the holder may still use.
 */
public final class ShareAllocator {
  /** The duration of a share's lease at the holder, from the time the holder sent its request. */
  public static final long LEASE_MILLIS = 3_000;

  /** The allowance for clock drift: 5% of the lease, far above real drift. */
  private static final long CLOCK_DRIFT_MILLIS = 150;

  /** The duration of the lease at the leader, from the time it handled the request. */
  static final long LEADER_LEASE_MILLIS = LEASE_MILLIS + CLOCK_DRIFT_MILLIS;

  /**
   * The maximum transit time of a request or answer between an entry and a server. Reports measured
   * closer to a lapse than this are ignored.
   */
  static final long TRANSIT_MILLIS = 300;

  /** A deposed leader without a majority may continue to grant for one election timeout. */
  private static final long DEPOSED_LEADER_MILLIS = 1_000;

  /**
   * The number of grants per holder whose times are kept; older acknowledgements cannot be matched.
   */
  private static final int MAX_HANDLED_GRANTS = 16;

  private final long term;
  private final long grantsAllowedFrom;
  private final Map<String, ShareTarget> currentBoots = new HashMap<>();
  private final Map<ShareTarget, TargetShares> targets = new HashMap<>();
  private final Map<String, Long> removedMillis = new HashMap<>();
  private final Map<HolderId, Holder> holders = new LinkedHashMap<>();

  /**
   * How long silent holders and removed targets are kept, so that a reordered request is not
   * mistaken for a new one and a target that returns keeps its charge.
   */
  private static final long RETENTION_MILLIS = 600_000;

  /** The leader's record of one holder at all targets. */
  private static final class Holder {
    private final LinkedHashMap<Long, Long> handledMillis = new LinkedHashMap<>();
    private final Set<ShareTarget> usedTargets = new HashSet<>();
    private long lastSequence;
    private long lastHandledMillis;
    private boolean lapsed;
  }

  /**
   * Creates the allocator of a new leader.
   *
   * @param term the leader's term
   * @param nowMillis the time at which the leader's term started, in milliseconds
   */
  public ShareAllocator(long term, long nowMillis) {
    this.term = term;
    this.grantsAllowedFrom = nowMillis + LEADER_LEASE_MILLIS + DEPOSED_LEADER_MILLIS;
  }

  /**
   * Adds a target, or replaces it if its boot identity changed. The shares of a replaced target are
   * void, because its requests ended with the old process.
   *
   * @param target the target
   * @param ramp its ceiling
   * @param startedInTerm whether this boot was registered during this leader's term, so that no
   *     earlier leader can have granted shares of it
   */
  public void addTarget(ShareTarget target, CeilingRamp ramp, boolean startedInTerm) {
    removedMillis.remove(target.name());
    ShareTarget known = currentBoots.get(target.name());
    if (target.equals(known)) {
      return;
    }
    if (known != null) {
      targets.remove(known);
    }
    TargetShares t = new TargetShares(ramp);
    if (!startedInTerm) {
      t.chargeEarlierLeader(grantsAllowedFrom);
    }
    currentBoots.put(target.name(), target);
    targets.put(target, t);
  }

  /**
   * Stops grants for a target that is down or removed. Its charge is kept for some time, because a
   * server that was only unreachable returns with the same boot identity and its requests.
   */
  public void removeTarget(String name, long nowMillis) {
    removedMillis.putIfAbsent(name, nowMillis);
  }

  /**
   * Processes a load report.
   *
   * @param target the target, with the boot identity that the report names
   * @param measuredMillis the time of the measurement on the leader's clock; an earlier time if it
   *     is not known exactly, never a later one
   * @param active the number of requests that the server runs or queues
   */
  public void onLoad(ShareTarget target, long measuredMillis, int active) {
    TargetShares t = targets.get(target);
    if (t != null) {
      t.onLoad(measuredMillis, active);
    }
  }

  /**
   * Processes a request and returns the grant to send. The list is empty for a duplicate or
   * reordered request, which is not answered.
   */
  public List<ShareGrant> onRequest(ShareRequest request, long nowMillis) {
    lapse(nowMillis);
    Holder h = holders.computeIfAbsent(request.holder(), k -> new Holder());
    if (request.sequence() <= h.lastSequence) {
      return List.of();
    }
    h.lastSequence = request.sequence();
    h.lastHandledMillis = nowMillis;
    h.lapsed = false;
    applyItems(h, request, nowMillis);
    h.handledMillis.put(request.sequence(), nowMillis);
    if (h.handledMillis.size() > MAX_HANDLED_GRANTS) {
      h.handledMillis.remove(h.handledMillis.keySet().iterator().next());
    }
    List<ShareGrant.Item> items = new ArrayList<>();
    for (ShareRequest.Item i : request.items()) {
      TargetShares t = targets.get(i.target());
      items.add(
          t == null
              ? new ShareGrant.Item(i.target(), 0, false)
              : t.grant(
                  i.target(),
                  request.holder(),
                  request.sequence(),
                  nowMillis,
                  nowMillis >= grantsAllowedFrom && !removedMillis.containsKey(i.target().name())));
    }
    return List.of(new ShareGrant(request.holder(), term, request.sequence(), items));
  }

  /** Lets the shares of holders lapse that have sent no request for the duration of the lease. */
  public void lapse(long nowMillis) {
    Iterator<Map.Entry<HolderId, Holder>> it = holders.entrySet().iterator();
    while (it.hasNext()) {
      Map.Entry<HolderId, Holder> e = it.next();
      Holder h = e.getValue();
      long silentMillis = nowMillis - h.lastHandledMillis;
      if (silentMillis >= LEADER_LEASE_MILLIS && !h.lapsed) {
        h.lapsed = true;
        lapseHolder(e.getKey(), h, nowMillis);
      }
      if (silentMillis >= RETENTION_MILLIS) {
        it.remove();
      }
    }
    removedMillis
        .entrySet()
        .removeIf(e -> nowMillis - e.getValue() >= RETENTION_MILLIS && drop(e.getKey()));
  }

  private boolean drop(String name) {
    ShareTarget known = currentBoots.remove(name);
    if (known != null) {
      targets.remove(known);
    }
    return true;
  }

  private void lapseHolder(HolderId holder, Holder h, long nowMillis) {
    for (ShareTarget t : h.usedTargets) {
      TargetShares s = targets.get(t);
      if (s != null) {
        s.onLapse(holder, nowMillis);
      }
    }
  }

  /** Returns the number of slots of a target that are charged to holders. */
  public int charged(ShareTarget target) {
    TargetShares t = targets.get(target);
    return t == null ? 0 : t.charge();
  }

  /** Returns the ceiling of a target, or 0 if it is not known. */
  public int ceiling(ShareTarget target, long nowMillis) {
    TargetShares t = targets.get(target);
    return t == null ? 0 : t.ceiling(nowMillis);
  }

  private void applyItems(Holder h, ShareRequest request, long nowMillis) {
    long ackHandled = h.handledMillis.getOrDefault(request.ack(), Long.MIN_VALUE);
    Map<ShareTarget, ShareRequest.Item> items = new LinkedHashMap<>();
    request.items().forEach(i -> items.put(i.target(), i));
    h.usedTargets.addAll(items.keySet());
    for (ShareTarget target : List.copyOf(h.usedTargets)) {
      TargetShares t = targets.get(target);
      if (t == null) {
        h.usedTargets.remove(target);
        continue;
      }
      t.onRequest(request.holder(), items.get(target), request.ack(), ackHandled, nowMillis);
    }
  }
}
