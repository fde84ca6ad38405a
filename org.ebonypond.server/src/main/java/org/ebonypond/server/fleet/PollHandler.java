package org.ebonypond.server.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.fleet.EntryLoads;
import org.ebonypond.fleet.FleetPoll;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.InstanceTable;
import org.ebonypond.fleet.NamedLimit;
import org.ebonypond.fleet.NamedLimits;
import org.ebonypond.fleet.RelayTable;
import org.ebonypond.quarantine.BlockedPart;
import org.ebonypond.quarantine.PartSuspicion;
import org.ebonypond.quarantine.SuspicionTable;
import org.ebonypond.serving.ServingState;
import org.jspecify.annotations.Nullable;

/** Answers the polls of entries and of other control replicas. Not thread-safe. */
final class PollHandler {
  /** Within this time, every entry that reaches this replica has polled it several times. */
  static final long ENTRY_DISCOVERY_MILLIS = 3_000;

  /** Replicas without contact for this long are not reported as known. */
  private static final long KNOWN_MILLIS = 3_000;

  /**
   * The maximum number of records in one answer; the next answers contain the rest. 100 records
   * take 7 ms on a fifth of a CPU, so that a replica can answer many entries that have no records
   * yet.
   */
  private static final int MAX_RECORDS = 100;

  /** Within this time, replicas poll each other several times. */
  private static final long CONTACT_MILLIS = 1_000;

  /** Within this time after the start of a replica, every instance has sent a heartbeat. */
  private static final long FLEET_DISCOVERY_MILLIS = 1_500;

  /**
   * The maximum rate of polls from the entries whose home replica this is: a quarter of the time of
   * a replica on a fifth of a CPU, at 2 ms for an answer.
   */
  private static final int HOME_POLLS_PER_SECOND = 125;

  /** The prefix of the name under which a replica reports what its entries observe. */
  private static final String REPLICA = "replica ";

  private final String self;
  private final long boot;
  private final ReplicaDirectory directory;
  private final InstanceTable table;
  private final EntryLoads loads;
  private final SuspicionTable suspicions = new SuspicionTable();
  private final NamedLimits limits = new NamedLimits();
  private final RelayTable relays = new RelayTable(new Random());
  private final Supplier<ConfirmedState> state;
  private final Supplier<@Nullable String> leader;
  private final long startedAt;

  /**
   * Creates the handler of one replica.
   *
   * @param self the name of this replica
   * @param boot identifies this start of the process in cursors
   * @param state returns the committed state that this replica has applied
   * @param leader returns the name of the presumed leader of the log, or null
   * @param startedAt the time of the start, in milliseconds
   */
  PollHandler(
      String self,
      long boot,
      ReplicaDirectory directory,
      InstanceTable table,
      EntryLoads loads,
      Supplier<ConfirmedState> state,
      Supplier<@Nullable String> leader,
      long startedAt) {
    this.self = self;
    this.boot = boot;
    this.directory = directory;
    this.table = table;
    this.loads = loads;
    this.state = state;
    this.leader = leader;
    this.startedAt = startedAt;
  }

