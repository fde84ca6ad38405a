package org.ebonypond.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides which prompt parts an entry refuses because they crash instances.
 *
 * <p>A crash ends all requests of an instance, and most of them are not the cause. Suspected are
 * the parts of the requests on which the instance had not begun to write. The cause recurs in
 * crashes of different instances and is hardly ever answered, while the parts beside it are
 * answered elsewhere. A part is blocked if chance does not explain its crashes, given how often
 * requests without it are ended. A crash that a blocked part explains does not count against other
 * parts. The evidence is shared between all entries, because each one sees only some of the crashes
 * and answers. Not thread-safe.
 */
public final class PartQuarantine {
  /** The reporter of what this entry observes itself. */
  private static final String OWN = "own";

  /** The reporter of what the other entries observe. */
  private static final String OTHERS = "others";

  /**
   * The accepted probability that any of the suspected parts is blocked by chance. Each of them
   * gets an equal share, so that more evidence is needed while many instances crash.
   */
  private static final double ERROR_PROBABILITY = 5e-4;

  /** The number of parts among which the probability is divided at least. */
  private static final int MIN_SUSPECTS = 10;

  /** A request with a part that is in this many crashes may not be sent again after a crash. */
  private static final int MIN_CRASHES_TO_SUSPECT = 2;

  /**
   * The probability below which a request is not sent again. An error costs one caller an answer
   * that a retry would have brought.
   */
  private static final double SUSPECTING_PROBABILITY = 1e-2;

  /**
   * The observations that are assumed in addition when the rate of ended requests is estimated; few
   * are known after a start.
   */
  private static final double PRIOR_REQUESTS = 25;

  private static final double PRIOR_ENDED = 0.5;

  /**
   * The number of reports from the other entries after which a part may be blocked. The first ones
   * tell them of the part; the answers that have begun at them come with the later ones.
   */
  static final int CONSULTED_REPORTS = 4;

  /**
   * The time from the first crash after which a part may be blocked without these reports, in
   * milliseconds; all entries in touch have exchanged several reports by then.
   */
  static final long CONSULT_MILLIS = 1_000;

  private final SuspicionTable table = new SuspicionTable();
  private final RecentParts recentlyBegun = new RecentParts();
  private final RecentParts recentlyEnded = new RecentParts();
  private final QuarantineListener listener;
  private Set<Set<Long>> blocked = Set.of();
  private Set<Long> suspected = Set.of();

  /** The number of reports that had been merged when a part became suspected. */
  private final Map<Long, Long> reportsWhenSuspected = new HashMap<>();

  private long reports;
  private boolean changed;
  private long decideAgainAt = Long.MAX_VALUE;

  /** Creates a quarantine without evidence. */
  public PartQuarantine(QuarantineListener listener) {
    this.listener = listener;
  }

  /** Records that an instance has begun to write an answer to a request with these parts. */
  public void began(List<Long> parts, long now) {
    recentlyBegun.add(parts, now);
    for (long part : parts) {
      if (table.contains(part)) {
        table.begun(OWN, part, 1);
        changed = true;
      }
    }
  }

  /**
   * Records that an instance ended a request with these parts before it had begun to write an
   * answer.
   *
   * @param instance the identifier of the instance
   * @param startMillis when the instance started, in milliseconds since 1970
   */
  public void crashed(String instance, long startMillis, List<Long> parts, long now) {
    recentlyEnded.add(parts, now);
    long crash = crashId(instance, startMillis);
    for (long part : parts) {
      boolean isNew = !table.contains(part);
      table.crashed(part, crash, endedRate(part, now), now);
      countRecent(isNew, part, now);
    }
  }

  /** Returns the blocked parts that a request which has arrived has, or null. */
  public @Nullable Set<Long> quarantined(List<Long> parts, long now) {
    if (parts.isEmpty()) {
      return null;
    }
    decide(now);
    parts.forEach(p -> table.seen(p, now));
    return blocked.stream().filter(parts::containsAll).findAny().orElse(null);
  }

  /**
   * Returns whether a request with these parts may be the cause of crashes, so that it must not be
   * sent to another instance.
   */
  public boolean isSuspected(List<Long> parts, long now) {
    decide(now);
    return parts.stream().anyMatch(suspected::contains);
  }

  /** Returns what this entry knows, to be reported to the other entries. */
  public List<PartSuspicion> report(long now) {
    return table.report(OWN::equals, now);
  }

  /** Merges what the other entries know. */
  public void merge(List<PartSuspicion> report, long now) {
    reports++;
    // A part may now be consulted for long enough.
    changed |= decideAgainAt != Long.MAX_VALUE;
    for (PartSuspicion p : report) {
      boolean isNew = !table.contains(p.part());
      table.merge(OTHERS, List.of(p), now);
      countRecent(isNew, p.part(), now);
    }
  }

  /** Returns the number of blocked parts and groups of parts. */
  public int size() {
    return blocked.size();
  }

  private void countRecent(boolean isNew, long part, long now) {
    if (isNew) {
      table.begun(OWN, part, recentlyBegun.count(part, now));
      reportsWhenSuspected.put(part, reports);
    }
    changed = true;
  }

