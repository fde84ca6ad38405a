package org.ebonypond.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlCommand.GroupReady;
import org.ebonypond.control.ControlCommand.InstanceDown;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.SchedulerOutput.OrderToSend;
import org.ebonypond.group.SchedulerOutput.StateRead;
import org.jspecify.annotations.Nullable;

/**
 * Turns the groups of the view into orders to engines and reports groups whose members are all
 * ready. Soft state of the leader; call {@link #elected} when leadership starts. Not thread-safe.
 */
public final class OrderScheduler {
  private static final long PENDING_MILLIS = 5_000;

  private final SchedulerSettings settings;
  private final EventSink events;
  private final Map<String, EngineTrack> tracks = new HashMap<>();
  private final Map<Long, String> openTokens = new HashMap<>();
  private final LoadSlots slots;
  private final PendingProposals pending = new PendingProposals(PENDING_MILLIS);
  private OrderIndex index = OrderIndex.of(ControlView.EMPTY);
  private long nextToken = 1;
  private long electedAt;

  /**
   * Creates a scheduler.
   *
   * @param settings times and bounds
   * @param events receives a notification of each order
   */
  public OrderScheduler(SchedulerSettings settings, EventSink events) {
    this.settings = settings;
    this.events = events;
    this.slots = new LoadSlots(settings);
  }

  /**
   * Starts anew with the soft state of a new leader. Answers to earlier exchanges are ignored.
   *
   * @param now the time in milliseconds
   */
  public void elected(long now) {
    tracks.clear();
    openTokens.clear();
    slots.clear();
    pending.clear();
    electedAt = now;
  }

  /** States that the result of a proposal is known. */
  public void resolved(ControlCommand c) {
    pending.resolved(c);
  }

  /**
   * Takes the state that an engine returned.
   *
   * @param token the token of the read
   * @param state the state
   * @param now the time in milliseconds
   */
  public void stateRead(long token, EngineState state, long now) {
    EngineTrack t = take(token);
    if (t != null) {
      t.succeeded();
      t.state = state;
      t.stateAt = now;
    }
  }

  /**
   * Takes the positive answer to an order.
   *
   * @param token the token of the order
   * @param now the time in milliseconds
   */
  public void orderAccepted(long token, long now) {
    EngineTrack t = take(token);
    if (t != null) {
      t.succeeded();
    }
  }

  /**
   * Takes a refusal, a failed connection or a failed read.
   *
   * @param token the token of the exchange
   * @param now the time in milliseconds
   */
  public void failed(long token, long now) {
    String instance = openTokens.get(token);
    EngineTrack t = take(token);
    if (t == null || instance == null) {
      return;
    }
    if (t.openIsOrder) {
      events.emit(EventCode.ORDER_REFUSED, "instance/" + instance);
    }
    t.failed(now, settings);
  }

  private @Nullable EngineTrack take(long token) {
    String instance = openTokens.remove(token);
    EngineTrack t = instance == null ? null : tracks.get(instance);
    return t != null && t.openToken == token ? t : null;
  }

  /**
   * Takes an announcement as a hint. One that contradicts the last state read leads to a new read;
   * it is never trusted by itself, because it may be old.
   */
  public void announced(InstanceAnnouncement a) {
    EngineTrack t = tracks.get(a.instance());
    EngineState s = t == null ? null : t.state;
    if (t == null || s == null) {
      return;
    }
    boolean same =
        s.boot().equals(a.boot())
            && s.status() == a.status()
            && s.group().equals(a.group())
            && s.fencing() == a.fencing();
    if (!same) {
      t.state = null;
    }
  }

  /**
   * Returns what to do now.
   *
   * @param view the current view, which covers every entry of earlier terms
   * @param now the time in milliseconds
   * @param leaseHeldUntil until when this replica leads; nothing is returned from then on
   */
  public SchedulerOutput poll(ControlView view, long now, long leaseHeldUntil) {
    if (leaseHeldUntil <= now) {
      return SchedulerOutput.NONE;
    }
    pending.expire(now);
    if (!index.covers(view)) {
      index = OrderIndex.of(view);
      tracks.keySet().retainAll(view.instances().keySet());
      slots.retain(view);
    }
    Poll p = new Poll(view, now);
    p.run();
    return new SchedulerOutput(p.reads, p.orders, p.proposals);
  }

  /** One call of {@link #poll}. */
  private final class Poll {
    final List<StateRead> reads = new ArrayList<>();
    final List<OrderToSend> orders = new ArrayList<>();
    final List<Proposal> proposals = new ArrayList<>();
    private final ControlView view;
    private final long now;

    Poll(ControlView view, long now) {
      this.view = view;
      this.now = now;
    }

    void run() {
      index.loading().forEach(this::load);
      index.ready().forEach(this::verify);
      index.free().forEach(this::unload);
    }

    private void load(GroupRecord g) {
      boolean all = true;
      for (int rank = 0; rank < g.members().size(); rank++) {
        GroupMember m = g.members().get(rank);
        InstanceRecord r = view.instances().get(m.instance());
        if (r == null || r.status() != InstanceStatus.UP || !r.boot().equals(m.boot())) {
          return;
        }
        all &= bring(g, rank, r);
      }
      GroupReady command = new GroupReady(g.group(), g.epoch());
      if (all && pending.add(command, now)) {
        proposals.add(new Proposal(command, "all members are ready"));
      }
    }

