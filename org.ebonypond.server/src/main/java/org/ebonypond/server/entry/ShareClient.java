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
import org.ebonypond.time.TimerService;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The entry's shares of starting backend servers: asks the control leader for them and limits the
 * requests to them. Thread-safe.
 */
public final class ShareClient implements SlotLimiter {
  private static final Logger LOG = LoggerFactory.getLogger(ShareClient.class);
  private static final long ASK_TIMEOUT_MILLIS = 1_000;

  /** New demand is sent at once, but not more often than this, in milliseconds. */
  private static final long MIN_ASK_INTERVAL_MILLIS = 20;

  private final Peers network;
  private final TimerService timers;
  private final List<ReplicaAddress> replicas;
  private final Supplier<@Nullable String> leader;
  private final ShareHolder holder;
  private final Runnable onGrant;
  private final Map<String, Target> byInstance = new HashMap<>();
  private final Map<ShareTarget, Integer> refused = new HashMap<>();
  private Set<String> names = Set.of();
  private long lastAskMillis = Long.MIN_VALUE / 2;
  private boolean askScheduled;

  /**
   * Creates a client without shares.
   *
   * @param id this process
   * @param network carries the requests
   * @param timers renews the shares
   * @param replicas every control replica
   * @param leader gives the name of the presumed leader, or null
   * @param onGrant is called after each grant, because requests may start now
   */
  public ShareClient(
      HolderId id,
      Peers network,
      TimerService timers,
      List<ReplicaAddress> replicas,
      Supplier<@Nullable String> leader,
      Runnable onGrant) {
    this.holder = new ShareHolder(id);
    this.network = network;
    this.timers = timers;
    this.replicas = List.copyOf(replicas);
    this.leader = leader;
    this.onGrant = onGrant;
  }

  /** Starts the renewals. */
  public void start() {
    timers.every(ShareHolder.RENEW_MILLIS, this::ask);
  }

  /** Takes the targets of a new view. */
  public synchronized void onTable(RoutingTable table) {
    Set<String> present = new HashSet<>();
    byInstance.clear();
    table.models().forEach(m -> addTargets(table.model(m), present));
    table.services().forEach(s -> addTargets(table.service(s), present));
    Set<String> gone = new HashSet<>(names);
    gone.removeAll(present);
    gone.forEach(holder::remove);
    refused.keySet().removeIf(t -> !present.contains(t.name()));
    names = present;
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

  /** Takes a load report that the control leader passed on. */
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
    // The time is read anew: a share must not be used when it lapsed while the caller waited.
    if (holder.tryStart(t, timers.nowMillis())) {
      return true;
    }
    refused.merge(t, 1, Integer::sum);
    holder.setWaiting(t, refused.get(t));
    askSoon();
    return false;
  }

  @Override
  public synchronized void release(Target target, long nowMillis) {
    holder.finished(ShareTargets.of(target));
  }

  /** Ends a request whose connection was lost, so that the backend server may still run it. */
  @Override
  public synchronized void lost(Target target, long nowMillis) {
    holder.lost(ShareTargets.of(target), nowMillis);
  }

  /** Returns the shares that are not in use; completes when the leader has answered. */
  public CompletableFuture<Void> returnAll() {
    synchronized (this) {
      names.forEach(holder::remove);
      refused.clear();
    }
    return send().handle((r, e) -> null);
  }

  private void askSoon() {
    if (askScheduled) {
      return;
    }
    askScheduled = true;
    long wait = lastAskMillis + MIN_ASK_INTERVAL_MILLIS - timers.nowMillis();
    timers.after(Math.max(0, wait), this::ask);
  }

  private void ask() {
    send()
        .whenComplete(
            (ok, failure) -> {
              if (failure != null) {
                LOG.debug("no answer to a share request", failure);
              } else {
                onGrant.run();
              }
            });
  }

  private CompletableFuture<Void> send() {
    InetSocketAddress to = leaderAddress();
    byte[] payload;
    synchronized (this) {
      askScheduled = false;
      if (to == null) {
        return CompletableFuture.failedFuture(new IllegalStateException("no leader is known"));
      }
      lastAskMillis = timers.nowMillis();
      ShareRequest r = holder.request(lastAskMillis);
      payload = MessagePackCodec.encode(r);
      // Demand is counted anew between two requests.
      refused.keySet().forEach(t -> holder.setWaiting(t, 0));
      refused.clear();
    }
    return network
        .ask(to, FrameType.SHARE_REQUEST, ReplicaChannels.CONTROL, payload, ASK_TIMEOUT_MILLIS)
        .thenApply(b -> MessagePackCodec.decode(b, ShareGrant.class))
        .thenAccept(this::granted);
  }

  private void granted(ShareGrant g) {
    boolean shrank;
    synchronized (this) {
      shrank = holder.onGrant(g);
    }
    if (shrank) {
      // The leader can give the rest to others only once it knows that this holder has the grant.
      ask();
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
