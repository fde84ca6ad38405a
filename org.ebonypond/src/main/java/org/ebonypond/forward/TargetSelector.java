package org.ebonypond.forward;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.HeadLoad;
import org.ebonypond.serving.ModelProfile;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the instance for a request, or rejects it. A request to a model goes where its predicted
 * end is earliest. It is admitted if its first event can be on time. Requests that are late already
 * leave the last places of a group to others, and are admitted as long as they can end before their
 * deadline.
 */
public final class TargetSelector {
  /** The time on the network and in this process that predictions leave out, in milliseconds. */
  private static final double OVERHEAD_MILLIS = 60;

  /**
   * Requests that cannot be on time take no more than this part of a group's slots. More make new
   * requests late, too, for as long as the load stays high ({@code scripts/experiment}).
   */
  private static final double LATE_PART = 0.6;

  /** Requests that a plain instance may have waiting, as a multiple of those it processes. */
  private static final int PLAIN_QUEUE_FACTOR = 4;

  /** Predictions this close to each other count as equal, so that entries do not all agree. */
  private static final double NOISE = 0.1;

  private static final double FAILURE_COST = 4;

  /** Instances in other zones count as this part slower: links between zones lose packets first. */
  private static final double OTHER_ZONE_COST = 0.3;

  /** A group without an event for this long is passed over; a pass takes 100 ms at most. */
  private static final long OWN_IDLE_MILLIS = 250;

  /** What other entries report is this much older than what this one sees. */
  private static final long OTHERS_IDLE_MILLIS = 600;

  /** Requests with events on time go before those that are late already. */
  private static final int URGENCY_ON_TIME = 3;

  private static final int URGENCY_LATE = 7;

  /** The pause before a return when nothing serves the model now, in milliseconds. */
  private static final long NO_INSTANCE_PAUSE_MILLIS = 1_000;

  /** The pause before a return when everything is full, in milliseconds. */
  private static final long FULL_PAUSE_MILLIS = 700;

  private final String zone;
  private final RandomGenerator random;

  /**
   * Creates a selector.
   *
   * @param zone the availability zone of this entry
   * @param random breaks ties
   */
  public TargetSelector(String zone, RandomGenerator random) {
    this.zone = zone;
    this.random = random;
  }

  /**
   * Chooses an instance.
   *
   * @param need the request
   * @param candidates the instances that serve it and may take a request now
   * @param cost predicts the times of a model's groups; null for a plain service
   * @param entries the processes that share the instances
   * @param now the time in milliseconds
   */
  public Decision choose(
      Need need, List<Candidate> candidates, @Nullable EngineCost cost, int entries, long now) {
    Candidate best = null;
    double bestScore = Double.MAX_VALUE;
    boolean engine = cost != null;
    boolean anyTrusted =
        candidates.stream().anyMatch(c -> isOpen(c, need, now) && isTrusted(c, engine, now));
    for (Candidate c : candidates) {
      if (!isOpen(c, need, now) || (anyTrusted && !isTrusted(c, engine, now))) {
        continue;
      }
      double distance = c.instance().zone().equals(zone) ? 0 : OTHER_ZONE_COST;
      double score = score(need, c, cost, now) * (1 + distance + NOISE * random.nextDouble());
      if (score < bestScore) {
        best = c;
        bestScore = score;
      }
    }
    if (best == null) {
      boolean full = candidates.stream().anyMatch(c -> c.stats().isFull(now));
      return full
          ? Decision.reject("full", FULL_PAUSE_MILLIS)
          : Decision.reject("no-instance", NO_INSTANCE_PAUSE_MILLIS);
    }
    return cost == null
        ? admitPlain(best)
        : admit(need, best, cost, candidates.size() * cost.slots() / entries, now);
  }

  private static boolean isOpen(Candidate c, Need need, long now) {
    return !need.tried().contains(c.instance().id()) && !c.stats().isFull(now);
  }

  /** Returns whether requests at an instance, of this entry or of others, make no progress. */
  private static boolean isStalled(Candidate c, long now) {
    HeadLoad o = c.others();
    boolean own = c.stats().active() > 0 && c.stats().idleMillis(now) > OWN_IDLE_MILLIS;
    boolean others = o != null && o.stalledMillis() > OTHERS_IDLE_MILLIS;
    return own || others;
  }

  private static boolean isTrusted(Candidate c, boolean engine, long now) {
    return !c.stats().isSuspect(now) && !(engine && isStalled(c, now));
  }

