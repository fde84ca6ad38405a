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
 * Decides which orders bring the engines in line with the groups of the view, and proposes groups
 * as ready when all of their members are. Soft state of the leader; call {@link #elected} when
 * leadership starts. Not thread-safe.
 */
public final class OrderScheduler {
  private static final long PROPOSAL_TIMEOUT_MILLIS = 5_000;

  private final SchedulerSettings settings;
  private final EventSink events;
  private final Map<String, TrackedEngine> engines = new HashMap<>();
  private final Map<Long, String> instanceByToken = new HashMap<>();
  private final LoadSlots slots;
  private final PendingProposals pending = new PendingProposals(PROPOSAL_TIMEOUT_MILLIS);
  private ScheduleIndex index = ScheduleIndex.of(ControlView.EMPTY);
  private long nextToken = 1;
  private long electedAt;

  /**
   * Creates a scheduler.
   *
   * @param settings timeouts and limits
   * @param events receives a notification of each order
   */
  public OrderScheduler(SchedulerSettings settings, EventSink events) {
    this.settings = settings;
    this.events = events;
    this.slots = new LoadSlots(settings);
  }

  /**
   * Resets the soft state at the start of a term. Answers to orders and reads of earlier terms are
   * ignored.
   *
   * @param now the time in milliseconds
   */
  public void elected(long now) {
    engines.clear();
    instanceByToken.clear();
    slots.clear();
    pending.clear();
    electedAt = now;
  }

  /** Reports that the result of a proposal is known. */
  public void resolved(ControlCommand c) {
    pending.resolved(c);
  }

  /**
   * Handles the state that an engine returned.
   *
   * @param token the token of the read
   * @param state the state that the engine returned
   * @param now the time in milliseconds
   */
  public void stateRead(long token, EngineState state, long now) {
    TrackedEngine t = endExchange(token);
    if (t != null) {
      t.succeeded();
      t.state = state;
      t.stateReadAt = now;
    }
  }

  /**
   * Handles the acceptance of an order.
   *
   * @param token the token of the order
   * @param now the time in milliseconds
   */
  public void orderAccepted(long token, long now) {
    TrackedEngine t = endExchange(token);
    if (t != null) {
      t.succeeded();
    }
  }

  /**
   * Handles a refused order, a failed connection or a failed read.
   *
   * @param token the token of the order or read
   * @param now the time in milliseconds
   */
  public void failed(long token, long now) {
    String instance = instanceByToken.get(token);
    TrackedEngine t = endExchange(token);
    if (t == null || instance == null) {
      return;
    }
    if (t.inFlightIsOrder) {
      events.emit(EventCode.ORDER_REFUSED, "instance/" + instance);
    }
    t.failed(now, settings);
  }

  private @Nullable TrackedEngine endExchange(long token) {
    String instance = instanceByToken.remove(token);
    TrackedEngine t = instance == null ? null : engines.get(instance);
    return t != null && t.inFlightToken == token ? t : null;
  }

  /**
   * Handles an announcement as a hint. If it contradicts the last state read, the state is read
   * again; an announcement is never trusted alone, because it may be stale.
   */
  public void announced(InstanceAnnouncement a) {
    TrackedEngine t = engines.get(a.instance());
    EngineState s = t == null ? null : t.state;
    if (t == null || s == null) {
      return;
    }
    boolean consistent =
        s.boot().equals(a.boot())
            && s.status() == a.status()
            && s.group().equals(a.group())
            && s.fencing() == a.fencing();
    if (!consistent) {
      t.state = null;
    }
  }

  /**
   * Returns the reads, orders and proposals that are due.
   *
   * @param view the current view, which covers every entry of earlier terms
   * @param now the time in milliseconds
   * @param leaseHeldUntil the end of the leader lease in milliseconds; nothing is returned from
   *     then on
   */
  public SchedulerOutput poll(ControlView view, long now, long leaseHeldUntil) {
    if (leaseHeldUntil <= now) {
      return SchedulerOutput.NONE;
    }
    pending.expire(now);
    if (!index.covers(view)) {
      index = ScheduleIndex.of(view);
      engines.keySet().retainAll(view.instances().keySet());
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
      boolean allReady = true;
      for (int rank = 0; rank < g.members().size(); rank++) {
        GroupMember m = g.members().get(rank);
        InstanceRecord r = view.instances().get(m.instance());
        if (r == null || r.status() != InstanceStatus.UP || !r.boot().equals(m.boot())) {
          return;
        }
        allReady &= advance(g, rank, r);
      }
      GroupReady command = new GroupReady(g.group(), g.epoch());
      if (allReady && pending.add(command, now)) {
        proposals.add(new Proposal(command, "all members are ready"));
      }
    }

    /**
     * Takes the next step towards readiness of one member; returns whether it is ready in its role.
     */
    private boolean advance(GroupRecord g, int rank, InstanceRecord r) {
      TrackedEngine t = engineOf(r);
      t.unassignedSince = -1;
      if (isWaiting(t, r)) {
        return false;
      }
      EngineState s = t.state;
      if (s == null || !s.boot().equals(r.boot())) {
        read(t, r);
        return false;
      }
      if (holdsRole(s, g, rank)) {
        if (s.status() == EngineStatus.READY) {
          return true;
        }
        if (s.status() == EngineStatus.LOADING) {
          readIfDue(t, r);
          return false;
        }
      }
      boolean reusesModel =
          s.status() == EngineStatus.READY
              && (s.group().equals(g.group()) || hasAdapters(t, s, g))
              && s.model().equals(g.model())
              && s.version().equals(g.version());
      if (reusesModel || slots.acquire(g, now)) {
        send(t, r, order(g, rank, reusesModel ? EngineOrder.Type.ROLE : EngineOrder.Type.LOAD));
      }
      return false;
    }

    /** Returns whether an engine executed an order of this leader with a group's adapters. */
    private static boolean hasAdapters(TrackedEngine t, EngineState s, GroupRecord g) {
      return s.fencing() == t.adaptersFencing && t.adapters.equals(g.adapters());
    }

    private boolean holdsRole(EngineState s, GroupRecord g, int rank) {
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

    /**
     * Proposes members of a ready group as down if their engine state does not match their role.
     */
    private void verify(GroupRecord g) {
      for (int rank = 0; rank < g.members().size(); rank++) {
        InstanceRecord r = view.instances().get(g.members().get(rank).instance());
        if (r == null || r.status() != InstanceStatus.UP) {
          continue;
        }
        TrackedEngine t = engineOf(r);
        if (isWaiting(t, r)) {
          continue;
        }
        EngineState s = t.state;
        if (s == null || !s.boot().equals(r.boot())) {
          read(t, r);
        } else if (!holdsRole(s, g, rank) || !isServing(s)) {
          InstanceDown command = new InstanceDown(r.instance(), r.boot(), "state-mismatch");
          if (pending.add(command, now)) {
            proposals.add(new Proposal(command, "engine state differs from its group"));
          }
        }
      }
    }

    private static boolean isServing(EngineState s) {
      return s.status() == EngineStatus.READY || s.status() == EngineStatus.LEAVING;
    }

    private void unload(InstanceRecord r) {
      if (r.status() != InstanceStatus.UP) {
        return;
      }
      TrackedEngine t = engineOf(r);
      if (t.unassignedSince < 0) {
        t.unassignedSince = now;
      }
      if (now - t.unassignedSince < settings.unloadDelayMillis() || isWaiting(t, r)) {
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

    private TrackedEngine engineOf(InstanceRecord r) {
      return engines.computeIfAbsent(r.instance(), k -> new TrackedEngine());
    }

    /** Returns whether an instance must not be read or sent an order now. */
    private boolean isWaiting(TrackedEngine t, InstanceRecord r) {
      if (t.isInFlight() && now - t.sentAt >= settings.orderTimeoutMillis()) {
        instanceByToken.remove(t.inFlightToken);
        t.failed(now, settings);
      }
      if (t.isInFlight() || now < t.notBefore) {
        return true;
      }
      boolean checksFencing = view.document() != null && view.document().checksFencing(r.flavor());
      return !checksFencing && now - electedAt < settings.takeoverWaitMillis();
    }

    private void readIfDue(TrackedEngine t, InstanceRecord r) {
      if (now - t.stateReadAt >= settings.readIntervalMillis()) {
        read(t, r);
      }
    }

    private void read(TrackedEngine t, InstanceRecord r) {
      if (reads.size() >= settings.maxReadsPerPoll()) {
        return;
      }
      long token = begin(t, r, false);
      reads.add(new StateRead(token, r.instance(), r.address()));
    }

    private void send(TrackedEngine t, InstanceRecord r, EngineOrder order) {
      long token = begin(t, r, true);
      t.adapters = order.adapters();
      t.adaptersFencing = order.type() == EngineOrder.Type.UNLOAD ? 0 : order.fencing();
      orders.add(new OrderToSend(token, r.instance(), r.address(), order));
      events.emit(
          EventCode.ORDER_SENT,
          "instance/" + r.instance(),
          Map.of("type", order.type().name(), "fencing", String.valueOf(order.fencing())));
    }

    private long begin(TrackedEngine t, InstanceRecord r, boolean isOrder) {
      long token = nextToken++;
      t.begin(token, isOrder, now);
      instanceByToken.put(token, r.instance());
      return token;
    }
  }
}