  /**
   * Records what the sender reports about itself and returns the answer.
   *
   * @throws EbonypondException {@code frame-invalid} if an address of the sender is malformed
   */
  FleetPollResult answer(FleetPoll p, long now) {
    boolean replica = !p.address().isEmpty();
    if (replica && !ReplicaDirectory.isAddress(p.address())) {
      throw new EbonypondException(
          ErrorCode.FRAME_INVALID, "malformed replica address in a poll: " + p.address());
    }
    String relay = p.relays().own().address();
    if (!relay.isEmpty() && !ReplicaDirectory.isAddress(relay)) {
      throw new EbonypondException(
          ErrorCode.FRAME_INVALID, "malformed relay address in a poll: " + relay);
    }
    if (!replica) {
      relays.report(p.node(), p.relays().own(), now);
    }
    if (replica) {
      directory.recordContact(p.address(), now);
      loads.reportPeer(p.address(), p.loads(), now);
      suspicions.merge(REPLICA + p.address(), p.suspicions(), now);
      limits.merge(p.limits(), false, now);
    } else if (p.home()) {
      loads.report(p.node(), p.requests(), p.loads(), now);
      suspicions.merge(p.node(), p.suspicions(), now);
      limits.merge(p.limits(), true, now);
    } else {
      loads.noteEntry(p.node(), p.requests(), now);
      suspicions.removeReporter(p.node());
    }
    ConfirmedState confirmed = state.get();
    ServingState.Committed s = confirmed.state();
    long from = p.boot() == boot ? p.cursor() : 0;
    InstanceTable.Changes changes =
        p.home()
            ? table.changedSince(from, MAX_RECORDS, now)
            : new InstanceTable.Changes(List.of(), from, false);
    return new FleetPollResult(
        boot,
        changes.cursor(),
        s.version(),
        s.zonesIndex(),
        isReady(now),
        p.wantsState() ? newerState(s, p) : null,
        changes.records(),
        replica && changes.complete() ? table.unchangedSince(from, now) : List.of(),
        p.home() && !replica ? loads.others(p.node(), now) : null,
        entries(now),
        1_000L * loads.homedEntries() / HOME_POLLS_PER_SECOND,
        knownReplicas(now),
        leader.get(),
        p.home() && !replica
            ? suspicions.report(reporter -> !reporter.equals(p.node()), now)
            : List.of(),
        p.home() && !replica ? limits.all(now) : List.of(),
        stateAgeMillis(confirmed, now),
        p.relays().wanted() ? relays.sample(p.node(), p.relays().own().zone(), now) : List.of());
  }

  /**
   * Returns the limits that instances named to the entries whose home this is, to be reported to
   * other replicas.
   */
  List<NamedLimit> ownLimits(long now) {
    return limits.own(now);
  }

  /** Returns the prompt parts that entries have blocked, to be kept in the log. */
  List<String> quarantine(long now) {
    return suspicions.blockedParts(now).stream().map(BlockedPart::encode).toList();
  }

  /**
   * Takes over the blocked prompt parts of the log, which this process does not know after a start.
   *
   * @throws EbonypondException {@code frame-invalid} if one of them is malformed
   */
  void restoreQuarantine(List<String> parts, long now) {
    suspicions.restore(parts.stream().map(BlockedPart::decode).toList(), now);
  }

  /** Returns what the entries whose home this is suspect, to be reported to other replicas. */
  List<PartSuspicion> ownSuspicions(long now) {
    return suspicions.report(reporter -> !reporter.startsWith(REPLICA), now);
  }

  private static ServingState.@Nullable Committed newerState(
      ServingState.Committed s, FleetPoll p) {
    if (s.version() > p.version()) {
      return s.withoutDepartures();
    }
    return s.zonesIndex() > p.zonesIndex() ? s.withoutContent().withoutDepartures() : null;
  }

  private static long stateAgeMillis(ConfirmedState s, long now) {
    return s.confirmedAt() == Long.MIN_VALUE
        ? FleetPollResult.UNCONFIRMED
        : Math.max(0, now - s.confirmedAt());
  }

  private boolean isReady(long now) {
    Set<String> reachable = new HashSet<>(directory.recent(now, CONTACT_MILLIS));
    reachable.add(self);
    return 2 * reachable.size() > directory.names(now).size()
        && now - startedAt >= FLEET_DISCOVERY_MILLIS;
  }

  /**
   * Returns the number of entries that share the budgets. A replica that has just started has not
   * been polled by all of them yet, so the committed number counts as well: an entry that considers
   * itself the only one would spend the whole budget.
   */
  private int entries(long now) {
    int count = loads.entries(now);
    return now - startedAt < ENTRY_DISCOVERY_MILLIS
        ? Math.max(count, state.get().state().entries())
        : count;
  }

  private List<String> knownReplicas(long now) {
    List<String> out = new ArrayList<>(directory.recent(now, KNOWN_MILLIS));
    if (!out.contains(self)) {
      out.add(self);
    }
    return out;
  }
}
