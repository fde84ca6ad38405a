package org.ebonypond.server.control;

import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ebonypond.consensus.CommittedEntries;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.Snapshot;
import org.ebonypond.control.ControlState;
import org.ebonypond.control.ControlView;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.lease.ViewLease;
import org.ebonypond.lease.VoterSet;
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
 * Maintains an entry's view of the control state: polls every replica, applies the committed log
 * entries and renews the view lease. Thread-safe.
 */
public final class ViewFollower {
  private static final Logger LOG = LoggerFactory.getLogger(ViewFollower.class);
  private static final long POLL_MILLIS = 500;
  private static final long POLL_TIMEOUT_MILLIS = 1_000;

  /**
   * Number of polls per request of the list of entries, which makes one request in 120 s. The list
   * is only for operators and grows with the fleet; an operator's query requests it again.
   */
  private static final int LIST_ENTRIES_EVERY = 240;

  private static final long LIST_TIMEOUT_MILLIS = 700;

  private final Peers network;
  private final TimerService timers;
  private final SuspensionDetector suspensions;
  private final EventSink events;
  private final List<ReplicaAddress> replicas;
  private final Supplier<EntryInfo> self;
  private final Supplier<List<String>> loadsOf;
  private final ControlState state = new ControlState(EventSink.NONE);
  private final ViewLease lease = new ViewLease();
  private final List<Consumer<ControlView>> viewListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<LeaderDigest>> digestListeners = new CopyOnWriteArrayList<>();
  private final Queue<CompletableFuture<@Nullable LeaderDigest>> listWaiters =
      new ConcurrentLinkedQueue<>();
  private long appliedIndex;
  private boolean leaseHeld;
  private volatile ControlView view = ControlView.EMPTY;
  private volatile @Nullable String leader;
  private volatile @Nullable LeaderDigest digest;

  /**
   * Creates a follower with an empty view.
   *
   * @param network sends the polls
   * @param timers schedules the polls
   * @param suspensions detects the suspensions of this process
   * @param events receives the changes of the lease
   * @param replicas every control replica
   * @param self describes this entry to the replicas
   * @param loadsOf returns the instances whose loads this entry needs
   */
  public ViewFollower(
      Peers network,
      TimerService timers,
      SuspensionDetector suspensions,
      EventSink events,
      List<ReplicaAddress> replicas,
      Supplier<EntryInfo> self,
      Supplier<List<String>> loadsOf) {
    this.network = network;
    this.timers = timers;
    this.suspensions = suspensions;
    this.events = events;
    this.replicas = List.copyOf(replicas);
    this.self = self;
    this.loadsOf = loadsOf;
  }

  /** Adds a listener that receives each new view, in order. */
  public void onView(Consumer<ControlView> listener) {
    viewListeners.add(listener);
  }

  /** Adds a listener that receives each digest of the leader. */
  public void onDigest(Consumer<LeaderDigest> listener) {
    digestListeners.add(listener);
  }

  /** Starts polling. */
  public void start() {
    poll();
    timers.every(POLL_MILLIS, this::poll);
  }

  /** Returns the latest view. */
  public ControlView view() {
    return view;
  }

  /** Returns the name of the presumed control leader, or null. */
  public @Nullable String leader() {
    return leader;
  }

  /** Returns the latest digest of a leader, or null. */
  public @Nullable LeaderDigest digest() {
    return digest;
  }

  /** Returns whether the lease allows new work at the current time. */
  public synchronized boolean mayStart() {
    lease.onResumed(suspensions.resumedAt());
    return lease.mayStart(timers.nowMillis());
  }

  /** Polls all replicas immediately, for example after accepting an operator's change. */
  public void poll() {
    long id;
    synchronized (this) {
      id = lease.startPoll(timers.nowMillis());
      reportLease();
    }
    replicas.forEach(r -> ask(id, r));
  }

