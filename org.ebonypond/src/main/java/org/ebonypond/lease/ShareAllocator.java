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
 * for its term and drops it when it steps down. Not thread-safe.
 *
 * <p>The leader cannot see what a holder does between two requests. It therefore charges each
 * holder with the most that any grant allows that the holder may still use.
 */
public final class ShareAllocator {
  /** The length of a share's lease at its holder, from the time the holder sent its request. */
  public static final long LEASE_MILLIS = 3_000;

  /** Covers clocks that run at different rates: 5% of the lease, far above real drift. */
  private static final long DRIFT_MILLIS = 150;

  /** The length of the lease at the leader, from the time it handled the request. */
  static final long LEADER_LEASE_MILLIS = LEASE_MILLIS + DRIFT_MILLIS;

  /**
   * How long a request or answer may be under way between an entry and a server. Reports that were
   * measured closer to a lapse than this do not count.
   */
  static final long TRANSIT_MILLIS = 300;

  /** A deposed leader that cannot reach a majority may grant for one election timeout more. */
  private static final long DEPOSED_LEADER_MILLIS = 1_000;

  /** A holder's grants whose times are remembered; older acknowledgements cannot be placed. */
  private static final int MAX_HANDLED = 16;

  private final long term;
  private final long mayGrantFrom;
  private final Map<String, ShareTarget> boots = new HashMap<>();
  private final Map<ShareTarget, TargetShares> targets = new HashMap<>();
  private final Map<String, Long> removed = new HashMap<>();
  private final Map<HolderId, Holder> holders = new LinkedHashMap<>();

  /**
   * Silent holders and removed targets are remembered for this long, so that an overtaken request
   * is not taken for a new one and a target that returns keeps its charge.
   */
  private static final long FORGET_MILLIS = 600_000;

  /** What the leader knows of one holder at all targets. */
  private static final class Holder {
    private final LinkedHashMap<Long, Long> handled = new LinkedHashMap<>();
    private final Set<ShareTarget> used = new HashSet<>();
    private long lastSequence;
    private long lastHandledMillis;
    private boolean lapsed;
  }

  /**
   * Creates the allocator of a new leader.
   *
   * @param term the leader's term
   * @param nowMillis the time at which the term's leadership began
   */
  public ShareAllocator(long term, long nowMillis) {
    this.term = term;
    this.mayGrantFrom = nowMillis + LEADER_LEASE_MILLIS + DEPOSED_LEADER_MILLIS;
  }

  /**
   * Adds a target, or replaces it if its boot identity changed. A replaced target's shares are void
   * because its requests died with the old process.
   *
   * @param target the target
   * @param ramp its ceiling
   * @param startedInTerm whether this boot was registered during this leader's term, so that no
   *     earlier leader can have granted shares of it
   */
  public void addTarget(ShareTarget target, CeilingRamp ramp, boolean startedInTerm) {
    removed.remove(target.name());
    ShareTarget known = boots.get(target.name());
    if (target.equals(known)) {
      return;
    }
    if (known != null) {
      targets.remove(known);
    }
    TargetShares t = new TargetShares(ramp);
    if (!startedInTerm) {
      t.chargeEarlierLeader(mayGrantFrom);
    }
    boots.put(target.name(), target);
    targets.put(target, t);
  }

  /**
   * Stops grants for a target that is down or gone. Its charge is remembered for a while, because a
   * server that was only unreachable comes back with the same boot identity and its requests.
   */
  public void removeTarget(String name, long nowMillis) {
    removed.putIfAbsent(name, nowMillis);
  }

  /**
   * Takes a load report.
   *
   * @param target the target, with the boot identity that the report names
   * @param measuredMillis the time of the measurement on this leader's clock, or an earlier time if
   *     it is not exactly known; never a later one
   * @param active the requests that the server runs or queues
   */
  public void onLoad(ShareTarget target, long measuredMillis, int active) {
    TargetShares t = targets.get(target);
    if (t != null) {
      t.onLoad(measuredMillis, active);
    }
  }

  /**
   * Takes a request and answers it. A doubled or overtaken request gets an empty list, which is not
   * sent.
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
    takeItems(h, request, nowMillis);
    h.handled.put(request.sequence(), nowMillis);
    if (h.handled.size() > MAX_HANDLED) {
      h.handled.remove(h.handled.keySet().iterator().next());
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
                  nowMillis >= mayGrantFrom && !removed.containsKey(i.target().name())));
    }
    return List.of(new ShareGrant(request.holder(), term, request.sequence(), items));
  }

  /** Lets the shares of holders lapse from which nothing was heard for the lease. */
  public void lapse(long nowMillis) {
    Iterator<Map.Entry<HolderId, Holder>> it = holders.entrySet().iterator();
    while (it.hasNext()) {
      Map.Entry<HolderId, Holder> e = it.next();
      Holder h = e.getValue();
      long silent = nowMillis - h.lastHandledMillis;
      if (silent >= LEADER_LEASE_MILLIS && !h.lapsed) {
        h.lapsed = true;
        lapseHolder(e.getKey(), h, nowMillis);
      }
      if (silent >= FORGET_MILLIS) {
        it.remove();
      }
    }
    removed.entrySet().removeIf(e -> nowMillis - e.getValue() >= FORGET_MILLIS && drop(e.getKey()));
  }

  private boolean drop(String name) {
    ShareTarget known = boots.remove(name);
    if (known != null) {
      targets.remove(known);
    }
    return true;
  }

  private void lapseHolder(HolderId holder, Holder h, long nowMillis) {
    for (ShareTarget t : h.used) {
      TargetShares s = targets.get(t);
      if (s != null) {
        s.onLapse(holder, nowMillis);
      }
    }
  }

  /** Returns the slots of a target that are granted or charged. */
  public int charged(ShareTarget target) {
    TargetShares t = targets.get(target);
    return t == null ? 0 : t.charge();
  }

  /** Returns the ceiling of a target, or 0 if it is not known. */
  public int ceiling(ShareTarget target, long nowMillis) {
    TargetShares t = targets.get(target);
    return t == null ? 0 : t.ceiling(nowMillis);
  }

  private void takeItems(Holder h, ShareRequest request, long nowMillis) {
    long ackHandled = h.handled.getOrDefault(request.ack(), Long.MIN_VALUE);
    Map<ShareTarget, ShareRequest.Item> items = new LinkedHashMap<>();
    request.items().forEach(i -> items.put(i.target(), i));
    h.used.addAll(items.keySet());
    for (ShareTarget target : List.copyOf(h.used)) {
      TargetShares t = targets.get(target);
      if (t == null) {
        h.used.remove(target);
        continue;
      }
      t.onRequest(request.holder(), items.get(target), request.ack(), ackHandled, nowMillis);
    }
  }
}