  private void decide(long now) {
    changed |= table.prune(now);
    reportsWhenSuspected.keySet().removeIf(p -> !table.contains(p));
    if (!changed && now < decideAgainAt) {
      return;
    }
    changed = false;
    decideAgainAt = Long.MAX_VALUE;
    Set<Set<Long>> next = new HashSet<>();
    Set<Long> nextSuspected = new HashSet<>();
    Set<Long> explained = new HashSet<>();
    for (Group g = heaviest(explained, now); g != null; g = heaviest(explained, now)) {
      next.add(g.parts);
      g.parts.forEach(table::block);
      nextSuspected.addAll(g.parts);
      explained.addAll(g.crashes);
      if (!blocked.contains(g.parts)) {
        listener.blocked(g.parts, g.crashes.size(), g.begun);
      }
    }
    for (SuspicionTable.Suspect s : table.suspects()) {
      List<Double> recurrences = recurrences(s, explained, now);
      if (recurrences.size() >= MIN_CRASHES_TO_SUSPECT
          && s.isHardlyAnswered()
          && chance(s, recurrences, explained) <= SUSPECTING_PROBABILITY) {
        nextSuspected.add(s.part);
      }
    }
    blocked.stream().filter(g -> !next.contains(g)).forEach(listener::unblocked);
    blocked = next;
    suspected = nextSuspected;
  }

  /**
   * Returns the parts that are answered least for each of their crashes, or null if no part has
   * enough crashes that are not explained yet. Among parts that are answered equally often, those
   * with the most crashes are returned. Parts that were in the same crashes so far form a group: a
   * request with only some of them will show which one is the cause.
   */
  private @Nullable Group heaviest(Set<Long> explained, long now) {
    double acceptedChance = ERROR_PROBABILITY / Math.max(MIN_SUSPECTS, table.suspects().size());
    double least = Double.MAX_VALUE;
    int most = 0;
    Map<Set<Long>, Set<Long>> partsByCrashes = new HashMap<>();
    for (SuspicionTable.Suspect s : table.suspects()) {
      List<Double> recurrences = recurrences(s, explained, now);
      if (recurrences.size() < SuspicionTable.MIN_CRASHES
          || !s.isHardlyAnswered()
          || (!s.isBlocked() && chance(s, recurrences, explained) > acceptedChance)
          || !isConsulted(s, now)) {
        continue;
      }
      double answered = (double) s.begun() / s.crashes().size();
      if (answered < least || (answered == least && recurrences.size() > most)) {
        least = answered;
        most = recurrences.size();
        partsByCrashes.clear();
      }
      if (answered == least && recurrences.size() == most) {
        partsByCrashes.computeIfAbsent(s.crashes(), k -> new HashSet<>()).add(s.part);
      }
    }
    if (partsByCrashes.isEmpty()) {
      return null;
    }
    Map.Entry<Set<Long>, Set<Long>> any = partsByCrashes.entrySet().iterator().next();
    long begun = Math.round(least * any.getKey().size());
    return new Group(Set.copyOf(any.getValue()), Set.copyOf(any.getKey()), begun);
  }

  /**
   * Returns a bound of the probability that requests with a harmless part are ended in all of these
   * crashes. Each one has the probability of its own time, since troubled times are followed by
   * calm ones. Simultaneous crashes count once, and the answers in proportion, unless the part was
   * never answered: then even a popular part could not be at several instances by chance.
   */
  private static double chance(
      SuspicionTable.Suspect s, List<Double> endedRates, Set<Long> explained) {
    if (s.begun() == 0) {
      return s.crashesExcept(explained).stream()
          .mapToDouble(SuspicionTable.Crash::endedRate)
          .reduce(1, (x, y) -> x * y);
    }
    double begunPerCrash = (double) s.begun() / s.crashes().size();
    int requests = (int) Math.ceil(endedRates.size() * (1 + begunPerCrash));
    double chance = 1;
    for (int i = 0; i < endedRates.size(); i++) {
      // The factors of the first fraction make up the number of ways to choose these requests.
      chance *= (double) (requests - i) / (i + 1) * endedRates.get(i);
    }
    return chance;
  }

  /** Returns the fraction of the recent requests without a part that instances have ended. */
  private double endedRate(long part, long now) {
    double ended = recentlyEnded.total(now) - recentlyEnded.count(part, now);
    double begun = recentlyBegun.total(now) - recentlyBegun.count(part, now);
    return (ended + PRIOR_ENDED) / (ended + begun + PRIOR_REQUESTS);
  }

  private boolean isConsulted(SuspicionTable.Suspect s, long now) {
    long first = s.crashesExcept(Set.of()).get(0).at();
    long reportsSince = reports - reportsWhenSuspected.getOrDefault(s.part, reports);
    if (s.isBlocked() || reportsSince >= CONSULTED_REPORTS || now - first >= CONSULT_MILLIS) {
      return true;
    }
    decideAgainAt = Math.min(decideAgainAt, first + CONSULT_MILLIS);
    return false;
  }

  /**
   * Returns the rates of the unexplained crashes of a part. Those at the same time count once, with
   * the highest rate. If the part is answered, the latest crashes do not count yet: other entries
   * may still report the part that explains them.
   */
  private List<Double> recurrences(SuspicionTable.Suspect s, Set<Long> explained, long now) {
    List<Double> rates = new ArrayList<>();
    long startedAt = 0;
    for (SuspicionTable.Crash c : s.crashesExcept(explained)) {
      if (s.begun() > 0 && now - c.at() < CONSULT_MILLIS) {
        decideAgainAt = Math.min(decideAgainAt, c.at() + CONSULT_MILLIS);
        break;
      }
      if (rates.isEmpty() || c.at() - startedAt >= SuspicionTable.SIMULTANEOUS_MILLIS) {
        rates.add(c.endedRate());
        startedAt = c.at();
      } else {
        int last = rates.size() - 1;
        rates.set(last, Math.max(rates.get(last), c.endedRate()));
      }
    }
    return rates;
  }

  /** Returns the identifier of a crash, which is the same at all entries. */
  private static long crashId(String instance, long startMillis) {
    return TextHash.of(instance + "@" + startMillis);
  }

  /** Parts that are blocked together, their crashes, and the answers begun on each of them. */
  private record Group(Set<Long> parts, Set<Long> crashes, long begun) {}
}
