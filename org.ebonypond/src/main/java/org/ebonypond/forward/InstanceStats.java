package org.ebonypond.forward;

/** What one entry knows about one instance from its own requests. Not thread-safe. */
public final class InstanceStats {
  private static final long FIRST_SUSPICION_MILLIS = 1_000;
  private static final long LONGEST_SUSPICION_MILLIS = 8_000;

  /** Full instances are passed over for this long after they refused a request. */
  private static final long FULL_MILLIS = 150;

  private static final double SLOWNESS_WEIGHT = 0.15;
  private static final double MAX_SLOWNESS = 20;
  private static final double FAILURE_WEIGHT = 0.2;

  /** Without new observations, an old one loses half of its weight in this time. */
  private static final double HALF_LIFE_MILLIS = 2_500;

  private long epoch;
  private int active;
  private int prefillTokens;
  private long lastProgress = Long.MIN_VALUE;
  private long suspectUntil = Long.MIN_VALUE;
  private long fullUntil = Long.MIN_VALUE;
  private long distrustedSince = Long.MIN_VALUE;
  private int failures;
  private double slowness = 1;
  private long slownessAt;
  private double failureRate;
  private long failureAt;

  /** Forgets what an earlier group did that the instance led. */
  public void leads(long groupEpoch) {
    if (groupEpoch != epoch) {
      epoch = groupEpoch;
      suspectUntil = Long.MIN_VALUE;
      distrustedSince = Long.MIN_VALUE;
      failures = 0;
      slowness = 1;
      failureRate = 0;
    }
  }

  /** Returns the epoch of the group that the instance leads; 0 if it leads none. */
  public long epoch() {
    return epoch;
  }

  /** Counts a request that is sent. */
  public void started(int tokens, long now) {
    if (active == 0) {
      lastProgress = now;
    }
    active++;
    prefillTokens += tokens;
  }

  /** Counts the first event of a request. */
  public void prefilled(int tokens) {
    prefillTokens -= tokens;
  }

  /** Counts a request that has ended. */
  public void ended(int tokensNotPrefilled) {
    active--;
    prefillTokens -= tokensNotPrefilled;
  }

  /** Notes that bytes arrived. */
  public void progressed(long now) {
    lastProgress = now;
    distrustedSince = Long.MIN_VALUE;
  }

  /** Notes a request that ended well. */
  public void succeeded(long now) {
    failures = 0;
    suspectUntil = Long.MIN_VALUE;
    failureRate = failureRate(now) * (1 - FAILURE_WEIGHT);
    failureAt = now;
  }

  /** Notes that the instance could not be reached, or broke a request off. */
  public void failed(long now) {
    long pause = FIRST_SUSPICION_MILLIS << Math.min(failures, 3);
    failures++;
    suspectUntil = now + Math.min(pause, LONGEST_SUSPICION_MILLIS);
    if (distrustedSince == Long.MIN_VALUE) {
      distrustedSince = now;
    }
    answeredFailure(now);
  }

  /** Notes an answer that reports a failure of the instance's own. */
  public void answeredFailure(long now) {
    failureRate = failureRate(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
    failureAt = now;
  }

  /** Notes that the instance refused a request because it is full. */
  public void full(long now) {
    fullUntil = now + FULL_MILLIS;
  }

  /** Notes the time between two events against the predicted one. */
  public void pace(double observedMillis, double predictedMillis, long now) {
    if (predictedMillis > 0) {
      double ratio = Math.min(MAX_SLOWNESS, observedMillis / predictedMillis);
      slowness = slowness(now) * (1 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT;
      slownessAt = now;
    }
  }

  /** Returns the factor by which the instance is slower than predicted, 1 if it is not. */
  public double slowness(long now) {
    double excess = slowness - 1;
    return 1 + excess * decay(now - slownessAt);
  }

  /** Returns the recent share of failures, 0 to 1. */
  public double failureRate(long now) {
    return failureRate * decay(now - failureAt);
  }

  /** Returns whether the instance should be passed over because of recent failures. */
  public boolean isSuspect(long now) {
    return now < suspectUntil;
  }

  /** Returns the time since requests began to fail without any progress; 0 if they do not. */
  public long distrustMillis(long now) {
    return distrustedSince == Long.MIN_VALUE ? 0 : Math.max(1, now - distrustedSince);
  }

  /** Returns whether the instance has just refused a request because it is full. */
  public boolean isFull(long now) {
    return now < fullUntil;
  }

  /** Returns the requests in flight. */
  public int active() {
    return active;
  }

  /** Returns the prompt tokens of requests that have had no event. */
  public int prefillTokens() {
    return Math.max(0, prefillTokens);
  }

  /** Returns the time since the last bytes of any request in flight; 0 if there is none. */
  public long idleMillis(long now) {
    return active == 0 ? 0 : now - lastProgress;
  }

  private static double decay(long millis) {
    return Math.pow(0.5, Math.max(0, millis) / HALF_LIFE_MILLIS);
  }
}