  private static double score(Need need, Candidate c, @Nullable EngineCost cost, long now) {
    double failures = 1 + FAILURE_COST * c.stats().failureRate(now);
    if (cost == null) {
      return failures * (c.active() + 1) / Math.max(1, c.instance().slots());
    }
    double first = firstMillis(need, c, cost);
    int events = need.outputTokens() / cost.tokensPerEvent();
    double rest = events * pass(need, c, cost);
    return failures * c.stats().slowness(now) * (first + rest);
  }

  private static double pass(Need need, Candidate c, EngineCost cost) {
    ModelProfile m = need.requireModel();
    return cost.passMillis(m, c.active() + 1, need.promptTokens());
  }

  private static double firstMillis(Need need, Candidate c, EngineCost cost) {
    int events = Math.max(1, need.outputTokens() / cost.tokensPerEvent());
    return cost.firstEventMillis(
        need.requireModel(), c.active(), c.prefillTokens(), need.promptTokens(), events);
  }

  private static Decision admitPlain(Candidate c) {
    int slots = Math.max(1, c.instance().slots());
    return c.active() < slots * PLAIN_QUEUE_FACTOR
        ? Decision.send(c.instance(), URGENCY_ON_TIME, 0)
        : Decision.reject("full", FULL_PAUSE_MILLIS);
  }

  /**
   * Admits a request to a group, or not.
   *
   * @param room the requests that may wait for a place: those that get one within one answer's time
   */
  private static Decision admit(Need need, Candidate c, EngineCost cost, int room, long now) {
    double slowness = c.stats().slowness(now);
    double first = slowness * firstMillis(need, c, cost) + OVERHEAD_MILLIS;
    int events = need.outputTokens() / cost.tokensPerEvent();
    double end = first + slowness * events * pass(need, c, cost);
    if (end > need.remainingMillis()) {
      return Decision.reject("deadline", FULL_PAUSE_MILLIS).withEnd(end);
    }
    if (first <= need.targetMillis()) {
      return Decision.send(c.instance(), URGENCY_ON_TIME, first);
    }
    return c.active() < cost.slots() * LATE_PART
        ? Decision.send(c.instance(), URGENCY_LATE, first)
        : Decision.waitOrReject("full", room, FULL_PAUSE_MILLIS).withEnd(end);
  }

  /**
   * What a request needs.
   *
   * @param model the model, or null for a plain service
   * @param promptTokens the tokens of the prompt
   * @param outputTokens the expected tokens of the answer
   * @param remainingMillis the time until the deadline, in milliseconds
   * @param targetMillis the time that is left for a first event on time, in milliseconds
   * @param tried the identifiers of instances that must not get it again
   */
  public record Need(
      @Nullable ModelProfile model,
      int promptTokens,
      int outputTokens,
      long remainingMillis,
      long targetMillis,
      Set<String> tried) {
    ModelProfile requireModel() {
      if (model == null) {
        throw new IllegalStateException("a request to an engine names no model");
      }
      return model;
    }
  }

  /**
   * An instance that could take a request.
   *
   * @param instance the instance
   * @param stats what this entry knows of it
   * @param others the work of the other entries there, or null if there is none
   */
  public record Candidate(FleetInstance instance, InstanceStats stats, @Nullable HeadLoad others) {
    int active() {
      return stats.active() + (others == null ? 0 : others.active());
    }

    int prefillTokens() {
      return stats.prefillTokens() + (others == null ? 0 : others.prefillTokens());
    }
  }

  /**
   * The outcome of a choice.
   *
   * @param target the instance, or null if the request is rejected
   * @param urgency the rank of the request at the instance; 0 is first
   * @param firstMillis the predicted time to the first event, in milliseconds
   * @param endMillis the predicted time to the end of the answer of a rejected request, in
   *     milliseconds; 0 if no instance was considered
   * @param reason why the request is rejected; empty if it is not
   * @param room if it is rejected for the moment only, the requests that may wait for a place
   * @param pauseMillis the time after which the caller may return, in milliseconds
   */
  public record Decision(
      @Nullable FleetInstance target,
      int urgency,
      double firstMillis,
      double endMillis,
      String reason,
      int room,
      long pauseMillis) {
    static Decision send(FleetInstance target, int urgency, double firstMillis) {
      return new Decision(target, urgency, firstMillis, 0, "", 0, 0);
    }

    static Decision reject(String reason, long pauseMillis) {
      return new Decision(null, 0, 0, 0, reason, 0, pauseMillis);
    }

    private Decision withEnd(double end) {
      return new Decision(target, urgency, firstMillis, end, reason, room, pauseMillis);
    }

    static Decision waitOrReject(String reason, int room, long pauseMillis) {
      return new Decision(null, 0, 0, 0, reason, Math.max(1, room), pauseMillis);
    }
  }
}
