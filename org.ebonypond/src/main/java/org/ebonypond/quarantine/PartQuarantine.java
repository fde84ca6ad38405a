package org.ebonypond.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests and prompt parts an entry refuses because they crash instances.
 *
 * <p>A crash ends all requests of an instance, and most of them are not the cause. Suspected are
 * the requests on which the instance had not begun to write, and the parts of their prompts. The
 * cause recurs in crashes of different instances and is hardly ever answered, while the parts
 * beside it are answered elsewhere. A part is blocked if chance does not explain its crashes, given
 * how often requests without it are ended. A crash that a blocked part explains does not count
 * against other parts. The evidence is shared between all entries, because each one sees only some
 * of the crashes and answers. Not thread-safe.
 *
 * <p>A request is blocked for its own crashes, also if another one was at the same instances: two
 * that always come together are told apart by nothing. Its crashes count against its parts only if
 * requests with the parts are ended that do not explain them.
 */
public final class PartQuarantine {
  /** The reporter of what this entry observes itself. */
  private static final String OWN = "own";

  /** The reporter of what the other entries observe. */
  private static final String OTHERS = "others";

  /**
   * The accepted probability that any of the suspected parts is blocked by chance, and that any of
   * the suspected requests is. Each of them gets an equal share, so that more evidence is needed
   * while many instances crash.
   */
  private static final double ERROR_PROBABILITY = 5e-4;

  /**
   * The number of crashes after which a request that was never answered is blocked without regard
   * to chance. It may reach instances three times more after the third crash; the last of these is
   * left for entries that learn of the block late.
   */
  static final int CERTAIN_CRASHES = 5;

  /** The number of suspects among which the probability is divided at least. */
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

  /** Records that an instance has begun to write an answer to a request. */
  public void began(RequestTraits request, long now) {
    recentlyBegun.add(request.parts(), now);
    for (long part : request.ids()) {
      if (table.contains(part)) {
        table.begun(OWN, part, 1);
        changed = true;
      }
    }
  }

  /**
   * Records that an instance ended a request before it had begun to write an answer.
   *
   * @param instance the identifier of the instance
   * @param startMillis when the instance started, in milliseconds since 1970
   */
  public void crashed(String instance, long startMillis, RequestTraits request, long now) {
    recentlyEnded.add(request.ids(), now);
    long crash = crashId(instance, startMillis);
    for (long part : request.ids()) {
      boolean isNew = !table.contains(part);
      boolean wholeRequest = part == request.request();
      table.crashed(part, wholeRequest, crash, endedRate(part, now), now);
      countRecent(isNew, wholeRequest, part, now);
    }
  }

  /**
   * Returns what is blocked of a request that has arrived, itself or some of its parts, or null.
   */
  public @Nullable Set<Long> quarantined(RequestTraits request, long now) {
    if (request.isEmpty()) {
      return null;
    }
    decide(now);
    List<Long> ids = request.ids();
    ids.forEach(p -> table.seen(p, now));
    return blocked.stream().filter(ids::containsAll).findAny().orElse(null);
  }

