package org.ebonypond.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Estimates the load of each target from its last report and from the requests of this entry (the
 * own requests). A report covers the requests that were at the target when it was measured, so the
 * estimate adds the own requests that started later and subtracts the own requests that ended
 * later. It is never below the own requests in flight. Thread-safe; the targets are sharded.
 */
public final class LoadEstimator {
  /** The age in milliseconds beyond which a report is no longer used. */
  public static final long REPORT_TTL_MILLIS = 5_000;

  /**
   * The assumed network delay of a request or an answer in milliseconds, across availability zones.
   * A report does not yet cover requests that were sent within this time before it.
   */
  static final long TRANSIT_MILLIS = 5;

  /** The maximum number of ended requests kept per target, which a late report may still cover. */
  private static final int MAX_ENDED = 256;

  private static final int SHARDS = 64;

  private final Shard[] shards = new Shard[SHARDS];

  /** Creates an estimator without targets. */
  public LoadEstimator() {
    for (int i = 0; i < SHARDS; i++) {
      shards[i] = new Shard();
    }
  }

  private Shard shard(String key) {
    int h = key.hashCode();
    return shards[(h ^ (h >>> 16)) & (SHARDS - 1)];
  }

  /**
   * Counts a request at a target unless its maximum concurrency is reached.
   *
   * @param target the target
   * @param tokens the expected tokens of the request
   * @param nowMillis the monotonic time in milliseconds
   * @return the handle of the request, or null if the target is full
   */
  public @Nullable Ticket tryStart(Target target, long tokens, long nowMillis) {
    Shard s = shard(target.key());
    synchronized (s) {
      TargetLoad load = s.current(target.key(), target.boot());
      if (load.estimate(nowMillis).requests() >= target.maxConcurrency()) {
        return null;
      }
      Ticket t = new Ticket(s, load, Math.max(0, tokens), nowMillis);
      load.start(t);
      return t;
    }
  }

  /**
   * Ends a request.
   *
   * @param ticket the handle; must not have ended before
   * @param nowMillis the monotonic time in milliseconds
   * @throws EbonypondException {@code invariant-violated} if the request has already ended
   */
  public void end(Ticket ticket, long nowMillis) {
    synchronized (ticket.shard) {
      ticket.load.end(ticket, nowMillis);
    }
  }

  /**
   * Applies a load report of a target; ignored if it is from another boot, or not newer than the
   * last report.
   */
  public void onReport(Target target, LoadReport report) {
    if (!report.boot().equals(target.boot())) {
      return;
    }
    Shard s = shard(target.key());
    synchronized (s) {
      s.current(target.key(), target.boot()).report(report);
    }
  }

  /** Returns the estimated load of a target. */
  public LoadEstimate estimate(Target target, long nowMillis) {
    Shard s = shard(target.key());
    synchronized (s) {
      TargetLoad load = s.loads.get(target.key());
      return load == null || !load.boot.equals(target.boot())
          ? new LoadEstimate(0, 0)
          : load.estimate(nowMillis);
    }
  }

  /** Returns the own requests in flight at a target, over all its boot identities. */
  public int inFlight(String key) {
    Shard s = shard(key);
    synchronized (s) {
      return s.inFlight.getOrDefault(key, 0);
    }
  }

  /** Removes the targets that are not in the set and have no requests in flight. */
  public void retain(Set<String> keys) {
    for (Shard s : shards) {
      synchronized (s) {
        // A target that returns with the same boot identity still runs the requests sent before.
        s.loads
            .entrySet()
            .removeIf(e -> !keys.contains(e.getKey()) && e.getValue().running.isEmpty());
      }
    }
  }

  private static final class Shard {
    private final Map<String, TargetLoad> loads = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();

    TargetLoad current(String key, String boot) {
      TargetLoad load = loads.get(key);
      if (load == null || !load.boot.equals(boot)) {
        load = new TargetLoad(this, key, boot);
        loads.put(key, load);
      }
      return load;
    }
  }

