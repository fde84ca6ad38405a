package org.ebonypond.forward;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.serving.ModelProfile;
import org.jspecify.annotations.Nullable;

/**
 * Selects the instance for a request, or refuses the request. A request to a model is sent to the
 * group with the earliest predicted end. It is admitted if its first event is predicted to be on
 * time. Requests that cannot be on time are admitted only to a fraction of the slots of a group,
 * and only if they are predicted to end before their deadline.
 */
public final class TargetSelector {
  /**
   * The time on the network and in this process that predictions do not include, in milliseconds.
   */
  private static final double OVERHEAD_MILLIS = 60;

  /**
   * The maximum fraction of a group's slots in use when a request that cannot be on time is
   * admitted. Above it, new requests become late as well for as long as the load stays high ({@code
   * scripts/experiment}).
   */
  private static final double LATE_FRACTION = 0.6;

  /**
   * The maximum time in milliseconds that the groups need for the prompts of the late requests that
   * all entries have sent and that have no first event yet, as a fraction of the latency target.
   * The remainder is left for new requests, which would otherwise become late behind a backlog.
   */
  private static final double LATE_PREFILL_FRACTION = 0.15;

  /** The maximum number of requests at a plain instance as a multiple of its slots. */
  private static final int PLAIN_LOAD_FACTOR = 4;

  /**
   * The relative random noise on each score, so that entries with the same predictions do not all
   * select the same instance.
   */
  private static final double NOISE = 0.1;

  /** The relative penalty of an instance at which all recent requests failed. */
  private static final double FAILURE_COST = 4;

  /**
   * The relative penalty of instances in other availability zones: links between zones lose packets
   * first.
   */
  private static final double OTHER_ZONE_COST = 0.3;

  /**
   * A group without an event for this time in milliseconds is skipped; a pass takes at most 100 ms.
   */
  private static final long OWN_IDLE_MILLIS = 250;

  /** The same limit for what other entries report, which is older than what this entry observes. */
  private static final long OTHERS_IDLE_MILLIS = 600;

  /** The urgency of requests that can be on time, which precede late ones. */
  private static final int URGENCY_ON_TIME = 3;

  private static final int URGENCY_LATE = 7;

  /** The retry delay for the caller when no instance serves the model, in milliseconds. */
  private static final long NO_INSTANCE_RETRY_MILLIS = 1_000;

  /** The retry delay for the caller when all instances are full, in milliseconds. */
  private static final long FULL_RETRY_MILLIS = 700;

  private final String zone;
  private final RandomGenerator random;

  /**
   * Creates a selector.
   *
   * @param zone the availability zone of this entry
   * @param random adds noise to the scores
   */
  public TargetSelector(String zone, RandomGenerator random) {
    this.zone = zone;
    this.random = random;
  }

  /**
   * Selects an instance.
   *
   * @param need the request
   * @param candidates the instances that serve the model or service
   * @param cost predicts the latencies of a model's groups; null for a plain service
   * @param entries the number of entries that share the instances
   * @param now the time in milliseconds
   */
  public Selection choose(
      Need need, List<Candidate> candidates, @Nullable EngineCost cost, int entries, long now) {
    List<Candidate> accepting = candidates.stream().filter(c -> !c.limited()).toList();
    Candidate best = null;
    double bestScore = Double.MAX_VALUE;
    boolean engine = cost != null;
    boolean anyHealthy =
        accepting.stream().anyMatch(c -> isOpen(c, need, now) && isHealthy(c, engine, now));
    for (Candidate c : accepting) {
      boolean healthy = isHealthy(c, engine, now);
      if (!isOpen(c, need, now) || (anyHealthy && !healthy)) {
        continue;
      }
      if (need.second() && (!healthy || c.active() >= slots(c, cost))) {
        continue;
      }
      double zoneCost = c.instance().zone().equals(zone) ? 0 : OTHER_ZONE_COST;
      double score = score(need, c, cost, now) * (1 + zoneCost + NOISE * random.nextDouble());
      if (score < bestScore) {
        best = c;
        bestScore = score;
      }
    }
    if (best == null) {
      if (need.second() || accepting.stream().anyMatch(c -> c.stats().isFull(now))) {
        return Selection.refuse("full", FULL_RETRY_MILLIS);
      }
      boolean limited = candidates.stream().anyMatch(c -> c.limited() && isOpen(c, need, now));
      return limited
          ? Selection.refuse("limited", FULL_RETRY_MILLIS)
          : Selection.refuse("no-instance", NO_INSTANCE_RETRY_MILLIS);
    }
    return cost == null ? admitPlain(best) : admit(need, best, cost, accepting, entries, now);
  }

