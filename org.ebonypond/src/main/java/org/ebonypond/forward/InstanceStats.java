package org.ebonypond.forward;

import java.util.function.LongSupplier;

/** Statistics of one entry about one instance, from its own requests. Not thread-safe. */
public final class InstanceStats {
  private static final long FIRST_SUSPICION_MILLIS = 1_000;
  private static final long LONGEST_SUSPICION_MILLIS = 8_000;

  /**
   * How long a stalled instance without requests is skipped, in milliseconds. A sound instance may
   * be silent for a second; the next request must find that it goes on before its group is given up
   * as stalled, after 2.5 s.
   */
  private static final long STALLED_MILLIS = 1_000;

  /**
   * The time in milliseconds for which an instance is skipped after it refused a request because it
   * is full.
   */
  private static final long FULL_MILLIS = 150;

  /** The weight of a new observation in the moving average of the slowness. */
  private static final double SLOWNESS_WEIGHT = 0.15;

  private static final double MAX_SLOWNESS = 20;

  /** The weight of a new answer in the moving average of the failures. */
  private static final double FAILURE_WEIGHT = 0.2;

  /** The half-life in milliseconds of the last observation when no new ones arrive. */
  private static final double HALF_LIFE_MILLIS = 2_500;

  private final LongSupplier readingMillis;
  private long epoch;
  private int active;
  private int paused;
  private int prefillTokens;
  private int latePrefillTokens;
  private long lastProgress = Long.MIN_VALUE;
  private long suspectUntil = Long.MIN_VALUE;
  private long fullUntil = Long.MIN_VALUE;
  private long failingSince = Long.MIN_VALUE;
  private boolean stalled;
  private long stalledUntil = Long.MIN_VALUE;
  private int failures;
  private double slowness = 1;
  private long slownessAt;
  private double failureRate;
  private long failureAt;

  /**
   * Creates statistics of an instance to which nothing was sent.
   *
   * @param readingMillis the time in which this entry could read what arrived, in milliseconds; how
   *     long the instance is silent or fails is measured by it
   */
  public InstanceStats(LongSupplier readingMillis) {
    this.readingMillis = readingMillis;
  }

  /**
   * Sets the epoch of the group whose head the instance is; resets the statistics if it changed.
   */
  public void onGroupEpoch(long groupEpoch) {
    if (groupEpoch != epoch) {
      epoch = groupEpoch;
      suspectUntil = Long.MIN_VALUE;
      stalled = false;
      failingSince = Long.MIN_VALUE;
      failures = 0;
      slowness = 1;
      failureRate = 0;
    }
  }

  /** Returns the epoch of the group whose head the instance is; 0 if it is no head. */
  public long epoch() {
    return epoch;
  }

  /**
   * Records that a request is sent.
   *
   * @param tokens the number of its prompt tokens
   * @param late whether it has missed its latency target already
   */
  public void started(int tokens, boolean late) {
    beginSilence();
    active++;
    prefillTokens += tokens;
    latePrefillTokens += late ? tokens : 0;
  }

  /** Starts to measure the silence if no answer was read that could have ended it. */
  private void beginSilence() {
    if (isUnread()) {
      lastProgress = readingMillis.getAsLong();
    }
  }

  /** Records that the answer to a request is not read for now because its caller is slow. */
  public void paused() {
    paused++;
  }

  /** Records that the answer to a request is read again. */
  public void resumed() {
    beginSilence();
    paused--;
  }

  /** Records the first event of a request, which shows that its prompt tokens are processed. */
  public void prefilled(int tokens, boolean late) {
    prefillTokens -= tokens;
    latePrefillTokens -= late ? tokens : 0;
  }

  /**
   * Records that a request has ended, which is not paused.
   *
   * @param tokensNotPrefilled its prompt tokens; 0 if its first event was recorded
   * @param late whether it had missed its latency target when it was sent
   */
  public void ended(int tokensNotPrefilled, boolean late) {
    active--;
    prefilled(tokensNotPrefilled, late);
  }