  /**
   * Returns whether a request may be the cause of crashes, so that it must not be sent to another
   * instance.
   */
  public boolean isSuspected(RequestTraits request, long now) {
    decide(now);
    return request.ids().stream().anyMatch(suspected::contains);
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
      countRecent(isNew, p.wholeRequest(), p.part(), now);
    }
  }

  /** Returns the number of blocked requests, parts and groups of parts. */
  public int size() {
    return blocked.size();
  }

  /**
   * Counts the answers to a new part that had begun before. Those to a request do not count: it may
   * crash instances from now on.
   */
  private void countRecent(boolean isNew, boolean wholeRequest, long part, long now) {
    if (isNew) {
      if (!wholeRequest) {
        table.begun(OWN, part, recentlyBegun.count(part, now));
      }
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
    List<SuspicionTable.Suspect> requests = recurringRequests(now);
    for (Group g = heaviest(explained, requests, now);
        g != null;
        g = heaviest(explained, requests, now)) {
      block(g, next);
      explained.addAll(g.crashes);
    }
    double acceptedChance = acceptedChance(true);
    for (SuspicionTable.Suspect s : requests) {
      if (recurrences(s, explained, now).size() >= SuspicionTable.MIN_CRASHES
          && !isByChance(s, acceptedChance, now)
          && isConsulted(s, now)) {
        block(new Group(Set.of(s.part), Set.copyOf(s.crashes()), s.begun()), next);
      }
    }
    next.forEach(nextSuspected::addAll);
    for (SuspicionTable.Suspect s : table.suspects()) {
      if (s.crashes().size() < MIN_CRASHES_TO_SUSPECT) {
        continue;
      }
      Set<Long> others = s.isWholeRequest() ? explained : explainedFor(s, explained, requests);
      List<Double> recurrences = recurrences(s, others, now);
      if (recurrences.size() >= MIN_CRASHES_TO_SUSPECT
          && s.isHardlyAnswered()
          && (isNeverAnsweredRequest(s, recurrences, SuspicionTable.MIN_CRASHES)
              || chance(s, recurrences, others) <= SUSPECTING_PROBABILITY)) {
        nextSuspected.add(s.part);
      }
    }
    blocked.stream().filter(g -> !next.contains(g)).forEach(listener::unblocked);
    blocked = next;
    suspected = nextSuspected;
  }

  private void block(Group g, Set<Set<Long>> next) {
    next.add(g.parts);
    g.parts.forEach(table::block);
    if (!blocked.contains(g.parts)) {
      listener.blocked(g.parts, g.crashes.size(), g.begun);
    }
  }

  /** Returns the requests that were at several crashes and were hardly answered. */
  private List<SuspicionTable.Suspect> recurringRequests(long now) {
    List<SuspicionTable.Suspect> out = new ArrayList<>();
    for (SuspicionTable.Suspect s : table.suspects()) {
      if (s.isWholeRequest()
          && s.crashes().size() >= MIN_CRASHES_TO_SUSPECT
          && s.isHardlyAnswered()
          && recurrences(s, Set.of(), now).size() >= MIN_CRASHES_TO_SUSPECT) {
        out.add(s);
      }
    }
    return out;
  }

  private boolean isByChance(SuspicionTable.Suspect request, double acceptedChance, long now) {
    List<Double> recurrences = recurrences(request, Set.of(), now);
    return !request.isBlocked()
        && !isNeverAnsweredRequest(request, recurrences, CERTAIN_CRASHES)
        && chance(request, recurrences, Set.of()) > acceptedChance;
  }

  private double acceptedChance(boolean wholeRequests) {
    long suspects =
        table.suspects().stream().filter(s -> s.isWholeRequest() == wholeRequests).count();
    return ERROR_PROBABILITY / Math.max(MIN_SUSPECTS, suspects);
  }

  private static boolean isNeverAnsweredRequest(
      SuspicionTable.Suspect s, List<Double> recurrences, int minCrashes) {
    return s.isWholeRequest() && s.begun() == 0 && recurrences.size() >= minCrashes;
  }

  /**
   * Returns the crashes that do not count against a part: those that other parts explain, and those
   * that requests with the part may have caused by themselves. If the part was never answered, that
   * holds only if a single request explains all of them but one; requests with a part that crashes
   * instances would otherwise each be taken for a cause of their own.
   */
  private static Set<Long> explainedFor(
      SuspicionTable.Suspect part,
      Set<Long> explainedByParts,
      List<SuspicionTable.Suspect> requests) {
    Set<Long> out = new HashSet<>(explainedByParts);
    for (SuspicionTable.Suspect r : requests) {
      boolean isExplained;
      if (part.begun() > 0) {
        isExplained = r.crashes().size() >= SuspicionTable.MIN_CRASHES;
      } else {
        Set<Long> others = new HashSet<>(part.crashes());
        others.removeAll(explainedByParts);
        others.removeAll(r.crashes());
        isExplained = others.size() <= 1;
      }
      if (isExplained) {
        out.addAll(r.crashes());
      }
    }
    return out;
  }

  /**
   * Returns the parts that are answered least for each of their crashes, or null if no part has
   * enough crashes that are not explained yet. Among parts that are answered equally often, those
   * with the most crashes are returned. Parts that were in the same crashes so far form a group: a
   * request with only some of them will show which one is the cause.
   */
  private @Nullable Group heaviest(
      Set<Long> explainedByParts, List<SuspicionTable.Suspect> requests, long now) {
    double acceptedChance = acceptedChance(false);
    double least = Double.MAX_VALUE;
    int most = 0;
    Map<Set<Long>, Set<Long>> partsByCrashes = new HashMap<>();
    for (SuspicionTable.Suspect s : table.suspects()) {
      if (s.isWholeRequest() || s.crashes().size() < SuspicionTable.MIN_CRASHES) {
        continue;
      }
      Set<Long> explained = explainedFor(s, explainedByParts, requests);
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

  /**
   * A request, or parts that are blocked together, their crashes, and the answers begun on each of
   * them.
   */
  private record Group(Set<Long> parts, Set<Long> crashes, long begun) {}
}