  private static boolean isOpen(Candidate c, Need need, long now) {
    return !need.tried().contains(c.instance().id()) && !c.stats().isFull(now);
  }

  /** Returns whether requests of this entry or of others at an instance make no progress. */
  private static boolean isStalled(Candidate c) {
    InstanceLoad load = c.loadOfOthers();
    boolean ownStalled = c.stats().idleMillis() > OWN_IDLE_MILLIS;
    boolean othersStalled = load != null && load.stalledMillis() > OTHERS_IDLE_MILLIS;
    return ownStalled || othersStalled;
  }

  private static boolean isHealthy(Candidate c, boolean engine, long now) {
    return !c.stats().isSuspect(now) && !(engine && isStalled(c));
  }

  private static double score(Need need, Candidate c, @Nullable EngineCost cost, long now) {
    double failures = 1 + FAILURE_COST * c.stats().failureRate(now);
    if (cost == null) {
      return failures * (c.active() + 1) / Math.max(1, c.instance().slots());
    }
    double first = firstMillis(need, c, cost);
    int events = need.outputTokens() / cost.tokensPerEvent();
    double rest = events * nextPassMillis(need, c, cost);
    return failures * c.stats().slowness(now) * (first + rest);
  }

  private static double nextPassMillis(Need need, Candidate c, EngineCost cost) {
    ModelProfile m = need.requireModel();
    return cost.passMillis(m, c.active() + 1, need.promptTokens());
  }

  private static double firstMillis(Need need, Candidate c, EngineCost cost) {
    int events = Math.max(1, need.outputTokens() / cost.tokensPerEvent());
    return cost.firstEventMillis(
        need.requireModel(), c.active(), c.prefillTokens(), need.promptTokens(), events);
  }

  private static int slots(Candidate c, @Nullable EngineCost cost) {
    return cost == null ? Math.max(1, c.instance().slots()) : cost.slots();
  }

  private static Selection admitPlain(Candidate c) {
    return c.active() < slots(c, null) * PLAIN_LOAD_FACTOR
        ? Selection.send(c.instance(), URGENCY_ON_TIME, 0)
        : Selection.refuse("full", FULL_RETRY_MILLIS);
  }

  /** Decides whether a request is sent to a group, may wait or is refused. */
  private static Selection admit(
      Need need, Candidate c, EngineCost cost, List<Candidate> groups, int entries, long now) {
    double slowness = c.stats().slowness(now);
    double first = slowness * firstMillis(need, c, cost) + OVERHEAD_MILLIS;
    int events = need.outputTokens() / cost.tokensPerEvent();
    double end = first + slowness * events * nextPassMillis(need, c, cost);
    if (end > need.remainingMillis()) {
      return Selection.refuse("no-time", FULL_RETRY_MILLIS).withEnd(end);
    }
    if (first <= need.targetMillis()) {
      return Selection.send(c.instance(), URGENCY_ON_TIME, first);
    }
    if (c.active() < cost.slots() * LATE_FRACTION
        && isWithinLateShare(need, cost, groups, entries)) {
      return Selection.send(c.instance(), URGENCY_LATE, first);
    }
    // As many requests may wait as get a slot within the duration of one answer.
    int waitingLimit = groups.size() * cost.slots() / entries;
    return Selection.waitOrRefuse("full", waitingLimit, FULL_RETRY_MILLIS).withEnd(end);
  }

