package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * How an entry polls. One replica is its home: it is asked often and for everything. The others are
 * asked now and then whether they hold a newer configuration, so that a home that is cut off hides
 * no change. Entries spread over the replicas by a hash of both names.
 */
public final class EntryPollPlan implements PollPlan {
  /**
   * The traffic with the home, in bytes a second, above which it is asked less often. The other
   * polls, frames and a configuration now and then have the rest of the 27 KB a second that a node
   * may spend for control.
   */
  static final long HOME_BYTES_PER_SECOND = 20_000;

  /** The time between two polls of a replica that is not the home, in milliseconds. */
  static final long OTHER_MILLIS = 800;

  /** A replica that has not answered for this long is the home no longer. */
  static final long PATIENCE_MILLIS = 500;

  /** The home has brought a change that another replica knows within this time; two polls. */
  static final long CATCH_UP_MILLIS = 250;

  /** An entry returns to the first replica of its order when it has been ready for so long. */
  private static final long RETURN_MILLIS = 1_000;

  /** The entries return one after the other within this time, in milliseconds. */
  private static final long RETURN_SPREAD_MILLIS = 5_000;

  private static final long NEVER = Long.MIN_VALUE;

  private final String node;
  private final long returnMillis;
  private final Map<String, Contact> contacts = new HashMap<>();
  private @Nullable String home;

  /**
   * Creates the plan of an entry.
   *
   * @param node the name of the entry
   */
  public EntryPollPlan(String node) {
    this.node = node;
    this.returnMillis = RETURN_MILLIS + Math.floorMod(rank(""), RETURN_SPREAD_MILLIS);
  }

  @Override
  public List<PlannedPoll> due(List<String> replicas, long heldVersion, long heldZones, long now) {
    contacts.keySet().retainAll(replicas);
    replicas.forEach(r -> contacts.computeIfAbsent(r, n -> new Contact()));
    String before = home;
    home = choose(replicas, now);
    boolean lost = contacts.get(home).isSuspect(now);
    // A large configuration that is on its way from one replica is not fetched from another.
    boolean homeFetches = contacts.get(home).fetching || !home.equals(before);
    boolean othersFetch =
        contacts.entrySet().stream()
            .anyMatch(e -> !e.getKey().equals(home) && e.getValue().fetching);
    List<PlannedPoll> out = new ArrayList<>();
    for (String r : replicas) {
      Contact c = contacts.get(r);
      if (c.outstanding) {
        continue;
      }
      if (r.equals(home)) {
        if (now < c.askedAt + c.pauseMillis) {
          continue;
        }
        out.add(new PlannedPoll(r, true, !othersFetch));
        c.ask(now, !othersFetch);
        continue;
      }
      boolean ahead = c.version > heldVersion || c.zonesIndex > heldZones;
      boolean fetch =
          ahead && !homeFetches && !othersFetch && now - c.answeredAt >= CATCH_UP_MILLIS;
      // Without a home, every answer may bring one.
      if (lost || fetch || c.answeredAt == NEVER || now - c.askedAt >= OTHER_MILLIS) {
        othersFetch |= fetch;
        c.ask(now, fetch);
        out.add(new PlannedPoll(r, false, fetch));
      }
    }
    return out;
  }

  @Override
  public void answered(String replica, FleetPollResult r, int bytes, long now) {
    Contact c = contacts.get(replica);
    if (c != null) {
      boolean routine = r.state() == null && r.instances().isEmpty();
      long spread = Math.max(r.pauseMillis(), 1_000L * bytes / HOME_BYTES_PER_SECOND);
      c.pauseMillis = routine ? spread : 0;
      c.outstanding = false;
      c.answeredAt = now;
      c.failed = false;
      c.fetching = false;
      if (!r.ready()) {
        c.readySince = NEVER;
      } else if (c.readySince == NEVER) {
        c.readySince = now;
      }
      c.version = r.version();
      c.zonesIndex = r.zonesIndex();
    }
  }

  @Override
  public void failed(String replica) {
    Contact c = contacts.get(replica);
    if (c != null) {
      c.outstanding = false;
      c.failed = true;
      c.readySince = NEVER;
      c.fetching = false;
    }
  }

  /** Returns the replica that is the home now, or null before the first poll. */
  public @Nullable String home() {
    return home;
  }

  /**
   * Chooses the first replica in this entry's order among those in the best condition. A home that
   * is as good is kept for a while: entries that all returned at once to a replica that has just
   * started would ask it for the whole fleet at the same time.
   */
  private String choose(List<String> replicas, long now) {
    String best = replicas.get(0);
    for (String r : replicas) {
      int better = condition(r, now) - condition(best, now);
      if (better > 0 || (better == 0 && rank(r) < rank(best))) {
        best = r;
      }
    }
    String current = home;
    boolean keep =
        current != null
            && contacts.containsKey(current)
            && condition(current, now) >= condition(best, now)
            && now - contacts.get(best).readySince < returnMillis;
    return keep ? current : best;
  }

  private int condition(String replica, long now) {
    Contact c = contacts.get(replica);
    if (c.isSuspect(now)) {
      return 0;
    }
    if (c.answeredAt == NEVER) {
      return 1;
    }
    return c.readySince == NEVER ? 2 : 3;
  }

  /** Mixes the bits of a hash (SplitMix64), which hardly differs between similar names. */
  private long rank(String replica) {
    long h = (node + "/" + replica).hashCode();
    h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }

  private static final class Contact {
    long askedAt;
    long pauseMillis;
    long answeredAt = NEVER;
    boolean outstanding;
    boolean failed;
    boolean fetching;
    long readySince = NEVER;
    long version;
    long zonesIndex;

    void ask(long now, boolean fetch) {
      outstanding = true;
      askedAt = now;
      fetching = fetch;
    }

    boolean isSuspect(long now) {
      return failed || (outstanding && now - askedAt >= PATIENCE_MILLIS);
    }
  }
}