  /**
   * Requests the list of entries from the leader.
   *
   * @return the latest digest with a list; an older one, or null, if no leader replies in time
   */
  public CompletableFuture<@Nullable LeaderDigest> refreshEntries() {
    CompletableFuture<@Nullable LeaderDigest> fresh = new CompletableFuture<>();
    listWaiters.add(fresh);
    timers.after(
        LIST_TIMEOUT_MILLIS,
        () -> {
          listWaiters.remove(fresh);
          fresh.complete(digest);
        });
    poll();
    return fresh;
  }

  private void ask(long pollId, ReplicaAddress r) {
    EntryInfo me = self.get();
    long applied;
    synchronized (this) {
      applied = appliedIndex;
    }
    // Only the leader replies with a digest, so only its poll names instances.
    boolean toLeader = r.name().equals(leader);
    ViewPoll p =
        new ViewPoll(
            me.node(),
            me.zone(),
            me.address(),
            me.ready(),
            me.incarnation(),
            applied,
            digest == null || !listWaiters.isEmpty() || pollId % LIST_ENTRIES_EVERY == 0,
            toLeader ? loadsOf.get() : List.of());
    network
        .ask(
            r.address(),
            FrameType.VIEW_POLL,
            ReplicaChannels.CONTROL,
            MessagePackCodec.encode(p),
            POLL_TIMEOUT_MILLIS)
        .thenApply(b -> MessagePackCodec.decode(b, ViewPollResult.class))
        .whenComplete((result, failure) -> onReply(pollId, r, result, failure));
  }

  private void onReply(
      long pollId, ReplicaAddress r, @Nullable ViewPollResult result, @Nullable Throwable failure) {
    if (result == null) {
      LOG.debug("replica {} did not answer a view poll", r.name(), failure);
      return;
    }
    boolean more;
    synchronized (this) {
      more = applyCommitted(result.committed());
      if (result.voter()) {
        VoterSet voters =
            new VoterSet(result.membershipIndex(), Set.copyOf(result.members().values()));
        lease.onReply(pollId, result.members().get(r.name()), voters, result.durableIndex());
      }
      lease.onApplied(appliedIndex);
      reportLease();
    }
    LeaderDigest d = result.digest();
    if (d != null) {
      leader = r.name();
      LeaderDigest before = digest;
      boolean listed = before == null || !d.entries().isEmpty();
      digest = listed ? d : new LeaderDigest(before.entries(), d.loads());
      if (!d.entries().isEmpty()) {
        listWaiters.forEach(w -> w.complete(d));
        listWaiters.clear();
      }
      notifyListeners(digestListeners, d);
    } else if (result.leader() != null) {
      leader = result.leader();
    }
    if (more) {
      ask(pollId, r);
    }
  }

  /** Applies committed log entries; returns whether the replica has more. */
  private boolean applyCommitted(CommittedEntries c) {
    long before = appliedIndex;
    Snapshot s = c.snapshot();
    if (s != null && s.index() > appliedIndex) {
      state.restore(s.data());
      appliedIndex = s.index();
    }
    for (LogEntry e : c.entries()) {
      if (e.index() <= appliedIndex) {
        continue;
      }
      if (e.index() != appliedIndex + 1) {
        // Replies may arrive out of order; the next poll starts from the applied index.
        break;
      }
      if (e.type() == EntryType.COMMAND) {
        state.apply(e.index(), e.data());
      }
      appliedIndex = e.index();
    }
    if (appliedIndex == before) {
      return false;
    }
    view = state.view();
    ControlView v = view;
    notifyListeners(viewListeners, v);
    return appliedIndex < c.appliedIndex();
  }

  /** Notifies listeners; a failing one affects neither the others nor the lease. */
  private static <T> void notifyListeners(List<Consumer<T>> listeners, T value) {
    for (Consumer<T> l : listeners) {
      try {
        l.accept(value);
      } catch (RuntimeException e) {
        LOG.error("a listener of the control view failed", e);
      }
    }
  }

  private void reportLease() {
    boolean held = mayStart();
    if (held != leaseHeld) {
      leaseHeld = held;
      events.emit(
          held ? EventCode.VIEW_LEASE_REGAINED : EventCode.VIEW_LEASE_LOST, "view/" + appliedIndex);
    }
  }
}
