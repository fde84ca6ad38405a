package org.ebonypond.trace;

import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlResult;
import org.ebonypond.control.ControlState;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.GroupPlanner;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.group.InstanceDetector;
import org.ebonypond.group.ObservationTable;
import org.ebonypond.group.OrderScheduler;
import org.ebonypond.group.PlacementPolicy;
import org.ebonypond.group.Proposal;
import org.ebonypond.group.SchedulerOutput;
import org.ebonypond.kernel.PluginRegistry;
import org.ebonypond.trace.TraceOutcome.TimedOrder;
import org.ebonypond.trace.TraceOutcome.TimedProposal;
import org.ebonypond.trace.TraceRecord.AnnouncementHeard;
import org.ebonypond.trace.TraceRecord.AnnouncementsRepeated;
import org.ebonypond.trace.TraceRecord.CommandCommitted;
import org.ebonypond.trace.TraceRecord.EngineStateRead;
import org.ebonypond.trace.TraceRecord.OrderAccepted;
import org.ebonypond.trace.TraceRecord.OrderFailed;
import org.ebonypond.trace.TraceRecord.ProposalResolved;
import org.ebonypond.trace.TraceRecord.StateRestored;
import org.ebonypond.trace.TraceRecord.TermStarted;
import org.ebonypond.trace.TraceRecord.Tick;

/**
 * Runs the decision classes of the leader on a recorded trace. The views come from the recorded
 * commands, so a decision that differs from the recorded one changes the proposals but not the
 * later inputs.
 *
 * <p>Each term gets a new scheduler, whose tokens start at 1, and the trace states the first token
 * of the term. A recorded token therefore maps to {@code token - firstToken + 1}. An answer whose
 * mapped token was not issued for the same instance is counted as unmatched and not delivered; an
 * answer to an earlier term is not delivered either, as in the recorded scheduler.
 */
public final class TraceReplay {
  private final ControlState state = new ControlState(EventSink.NONE);
  private final Map<String, InstanceAnnouncement> announcements = new HashMap<>();
  private final List<TimedProposal> proposals = new ArrayList<>();
  private final List<TimedOrder> orders = new ArrayList<>();
  private final Set<ControlCommand> proposed = new HashSet<>();
  private final List<ControlCommand> unproposed = new ArrayList<>();
  private final Map<String, Long> lastHeard = new HashMap<>();
  private final Map<Long, String> instanceByToken = new HashMap<>();
  private final ObservationTable observations = new ObservationTable();
  private final TraceHeader header;
  private final PlacementPolicy policy;
  private final OutcomeMeter meter;
  private InstanceDetector detector = new InstanceDetector();
  private GroupPlanner planner;
  private OrderScheduler scheduler;
  private boolean leading;
  private boolean sentInTerm;
  private long firstToken = 1;
  private long termStarted;
  private long shortestWait = -1;
  private long longestDetection = -1;
  private long ordersAfterStepDown;
  private long unmatchedAnswers;

  private TraceReplay(TraceHeader header, long from) {
    this.header = header;
    this.policy = PluginRegistry.load(PlacementPolicy.class).get(header.policy());
    this.meter = new OutcomeMeter(from);
    this.planner = new GroupPlanner(policy, header.planner(), EventSink.NONE);
    this.scheduler = new OrderScheduler(header.scheduler(), EventSink.NONE);
  }

  /**
   * Replays a trace.
   *
   * @param trace the trace
   * @param from the start of the measurement of sums and counts, in milliseconds
   * @throws EbonypondException {@code settings-invalid} if there is no placement policy with the
   *     recorded name
   */
  public static TraceOutcome run(Trace trace, long from) {
    TraceReplay r = new TraceReplay(trace.header(), from);
    trace.records().forEach(r::process);
    return r.outcome();
  }

  private TraceOutcome outcome() {
    return new TraceOutcome(
        state.view(),
        proposals,
        orders,
        meter.groupMillisDown(),
        meter.instanceMillisStranded(),
        meter.moves(),
        ordersAfterStepDown,
        shortestWait,
        longestDetection,
        meter.zonesWithGroups(),
        unproposed,
        unmatchedAnswers,
        meter.twoGroups(),
        meter.violations());
  }