  /** The load of one boot of a target; guarded by its shard. */
  private static final class TargetLoad {
    private final Shard shard;
    private final String key;
    private final String boot;
    private final Set<Ticket> running = new LinkedHashSet<>();
    private final ArrayDeque<Ended> ended = new ArrayDeque<>();
    private long ownTokens;
    private @Nullable LoadReport report;
    // The own requests in flight that the report does not cover, and their tokens.
    private int uncovered;
    private long uncoveredTokens;
    // The own requests that the report covers and that have ended since, and the tokens of covered
    // requests that were processed or dropped since.
    private int endedSince;
    private long endedTokens;

    TargetLoad(Shard shard, String key, String boot) {
      this.shard = shard;
      this.key = key;
      this.boot = boot;
    }

    void start(Ticket t) {
      running.add(t);
      shard.inFlight.merge(key, 1, Integer::sum);
      ownTokens += t.remaining;
      t.uncovered = true;
      uncovered++;
      uncoveredTokens += t.remaining;
    }

    void progress(Ticket t, long tokens) {
      long processed = Math.min(t.remaining, Math.max(0, tokens));
      if (!running.contains(t)) {
        return;
      }
      t.remaining -= processed;
      ownTokens -= processed;
      if (t.uncovered) {
        uncoveredTokens -= processed;
      } else {
        endedTokens += processed;
      }
    }

    void end(Ticket t, long now) {
      if (!running.remove(t)) {
        throw new EbonypondException(
            ErrorCode.INVARIANT_VIOLATED, key + ": a request was ended twice");
      }
      int left = shard.inFlight.merge(key, -1, Integer::sum);
      if (left == 0) {
        shard.inFlight.remove(key);
      }
      ownTokens -= t.remaining;
      if (left < 0 || ownTokens < 0) {
        throw new EbonypondException(
            ErrorCode.INVARIANT_VIOLATED,
            key + ": the own load is negative: " + left + "/" + ownTokens);
      }
      if (t.uncovered) {
        uncovered--;
        uncoveredTokens -= t.remaining;
      } else {
        endedSince++;
        endedTokens += t.remaining;
      }
      ended.addLast(new Ended(t.startedAt, now, t.remaining));
      if (ended.size() > MAX_ENDED) {
        ended.removeFirst();
      }
    }

    void report(LoadReport r) {
      if (report != null && r.measuredAtMillis() <= report.measuredAtMillis()) {
        return;
      }
      report = r;
      uncovered = 0;
      uncoveredTokens = 0;
      for (Ticket t : running) {
        t.uncovered = t.startedAt > r.measuredAtMillis() - TRANSIT_MILLIS;
        if (t.uncovered) {
          uncovered++;
          uncoveredTokens += t.remaining;
        }
      }
      endedSince = 0;
      endedTokens = 0;
      long coveredUntil = r.measuredAtMillis() - TRANSIT_MILLIS;
      ended.removeIf(e -> e.endedAt < r.measuredAtMillis() + TRANSIT_MILLIS);
      for (Ended e : ended) {
        if (e.startedAt <= coveredUntil) {
          endedSince++;
          endedTokens += e.remaining;
        }
      }
    }

    LoadEstimate estimate(long now) {
      LoadReport r = report;
      if (r == null || now - r.measuredAtMillis() > REPORT_TTL_MILLIS) {
        return new LoadEstimate(running.size(), ownTokens);
      }
      int requests = Math.max(0, r.active() + r.waiting() - endedSince) + uncovered;
      long tokens = Math.max(0, r.tokens() - endedTokens) + uncoveredTokens;
      return new LoadEstimate(Math.max(running.size(), requests), Math.max(ownTokens, tokens));
    }
  }

  private record Ended(long startedAt, long endedAt, long remaining) {}

  /** The handle of a request that is counted at a target. */
  public static final class Ticket {
    private final Shard shard;
    private final TargetLoad load;
    private final long expectedTokens;
    private final long startedAt;
    private long remaining;
    private boolean uncovered;

    private Ticket(Shard shard, TargetLoad load, long tokens, long startedAt) {
      this.shard = shard;
      this.load = load;
      this.expectedTokens = tokens;
      this.remaining = tokens;
      this.startedAt = startedAt;
    }

    /** Returns the tokens expected at the start. */
    public long expectedTokens() {
      return expectedTokens;
    }

    /** Records tokens processed or produced since the last call. */
    public void progress(long tokens) {
      synchronized (shard) {
        load.progress(this, tokens);
      }
    }
  }
}
