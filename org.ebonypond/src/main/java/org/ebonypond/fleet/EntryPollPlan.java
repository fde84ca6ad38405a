package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The poll schedule of an entry. One replica, its home, is polled often and for everything. The
 * others are polled less often for a newer configuration, so that an isolated home does not hide a
 * change. Entries are distributed over the replicas by a hash of both names.
 */
public final class EntryPollPlan implements PollPlan {
  /**
   * The traffic with the home, in bytes per second, above which it is polled less often. The rest
   * of the 27 KB/s that a node may use for control traffic is left for the other polls, frame
   * overhead and occasional configurations.
   */
  static final long HOME_BYTES_PER_SECOND = 20_000;

  /** The interval between polls of a replica that is not the home, in milliseconds. */
  static final long OTHER_POLL_MILLIS = 800;

  /**
   * A poll that is unanswered for this long makes the replica suspect; a suspect home is replaced.
   */
  static final long SUSPECT_MILLIS = 500;

  /** How long the home may take to deliver a change that another replica already has; two polls. */
  static final long CATCH_UP_MILLIS = 250;

  /** How long the preferred replica must have been ready before an entry returns to it. */
  private static final long RETURN_MILLIS = 1_000;

  /** The interval over which the returns of all entries are spread, in milliseconds. */
  private static final long RETURN_SPREAD_MILLIS = 5_000;

  private static final long NEVER = Long.MIN_VALUE;

  private final String node;
  private final long returnMillis;
  private final Map<String, PollState> pollStates = new HashMap<>();
  private @Nullable String home;

  /**
   * Creates the schedule of an entry.
   *
   * @param node the name of the entry
   */
  public EntryPollPlan(String node) {
    this.node = node;
    this.returnMillis = RETURN_MILLIS + Math.floorMod(preferenceHash(""), RETURN_SPREAD_MILLIS);
  }

  @Override
  public List<PlannedPoll> due(List<String> replicas, long heldVersion, long heldZones, long now) {
    pollStates.keySet().retainAll(replicas);
    replicas.forEach(replica -> pollStates.computeIfAbsent(replica, n -> new PollState()));
    String before = home;
    home = choose(replicas, now);
    boolean homeSuspect = pollStates.get(home).isSuspect(now);
    // A large configuration being fetched from one replica is not fetched from another.
    boolean homeFetches = pollStates.get(home).fetching || !home.equals(before);
    boolean othersFetch =
        pollStates.entrySet().stream()
            .anyMatch(e -> !e.getKey().equals(home) && e.getValue().fetching);
    List<PlannedPoll> out = new ArrayList<>();
    for (String replica : replicas) {
      PollState state = pollStates.get(replica);
      if (state.outstanding) {
        continue;
      }
      if (replica.equals(home)) {
        if (now < state.polledAt + state.pollIntervalMillis) {
          continue;
        }
        out.add(new PlannedPoll(replica, true, !othersFetch));
        state.startPoll(now, !othersFetch);
        continue;
      }
      boolean newer = state.version > heldVersion || state.zonesIndex > heldZones;
      boolean fetch =
          newer && !homeFetches && !othersFetch && now - state.answeredAt >= CATCH_UP_MILLIS;
      // Without a usable home, any replica that answers may become the home.
      if (homeSuspect
          || fetch
          || state.answeredAt == NEVER
          || now - state.polledAt >= OTHER_POLL_MILLIS) {
        othersFetch |= fetch;
        state.startPoll(now, fetch);
        out.add(new PlannedPoll(replica, false, fetch));
      }
    }
    return out;
  }

  @Override
  public void answered(String replica, FleetPollResult result, int bytes, long now) {
    PollState state = pollStates.get(replica);
    if (state != null) {
      boolean routine = result.state() == null && result.instances().isEmpty();
      long pollIntervalMillis =
          Math.max(result.minPollIntervalMillis(), 1_000L * bytes / HOME_BYTES_PER_SECOND);
      state.pollIntervalMillis = routine ? pollIntervalMillis : 0;
      state.outstanding = false;
      state.answeredAt = now;
      state.failed = false;
      state.fetching = false;
      if (!result.ready()) {
        state.readySince = NEVER;
      } else if (state.readySince == NEVER) {
        state.readySince = now;
      }
      state.version = result.version();
      state.zonesIndex = result.zonesIndex();
    }
  }

  @Override
  public void failed(String replica) {
    PollState state = pollStates.get(replica);
    if (state != null) {
      state.outstanding = false;
      state.failed = true;
      state.readySince = NEVER;
      state.fetching = false;
    }
  }

  /** Returns the current home replica, or null before the first poll. */
  public @Nullable String home() {
    return home;
  }

  /**
   * Chooses the preferred replica among those of the best health. A home of equal health is kept
   * for some time: if all entries returned to a restarted replica at once, they would all request
   * the whole fleet from it at the same time.
   */
  private String choose(List<String> replicas, long now) {
    String best = replicas.get(0);
    for (String replica : replicas) {
      int difference = health(replica, now) - health(best, now);
      if (difference > 0 || (difference == 0 && preferenceHash(replica) < preferenceHash(best))) {
        best = replica;
      }
    }
    String current = home;
    boolean keep =
        current != null
            && pollStates.containsKey(current)
            && health(current, now) >= health(best, now)
            && now - pollStates.get(best).readySince < returnMillis;
    return keep ? current : best;
  }

  /** Returns the health of a replica, from 0 (suspect) to 3 (ready). */
  private int health(String replica, long now) {
    PollState state = pollStates.get(replica);
    if (state.isSuspect(now)) {
      return 0;
    }
    if (state.answeredAt == NEVER) {
      return 1;
    }
    return state.readySince == NEVER ? 2 : 3;
  }

  /**
   * Returns a hash that orders the replicas for this entry, the lowest first. String hashes hardly
   * differ between similar names, so the bits are mixed as in SplitMix64.
   */
  private long preferenceHash(String replica) {
    long h = (node + "/" + replica).hashCode();
    h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }

  /** The polls of one replica and its latest answer. */
  private static final class PollState {
    long polledAt;
    long pollIntervalMillis;
    long answeredAt = NEVER;
    boolean outstanding;
    boolean failed;
    boolean fetching;
    long readySince = NEVER;
    long version;
    long zonesIndex;

    void startPoll(long now, boolean fetch) {
      outstanding = true;
      polledAt = now;
      fetching = fetch;
    }

    boolean isSuspect(long now) {
      return failed || (outstanding && now - polledAt >= SUSPECT_MILLIS);
    }
  }
}
