package org.ebonypond.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The suspected requests and prompt parts that a process knows. Crashes from several reporters are
 * united, so a report that arrives twice or returns to its origin changes nothing; answers that
 * began are added up over the reporters. Parts expire some time after the last request with them.
 * Thread-safe, but for {@link #suspects}.
 */
public final class SuspicionTable {
  /**
   * The maximum number of crashes remembered for a part. It exceeds the number after which a part
   * is blocked by those that happen until all entries know of it.
   */
  public static final int MAX_CRASHES = 32;

  /**
   * The maximum number of parts, and of requests. At about 1 KB each, they take a fraction of an
   * entry's heap.
   */
  static final int MAX_PARTS = 256;

  /**
   * The maximum number of suspects in one report, apart from recent requests. At 600 bytes each, a
   * report takes a fourth of the control traffic that an entry may cause in a second.
   */
  static final int MAX_REPORTED = 12;

  /**
   * The maximum number of recent requests with few crashes in one report. Their crashes happen at
   * different entries, each of which sees one; at 60 bytes each, they take little.
   */
  static final int MAX_RECENT = 20;

  /**
   * The time at which a suspect is forgotten, in milliseconds: after the last request if it is
   * blocked, otherwise after its last crash.
   */
  static final long EXPIRY_MILLIS = 600_000;

  /**
   * The time after the last crash at which a part is forgotten that is answered too often to be the
   * cause, in milliseconds. Popular parts are at many crashed instances and would fill the reports.
   */
  static final long ANSWERED_EXPIRY_MILLIS = 30_000;

  /**
   * A reported time replaces a known one only if it is later by more than this. Each hop makes a
   * report appear younger by its latency, and reports that circulate would otherwise never expire.
   */
  private static final long MIN_ADVANCE_MILLIS = 2_000;

  /**
   * The minimum number of crashes after which a part is blocked: one more than the instances that a
   * single request can crash with the usual limit of two attempts.
   */
  static final int MIN_CRASHES = 3;

  /**
   * Crashes within this time of each other, in milliseconds, count as one. Instances that are lost
   * together, such as those of an availability zone, have another cause than a prompt.
   */
  static final long SIMULTANEOUS_MILLIS = 200;

  /** The maximum number of answers begun for each crash of a part that may be the cause. */
  static final int MAX_BEGUN_PER_CRASH = 3;

  /**
   * Suspects that may be the cause first, then those with more crashes, then those with more recent
   * requests.
   */
  private static final Comparator<Ranked> BY_WEIGHT =
      Comparator.comparing(Ranked::hardlyAnswered)
          .thenComparingInt(r -> r.suspect.crashes.size())
          .thenComparingLong(r -> r.suspect.lastSeenAt)
          .reversed();

  private final Map<Long, Suspect> suspects = new HashMap<>();

  /**
   * Records that an instance crashed before it began to write an answer to a request.
   *
   * @param part the identifier of the request, or of a part of its prompt
   * @param wholeRequest whether it is that of the request
   * @param endedRate the fraction of the requests without the part that instances end now
   */
  synchronized void crashed(
      long part, boolean wholeRequest, long crash, double endedRate, long now) {
    Suspect s = suspects.computeIfAbsent(part, Suspect::new);
    s.wholeRequest |= wholeRequest;
    s.addCrash(crash, now, endedRate);
    s.lastSeenAt = now;
    evictIfFull();
  }

  /** Records that a request with a part arrived, if the part is blocked. */
  synchronized void seen(long part, long now) {
    Suspect s = suspects.get(part);
    if (s != null && s.blocked && s.isHardlyAnswered()) {
      s.lastSeenAt = now;
    }
  }

  /**
   * Merges a report.
   *
   * @param reporter the process whose answers the report counts
   * @param report the suspected parts that it knows
   */
  public synchronized void merge(String reporter, List<PartSuspicion> report, long now) {
    for (PartSuspicion p : report) {
      long seenAt = now - Math.max(0, p.idleMillis());
      if (p.crashes().isEmpty() || now - seenAt > EXPIRY_MILLIS) {
        continue;
      }
      Suspect s = suspects.computeIfAbsent(p.part(), Suspect::new);
      if (s.lastSeenAt == Long.MIN_VALUE || seenAt > s.lastSeenAt + MIN_ADVANCE_MILLIS) {
        s.lastSeenAt = seenAt;
      }
      p.crashes().forEach(c -> s.addCrash(c.id(), now - Math.max(0, c.ageMillis()), c.endedRate()));
      s.begun.merge(reporter, p.begun(), Math::max);
      s.blocked |= p.blocked();
      s.wholeRequest |= p.wholeRequest();
    }
    evictIfFull();
  }

  /** Adds to the number of answers that instances have begun to write on a part. */
  synchronized void begun(String reporter, long part, long count) {
    Suspect s = suspects.get(part);
    // Further crashes would not be counted either, and the part would look harmless in the end.
    if (s != null && s.crashes.size() < MAX_CRASHES) {
      s.begun.merge(reporter, count, Long::sum);
    }
  }

  /** Removes the count of answers of a reporter that now reports to another process. */
  public synchronized void removeReporter(String reporter) {
    suspects.values().forEach(s -> s.begun.remove(reporter));
  }

  /**
   * Records that chance does not explain the crashes of a part. Reports carry this, so that an
   * entry that sees less does not have to find it again.
   */
  synchronized void block(long part) {
    Suspect s = suspects.get(part);
    if (s != null) {
      s.blocked = true;
    }
  }

  /** Returns the blocked parts, at most {@link #MAX_REPORTED}, by their identifiers. */
  public synchronized List<BlockedPart> blockedParts(long now) {
    prune(now);
    return suspects.values().stream()
        .filter(s -> s.blocked && s.isHardlyAnswered())
        .sorted(Comparator.comparingLong(s -> s.part))
        .limit(MAX_REPORTED)
        .map(
            s ->
                new BlockedPart(
                    s.part,
                    s.wholeRequest,
                    s.crashes.keySet().stream().sorted().limit(MIN_CRASHES).toList()))
        .toList();
  }

  /**
   * Adds parts that were blocked before all processes stopped, as if their crashes had just
   * happened one after the other. Known parts are not renewed, and known crashes keep their times.
   */
  public synchronized void restore(List<BlockedPart> parts, long now) {
    for (BlockedPart b : parts) {
      Suspect s = suspects.computeIfAbsent(b.part(), Suspect::new);
      s.addEarlierCrashes(b.crashes(), now);
      if (s.lastSeenAt == Long.MIN_VALUE) {
        s.lastSeenAt = now;
      }
      s.blocked = true;
      s.wholeRequest |= b.wholeRequest();
    }
    evictIfFull();
  }

  synchronized boolean contains(long part) {
    return suspects.containsKey(part);
  }

  /**
   * Returns the report for another process.
   *
   * @param reporters selects the reporters whose answers are counted
   */
  public synchronized List<PartSuspicion> report(Predicate<String> reporters, long now) {
    prune(now);
    List<Suspect> ranked = ranked(s -> true);
    List<Suspect> first = ranked.subList(0, Math.min(MAX_REPORTED, ranked.size()));
    Stream<Suspect> recent =
        ranked.subList(first.size(), ranked.size()).stream()
            .filter(s -> s.wholeRequest && s.crashes.size() <= MIN_CRASHES)
            .sorted(Comparator.comparingLong((Suspect s) -> s.lastSeenAt).reversed())
            .limit(MAX_RECENT);
    return Stream.concat(first.stream(), recent).map(s -> s.report(reporters, now)).toList();
  }

  /** Removes expired parts; returns whether there were any. */
  synchronized boolean prune(long now) {
    return suspects.values().removeIf(s -> s.isExpired(now));
  }

  Collection<Suspect> suspects() {
    return suspects.values();
  }

  private void evictIfFull() {
    if (suspects.size() > MAX_PARTS) {
      evictIfFull(s -> s.wholeRequest);
      evictIfFull(s -> !s.wholeRequest);
    }
  }

  private void evictIfFull(Predicate<Suspect> kind) {
    if (suspects.values().stream().filter(kind).count() > MAX_PARTS) {
      List<Suspect> all = ranked(kind);
      all.subList(MAX_PARTS, all.size()).forEach(s -> suspects.remove(s.part));
    }
  }

  /** Returns the suspects of a kind by their weights. */
  private List<Suspect> ranked(Predicate<Suspect> kind) {
    return suspects.values().stream()
        .filter(kind)
        .map(s -> new Ranked(s, s.isHardlyAnswered()))
        .sorted(BY_WEIGHT)
        .map(Ranked::suspect)
        .toList();
  }

  /** A suspect and whether it may be the cause, which takes long to compare anew. */
  private record Ranked(Suspect suspect, boolean hardlyAnswered) {}

  /** A suspected request or part. */
  static final class Suspect {
    final long part;
    private final Map<Long, Crash> crashes = new HashMap<>();
    private final Map<String, Long> begun = new HashMap<>();
    private long lastSeenAt = Long.MIN_VALUE;
    private boolean blocked;
    private boolean wholeRequest;

    Suspect(long part) {
      this.part = part;
    }

    private void addCrash(long id, long at, double endedRate) {
      if (crashes.size() < MAX_CRASHES || crashes.containsKey(id)) {
        crashes.merge(id, new Crash(at, endedRate), Crash::merge);
      }
    }

    /** Adds those crashes that are unknown, at different times before the known ones. */
    private void addEarlierCrashes(List<Long> ids, long now) {
      long at = now;
      for (Crash c : crashes.values()) {
        at = Math.min(at, c.at - SIMULTANEOUS_MILLIS);
      }
      for (long id : ids) {
        if (!crashes.containsKey(id)) {
          addCrash(id, at, 0);
          at -= SIMULTANEOUS_MILLIS;
        }
      }
    }

    /** Returns the identifiers of the crashes. */
    Set<Long> crashes() {
      return crashes.keySet();
    }

    /** Returns the crashes that are not among the given ones, in the order of their times. */
    List<Crash> crashesExcept(Set<Long> explained) {
      return crashes.entrySet().stream()
          .filter(e -> !explained.contains(e.getKey()))
          .map(Map.Entry::getValue)
          .sorted(Comparator.comparingLong(Crash::at))
          .toList();
    }

    /** Returns whether a request with all its repetitions is suspected. */
    boolean isWholeRequest() {
      return wholeRequest;
    }

    /** Returns whether an entry has found that chance does not explain the crashes. */
    boolean isBlocked() {
      return blocked;
    }

    /**
     * Returns whether so few answers began on the part that it may be the cause of its crashes. A
     * part that crashes only a quarter of the instances still is.
     */
    boolean isHardlyAnswered() {
      return begun() <= (long) MAX_BEGUN_PER_CRASH * crashes.size();
    }

    private boolean isExpired(long now) {
      long expiry = isHardlyAnswered() ? EXPIRY_MILLIS : ANSWERED_EXPIRY_MILLIS;
      return now - lastSeenAt > expiry;
    }

    /** Returns the number of answers that instances have begun to write on the part. */
    long begun() {
      return begun(r -> true);
    }

    private long begun(Predicate<String> reporters) {
      return begun.entrySet().stream()
          .filter(e -> reporters.test(e.getKey()))
          .mapToLong(Map.Entry::getValue)
          .sum();
    }

    private PartSuspicion report(Predicate<String> reporters, long now) {
      List<PartSuspicion.Crash> out = new ArrayList<>();
      crashes.forEach((id, c) -> out.add(new PartSuspicion.Crash(id, now - c.at, c.endedRate)));
      return new PartSuspicion(
          part, now - lastSeenAt, out, begun(reporters), blocked, wholeRequest);
    }
  }

  /**
   * A crash of an instance.
   *
   * @param at when it happened, in milliseconds
   * @param endedRate the fraction of the requests without the part that instances ended then
   */
  record Crash(long at, double endedRate) {
    private Crash merge(Crash other) {
      return new Crash(Math.min(at, other.at), Math.max(endedRate, other.endedRate));
    }
  }
}