  private void process(TraceRecord r) {
    meter.advance(r.at());
    if (r instanceof Tick t) {
      tick(t);
    } else if (r instanceof AnnouncementHeard a) {
      announcements.put(a.announcement().instance(), a.announcement());
      announced(a.announcement(), a.heard());
    } else if (r instanceof AnnouncementsRepeated a) {
      a.instances().forEach(i -> repeated(i, a.heard()));
    } else if (r instanceof CommandCommitted c) {
      commit(c);
    } else if (r instanceof ProposalResolved p) {
      detector.resolved(p.command());
      planner.resolved(p.command());
      scheduler.resolved(p.command());
    } else if (r instanceof EngineStateRead s) {
      if (checkMatched(s.token(), s.state().instance())) {
        scheduler.stateRead(mapToken(s.token()), s.state(), s.at());
      }
    } else if (r instanceof OrderAccepted o) {
      if (checkMatched(o.token(), o.instance())) {
        scheduler.orderAccepted(mapToken(o.token()), o.at());
      }
    } else if (r instanceof OrderFailed o) {
      if (checkMatched(o.token(), o.instance())) {
        scheduler.failed(mapToken(o.token()), o.at());
      }
    } else if (r instanceof TermStarted t) {
      elected(t);
    } else if (r instanceof StateRestored s) {
      restore(s);
    } else {
      leading = false;
    }
  }

  private void restore(StateRestored s) {
    try {
      state.restore(Base64.getDecoder().decode(s.snapshot()));
    } catch (IllegalArgumentException e) {
      throw new EbonypondException(
          e, ErrorCode.BAD_REQUEST, "the snapshot at " + s.at() + " ms is not Base64");
    }
    meter.viewChanged(state.view(), s.at());
  }

  private void elected(TermStarted t) {
    detector = new InstanceDetector();
    detector.elected(t.at());
    planner = new GroupPlanner(policy, header.planner(), EventSink.NONE);
    planner.elected();
    scheduler = new OrderScheduler(header.scheduler(), EventSink.NONE);
    scheduler.elected(t.at());
    observations.clear();
    instanceByToken.clear();
    firstToken = t.firstToken();
    termStarted = t.at();
    sentInTerm = false;
    leading = true;
  }

  private void announced(InstanceAnnouncement a, long heard) {
    lastHeard.put(a.instance(), heard);
    detector.announced(a, heard);
    scheduler.announced(a);
    observations.announced(a, state.view(), heard);
  }

  private void repeated(String instance, long heard) {
    InstanceAnnouncement a = announcements.get(instance);
    if (a == null) {
      throw new EbonypondException(
          ErrorCode.BAD_REQUEST,
          "the trace repeats an announcement of " + instance + " that it does not contain");
    }
    announced(a, heard);
  }

  private void commit(CommandCommitted c) {
    ControlCommand command = c.command();
    boolean fromOperator =
        command instanceof ControlCommand.ApplyDocument
            || command instanceof ControlCommand.SetZone;
    if (!fromOperator && !proposed.contains(command)) {
      unproposed.add(command);
    }
    try {
      if (state.apply(c.index(), command) instanceof ControlResult.Accepted) {
        meter.commandAccepted(command, c.at());
      }
    } catch (EbonypondException e) {
      meter.addViolation(String.valueOf(e.getMessage()));
    }
    meter.viewChanged(state.view(), c.at());
  }

  private void tick(Tick t) {
    observations.retain(state.view());
    List<Proposal> detected = detector.tick(state.view(), t.at());
    detected.forEach(p -> measureDetection(p.command(), t.at()));
    propose(detected, t.at());
    propose(planner.plan(state.view(), observations.view(), t.at()), t.at());
    SchedulerOutput out = scheduler.poll(state.view(), t.at(), t.leaseHeldUntil());
    propose(out.proposals(), t.at());
    out.reads().forEach(r -> instanceByToken.put(r.token(), r.instance()));
    out.orders().forEach(o -> instanceByToken.put(o.token(), o.instance()));
    out.orders().forEach(o -> orders.add(new TimedOrder(t.at(), o.instance(), o.order())));
    int sent = out.reads().size() + out.orders().size();
    if (!leading || t.leaseHeldUntil() <= t.at()) {
      ordersAfterStepDown += sent;
    } else if (sent > 0 && !sentInTerm) {
      sentInTerm = true;
      long wait = t.at() - termStarted;
      shortestWait = shortestWait < 0 ? wait : Math.min(shortestWait, wait);
    }
  }

  private void measureDetection(ControlCommand c, long now) {
    if (c instanceof ControlCommand.InstanceDown d) {
      long since = Math.max(termStarted, lastHeard.getOrDefault(d.instance(), termStarted));
      longestDetection = Math.max(longestDetection, now - since);
    }
  }

  private void propose(List<Proposal> all, long now) {
    for (Proposal p : all) {
      proposed.add(p.command());
      proposals.add(new TimedProposal(now, p.command(), p.reason()));
    }
  }

  private long mapToken(long token) {
    return token - firstToken + 1;
  }

  private boolean checkMatched(long token, String instance) {
    boolean matched = instance.equals(instanceByToken.get(mapToken(token)));
    unmatchedAnswers += matched || token < firstToken ? 0 : 1;
    return matched;
  }
}
