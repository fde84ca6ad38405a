package org.ebonypond.server.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.fleet.EntryLoads;
import org.ebonypond.fleet.FleetPoll;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.InstanceTable;
import org.ebonypond.serving.ServingState;
import org.jspecify.annotations.Nullable;

/** Answers the polls of entries and of other control replicas. Used on one thread. */
final class PollHandler {
  /** All entries that reach this replica have polled it within this time, several times over. */
  static final long LEARN_ENTRIES_MILLIS = 3_000;

  private static final long REACHABLE_MILLIS = 3_000;

  /**
   * The most records in one answer; more come with the next. A hundred take a replica with a fifth
   * of a processor 7 ms, so that it can answer many entries that know nothing yet.
   */
  private static final int MAX_RECORDS = 100;

  /** Replicas poll each other several times within this time. */
  private static final long CONTACT_MILLIS = 1_000;

  /** Every instance has sent a heartbeat within this time of a replica's start. */
  private static final long LEARN_FLEET_MILLIS = 1_500;

  /** A quarter of the time of a replica with a fifth of a processor, at 2 ms for an answer. */
  private static final int HOME_POLLS_PER_SECOND = 125;

  private final String self;
  private final long boot;
  private final ReplicaDirectory directory;
  private final InstanceTable table;
  private final EntryLoads loads;
  private final Supplier<ServingState.Committed> state;
  private final Supplier<@Nullable String> leader;
  private final long startedAt;

  /**
   * Creates the answers of one replica.
   *
   * @param self the name of this replica
   * @param boot identifies this start of the process
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
      Supplier<ServingState.Committed> state,
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
   * Takes what the asker says of itself and answers it.
   *
   * @throws EbonypondException {@code frame-invalid} if the asker names an address that is none
   */
  FleetPollResult answer(FleetPoll p, long now) {
    boolean replica = !p.address().isEmpty();
    if (replica && !ReplicaDirectory.isAddress(p.address())) {
      throw new EbonypondException(ErrorCode.FRAME_INVALID, "a poll of " + p.address());
    }
    if (replica) {
      directory.heard(p.address(), now);
      loads.reportPeer(p.address(), p.loads(), now);
    } else if (p.home()) {
      loads.report(p.node(), p.requests(), p.loads(), now);
    } else {
      loads.noteEntry(p.node(), p.requests(), now);
    }
    ServingState.Committed s = state.get();
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
        leader.get());
  }

  private static ServingState.@Nullable Committed newerState(
      ServingState.Committed s, FleetPoll p) {
    if (s.version() > p.version()) {
      return s;
    }
    return s.zonesIndex() > p.zonesIndex() ? s.withoutContent() : null;
  }

  private boolean isReady(long now) {
    Set<String> reached = new HashSet<>(directory.recent(now, CONTACT_MILLIS));
    reached.add(self);
    return 2 * reached.size() > directory.names(now).size()
        && now - startedAt >= LEARN_FLEET_MILLIS;
  }

  /**
   * Returns the number of entries that share budgets. A replica that has just started has not heard
   * of all of them; an entry that took itself for the only one would spend the budget of all.
   */
  private int entries(long now) {
    int heard = loads.entries(now);
    return now - startedAt < LEARN_ENTRIES_MILLIS ? Math.max(heard, state.get().entries()) : heard;
  }

  private List<String> knownReplicas(long now) {
    List<String> out = new ArrayList<>(directory.recent(now, REACHABLE_MILLIS));
    if (!out.contains(self)) {
      out.add(self);
    }
    return out;
  }
}