    /** Takes the next step with one member; returns whether it is ready in its place. */
    private boolean bring(GroupRecord g, int rank, InstanceRecord r) {
      EngineTrack t = track(r);
      t.idleSince = -1;
      if (isWaiting(t, r)) {
        return false;
      }
      EngineState s = t.state;
      if (s == null || !s.boot().equals(r.boot())) {
        read(t, r);
        return false;
      }
      if (isInPlace(s, g, rank)) {
        if (s.status() == EngineStatus.READY) {
          return true;
        }
        if (s.status() == EngineStatus.LOADING) {
          readAgain(t, r);
          return false;
        }
      }
      boolean keeps =
          s.status() == EngineStatus.READY
              && (s.group().equals(g.group()) || hasAdapters(t, s, g))
              && s.model().equals(g.model())
              && s.version().equals(g.version());
      if (keeps || slots.acquire(g, now)) {
        send(t, r, order(g, rank, keeps ? EngineOrder.Type.ROLE : EngineOrder.Type.LOAD));
      }
      return false;
    }

    /** Returns whether an engine carried out an order of this leader with a group's adapters. */
    private static boolean hasAdapters(EngineTrack t, EngineState s, GroupRecord g) {
      return s.fencing() == t.adaptersFencing && t.adapters.equals(g.adapters());
    }

    private boolean isInPlace(EngineState s, GroupRecord g, int rank) {
      return s.group().equals(g.group())
          && s.rank() == rank
          && s.fencing() == g.epoch()
          && s.model().equals(g.model())
          && s.version().equals(g.version())
          && s.members().equals(addresses(g));
    }

    private List<String> addresses(GroupRecord g) {
      List<String> out = new ArrayList<>(g.members().size());
      for (GroupMember m : g.members()) {
        InstanceRecord r = view.instances().get(m.instance());
        out.add(r == null ? "" : r.address());
      }
      return out;
    }

    private EngineOrder order(GroupRecord g, int rank, EngineOrder.Type type) {
      return new EngineOrder(
          g.epoch(), type, g.model(), g.version(), g.adapters(), g.group(), rank, addresses(g));
    }

    /** Takes a ready group out of service if a member does not hold what its group needs. */
    private void verify(GroupRecord g) {
      for (int rank = 0; rank < g.members().size(); rank++) {
        InstanceRecord r = view.instances().get(g.members().get(rank).instance());
        if (r == null || r.status() != InstanceStatus.UP) {
          continue;
        }
        EngineTrack t = track(r);
        if (isWaiting(t, r)) {
          continue;
        }
        EngineState s = t.state;
        if (s == null || !s.boot().equals(r.boot())) {
          read(t, r);
        } else if (!isInPlace(s, g, rank) || !serves(s)) {
          InstanceDown command = new InstanceDown(r.instance(), r.boot(), "state-mismatch");
          if (pending.add(command, now)) {
            proposals.add(new Proposal(command, "engine state differs from its group"));
          }
        }
      }
    }

    private static boolean serves(EngineState s) {
      return s.status() == EngineStatus.READY || s.status() == EngineStatus.LEAVING;
    }

    private void unload(InstanceRecord r) {
      if (r.status() != InstanceStatus.UP) {
        return;
      }
      EngineTrack t = track(r);
      if (t.idleSince < 0) {
        t.idleSince = now;
      }
      if (now - t.idleSince < settings.unloadDelayMillis() || isWaiting(t, r)) {
        return;
      }
      EngineState s = t.state;
      if (s == null || !s.boot().equals(r.boot())) {
        read(t, r);
      } else if (s.status() != EngineStatus.IDLE && s.status() != EngineStatus.LEAVING) {
        long fencing = Math.max(r.releasedIndex(), r.registeredIndex());
        send(
            t,
            r,
            new EngineOrder(
                fencing, EngineOrder.Type.UNLOAD, "", "", List.of(), "", -1, List.of()));
      }
    }

    private EngineTrack track(InstanceRecord r) {
      return tracks.computeIfAbsent(r.instance(), k -> new EngineTrack());
    }

    /** Returns whether nothing may be done with an instance now. */
    private boolean isWaiting(EngineTrack t, InstanceRecord r) {
      if (t.isOpen() && now - t.openSince >= settings.orderTimeoutMillis()) {
        openTokens.remove(t.openToken);
        t.failed(now, settings);
      }
      if (t.isOpen() || now < t.notBefore) {
        return true;
      }
      boolean checks = view.document() != null && view.document().checksFencing(r.flavor());
      return !checks && now - electedAt < settings.takeoverWaitMillis();
    }

    private void readAgain(EngineTrack t, InstanceRecord r) {
      if (now - t.stateAt >= settings.readIntervalMillis()) {
        read(t, r);
      }
    }

    private void read(EngineTrack t, InstanceRecord r) {
      if (reads.size() >= settings.maxReadsPerPoll()) {
        return;
      }
      long token = open(t, r, false);
      reads.add(new StateRead(token, r.instance(), r.address()));
    }

    private void send(EngineTrack t, InstanceRecord r, EngineOrder order) {
      long token = open(t, r, true);
      t.adapters = order.adapters();
      t.adaptersFencing = order.type() == EngineOrder.Type.UNLOAD ? 0 : order.fencing();
      orders.add(new OrderToSend(token, r.instance(), r.address(), order));
      events.emit(
          EventCode.ORDER_SENT,
          "instance/" + r.instance(),
          Map.of("type", order.type().name(), "fencing", String.valueOf(order.fencing())));
    }

    private long open(EngineTrack t, InstanceRecord r, boolean order) {
      long token = nextToken++;
      t.open(token, order, now);
      openTokens.put(token, r.instance());
      return token;
    }
  }
}
