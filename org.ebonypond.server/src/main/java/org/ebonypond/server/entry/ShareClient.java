package org.ebonypond.server.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.ebonypond.lease.HolderId;
import org.ebonypond.lease.ShareGrant;
import org.ebonypond.lease.ShareHolder;
import org.ebonypond.lease.ShareRequest;
import org.ebonypond.lease.ShareTarget;
import org.ebonypond.routing.RoutingTable;
import org.ebonypond.routing.SlotLimiter;
import org.ebonypond.routing.Target;
import org.ebonypond.server.control.ReplicaChannels;
import org.ebonypond.server.control.ReportedLoad;
import org.ebonypond.server.control.ShareTargets;
import org.ebonypond.server.settings.ReplicaAddress;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.Peers;
import org.ebonypond.time.SuspensionDetector;
import org.ebonypond.time.TimerService;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the entry's shares of the concurrency limits of backend servers that are starting. Requests
 * shares from the control leader and limits the requests in flight to them. Thread-safe.
 */
public final class ShareClient implements SlotLimiter {
  private static final Logger LOG = LoggerFactory.getLogger(ShareClient.class);
  private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

  /** Minimum interval between requests that are sent because of new demand, in milliseconds. */
  private static final long MIN_REQUEST_INTERVAL_MILLIS = 20;

  private final Peers network;
  private final TimerService timers;
  private final SuspensionDetector suspensions;
  private final List<ReplicaAddress> replicas;
  private final Supplier<@Nullable String> leader;
  private final ShareHolder holder;
  private final Runnable onGrant;
  private final Map<String, Target> byInstance = new HashMap<>();

  /** The number of requests that found no free slot since the last share request, by target. */
  private final Map<ShareTarget, Integer> refused = new HashMap<>();

  private Set<String> targetNames = Set.of();
  private long lastRequestMillis = Long.MIN_VALUE / 2;
  private boolean requestScheduled;

  /**
   * Creates a client without shares.
   *
   * @param id identifies this process as a holder
   * @param network sends the requests
   * @param timers schedules the renewals
   * @param suspensions detects the suspensions of this process
   * @param replicas all control replicas
   * @param leader supplies the name of the presumed leader, or null if none is known
   * @param onGrant called after each grant, because waiting requests may start now
   */
  public ShareClient(
      HolderId id,
      Peers network,
      TimerService timers,
      SuspensionDetector suspensions,
      List<ReplicaAddress> replicas,
      Supplier<@Nullable String> leader,
      Runnable onGrant) {
    this.holder = new ShareHolder(id);
    this.network = network;
    this.timers = timers;
    this.suspensions = suspensions;
    this.replicas = List.copyOf(replicas);
    this.leader = leader;
    this.onGrant = onGrant;
  }

  /** Starts the periodic renewals. */
  public void start() {
    timers.every(ShareHolder.RENEW_MILLIS, this::requestShares);
  }

  /** Applies the targets of a new view. */
  public synchronized void onTable(RoutingTable table) {
    Set<String> present = new HashSet<>();
    byInstance.clear();
    table.models().forEach(m -> addTargets(table.model(m), present));
    table.services().forEach(s -> addTargets(table.service(s), present));
    Set<String> removed = new HashSet<>(targetNames);
    removed.removeAll(present);
    removed.forEach(holder::remove);
    refused.keySet().removeIf(t -> !present.contains(t.name()));
    targetNames = present;
  }

  private void addTargets(@Nullable List<Target> targets, Set<String> present) {
    if (targets == null) {
      return;
    }
    for (Target t : targets) {
      ShareTarget s = ShareTargets.of(t);
      holder.onBoot(s);
      present.add(s.name());
      byInstance.put(t.instance(), t);
    }
  }

  /** Applies a load report that the control leader forwarded. */
  public synchronized void onLoad(ReportedLoad load) {
    Target t = byInstance.get(load.instance());
    if (t != null && t.boot().equals(load.boot())) {
      holder.onLoad(
          ShareTargets.of(t),
          timers.nowMillis() - load.ageMillis(),
          load.active() + load.waiting());
    }
  }

  @Override
  public synchronized boolean tryAcquire(Target target, long nowMillis) {
    ShareTarget t = ShareTargets.of(target);
    holder.onResumed(suspensions.resumedAt());
    // Reads the clock again: the share may have expired while this thread waited for the lock.
    if (holder.tryStart(t, timers.nowMillis())) {
      return true;
    }
    refused.merge(t, 1, Integer::sum);
    holder.setWaiting(t, refused.get(t));
    scheduleRequest();
    return false;
  }

  @Override
  public synchronized void release(Target target, long nowMillis) {
    holder.finished(ShareTargets.of(target));
  }

  /** Ends a request whose connection was lost; the backend server may still be running it. */
  @Override
  public synchronized void lost(Target target, long nowMillis) {
    holder.lost(ShareTargets.of(target), nowMillis);
  }

  /** Returns all unused shares to the leader; completes after its answer or a failure. */
  public CompletableFuture<Void> returnAll() {
    synchronized (this) {
      targetNames.forEach(holder::remove);
      refused.clear();
    }
    return send().handle((r, e) -> null);
  }

  private void scheduleRequest() {
    if (requestScheduled) {
      return;
    }
    requestScheduled = true;
    long wait = lastRequestMillis + MIN_REQUEST_INTERVAL_MILLIS - timers.nowMillis();
    timers.after(Math.max(0, wait), this::requestShares);
  }

  private void requestShares() {
    send()
        .whenComplete(
            (ok, failure) -> {
              if (failure != null) {
                LOG.debug("share request failed", failure);
              } else {
                onGrant.run();
              }
            });
  }

  private CompletableFuture<Void> send() {
    InetSocketAddress to = leaderAddress();
    byte[] payload;
    synchronized (this) {
      requestScheduled = false;
      if (to == null) {
        return CompletableFuture.failedFuture(new IllegalStateException("no leader is known"));
      }
      lastRequestMillis = timers.nowMillis();
      holder.onResumed(suspensions.resumedAt());
      ShareRequest r = holder.request(lastRequestMillis);
      payload = MessagePackCodec.encode(r);
      // Demand is counted from zero after each request.
      refused.keySet().forEach(t -> holder.setWaiting(t, 0));
      refused.clear();
    }
    return network
        .ask(to, FrameType.SHARE_REQUEST, ReplicaChannels.CONTROL, payload, REQUEST_TIMEOUT_MILLIS)
        .thenApply(b -> MessagePackCodec.decode(b, ShareGrant.class))
        .thenAccept(this::granted);
  }

  private void granted(ShareGrant g) {
    boolean reduced;
    synchronized (this) {
      reduced = holder.onGrant(g);
    }
    if (reduced) {
      // The leader may grant the rest to others only once this holder confirms the smaller share.
      requestShares();
    }
  }

  private @Nullable InetSocketAddress leaderAddress() {
    String name = leader.get();
    for (ReplicaAddress r : replicas) {
      if (r.name().equals(name)) {
        return r.address();
      }
    }
    return null;
  }
}