  /**
   * Returns whether this entry may send a late request in addition to its late requests without a
   * first event. Each entry has an equal share, since it learns too late what the others send at
   * the same moment; one request is always allowed.
   */
  private static boolean isWithinLateShare(
      Need need, EngineCost cost, List<Candidate> groups, int entries) {
    int pendingTokens = groups.stream().mapToInt(g -> g.stats().latePrefillTokens()).sum();
    double shareMillis = LATE_PREFILL_FRACTION * need.routeTargetMillis() * groups.size() / entries;
    int tokens = pendingTokens + need.promptTokens();
    return pendingTokens == 0 || cost.prefillMillis(need.requireModel(), tokens) <= shareMillis;
  }

  /**
   * The requirements of a request.
   *
   * @param model the model, or null for a plain service
   * @param promptTokens the tokens of the prompt
   * @param outputTokens the expected tokens of the answer
   * @param remainingMillis the time until the deadline, in milliseconds
   * @param targetMillis the remaining time until the first event is late, in milliseconds
   * @param routeTargetMillis the time from the arrival of a request of this route until its first
   *     event is late, in milliseconds
   * @param second whether an earlier attempt is still in progress; a second one takes a free slot
   *     only, so that it delays no other request
   * @param tried the identifiers of instances that must not receive the request again
   */
  public record Need(
      @Nullable ModelProfile model,
      int promptTokens,
      int outputTokens,
      long remainingMillis,
      long targetMillis,
      long routeTargetMillis,
      boolean second,
      Set<String> tried) {
    ModelProfile requireModel() {
      if (model == null) {
        throw new IllegalStateException("a request to an engine has no model");
      }
      return model;
    }
  }

  /**
   * An instance that can be selected for a request.
   *
   * @param instance the instance
   * @param stats this entry's statistics of it
   * @param loadOfOthers the load from other entries, or null if there is none
   * @param limited whether it accepts no request of this entry now because of the limit that it
   *     names
   */
  public record Candidate(
      FleetInstance instance,
      InstanceStats stats,
      @Nullable InstanceLoad loadOfOthers,
      boolean limited) {
    int active() {
      return stats.active() + (loadOfOthers == null ? 0 : loadOfOthers.active());
    }

    int prefillTokens() {
      return stats.prefillTokens() + (loadOfOthers == null ? 0 : loadOfOthers.prefillTokens());
    }
  }

  /**
   * The result of a selection.
   *
   * @param target the instance, or null if the request is refused or may wait
   * @param urgency the priority of the request at the instance; 0 is the highest
   * @param firstMillis the predicted time to the first event, in milliseconds
   * @param endMillis the predicted time to the end of the answer of a request that is not sent, in
   *     milliseconds; 0 if no instance was considered
   * @param reason the reason why the request is not sent; empty if the request is sent
   * @param waitingLimit the maximum number of requests that may wait instead of being refused; 0 if
   *     the request must not wait
   * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
   */
  public record Selection(
      @Nullable FleetInstance target,
      int urgency,
      double firstMillis,
      double endMillis,
      String reason,
      int waitingLimit,
      long retryAfterMillis) {
    /** Returns whether the request was admitted although it cannot be on time. */
    public boolean late() {
      return urgency == URGENCY_LATE;
    }

    static Selection send(FleetInstance target, int urgency, double firstMillis) {
      return new Selection(target, urgency, firstMillis, 0, "", 0, 0);
    }

    static Selection refuse(String reason, long retryAfterMillis) {
      return new Selection(null, 0, 0, 0, reason, 0, retryAfterMillis);
    }

    private Selection withEnd(double end) {
      return new Selection(
          target, urgency, firstMillis, end, reason, waitingLimit, retryAfterMillis);
    }

    static Selection waitOrRefuse(String reason, int waitingLimit, long retryAfterMillis) {
      return new Selection(null, 0, 0, 0, reason, Math.max(1, waitingLimit), retryAfterMillis);
    }
  }
}