  /** Records that bytes arrived. */
  public void progressed() {
    lastProgress = readingMillis.getAsLong();
    failingSince = Long.MIN_VALUE;
    stalled = false;
  }

  /** Records that a request ended successfully. */
  public void succeeded(long now) {
    failures = 0;
    suspectUntil = Long.MIN_VALUE;
    failureRate = failureRate(now) * (1 - FAILURE_WEIGHT);
    failureAt = now;
  }

  /** Records that the instance was unreachable or aborted a request. */
  public void failed(long now) {
    long suspicionMillis = FIRST_SUSPICION_MILLIS << Math.min(failures, 3);
    failures++;
    suspectUntil = now + Math.min(suspicionMillis, LONGEST_SUSPICION_MILLIS);
    startFailing();
    answeredFailure(now);
  }

  private void startFailing() {
    if (failingSince == Long.MIN_VALUE) {
      failingSince = readingMillis.getAsLong();
    }
  }

  /**
   * Records that requests make no progress for too long. The instance is skipped until bytes arrive
   * again. If no request is left there, one at a time is sent after a while, to show whether it
   * goes on.
   */
  public void stalled(long now) {
    stalled = true;
    stalledUntil = now + STALLED_MILLIS;
    startFailing();
  }

  /** Records an answer with which the instance reports an internal failure. */
  public void answeredFailure(long now) {
    failureRate = failureRate(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
    failureAt = now;
  }

  /** Records that the instance refused a request because it is full. */
  public void recordFull(long now) {
    fullUntil = now + FULL_MILLIS;
  }

  /** Records the observed and the predicted time between two events. */
  public void recordPace(double observedMillis, double predictedMillis, long now) {
    if (predictedMillis > 0) {
      double ratio = Math.min(MAX_SLOWNESS, observedMillis / predictedMillis);
      slowness = slowness(now) * (1 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT;
      slownessAt = now;
    }
  }

  /** Returns the factor by which the instance is slower than predicted; 1 if it is as fast. */
  public double slowness(long now) {
    double excess = slowness - 1;
    return 1 + excess * decay(now - slownessAt);
  }

  /** Returns the recent fraction of failed requests, 0 to 1. */
  public double failureRate(long now) {
    return failureRate * decay(now - failureAt);
  }

  /** Returns whether the instance should be skipped because of recent failures. */
  public boolean isSuspect(long now) {
    return now < suspectUntil || (stalled && (active > 0 || now < stalledUntil));
  }

  /**
   * Returns the time in milliseconds since the first failure after the last progress; 0 if there is
   * none.
   */
  public long failingMillis() {
    return failingSince == Long.MIN_VALUE
        ? 0
        : Math.max(1, readingMillis.getAsLong() - failingSince);
  }

  /** Returns whether the instance recently refused a request because it is full. */
  public boolean isFull(long now) {
    return now < fullUntil;
  }

  /** Returns the number of requests in flight. */
  public int active() {
    return active;
  }

  /** Returns the prompt tokens of the requests without a first event. */
  public int prefillTokens() {
    return Math.max(0, prefillTokens);
  }

  /** Returns the prompt tokens of the requests that were sent late and have no first event. */
  public int latePrefillTokens() {
    return Math.max(0, latePrefillTokens);
  }

  /**
   * Returns whether no answer is read, so that nothing is known of the progress of the instance.
   */
  public boolean isUnread() {
    return active == paused;
  }

  /** Returns the time in milliseconds since bytes last arrived; 0 if no answer is read. */
  public long idleMillis() {
    return isUnread() ? 0 : readingMillis.getAsLong() - lastProgress;
  }

  private static double decay(long millis) {
    return Math.pow(0.5, Math.max(0, millis) / HALF_LIFE_MILLIS);
  }
}
