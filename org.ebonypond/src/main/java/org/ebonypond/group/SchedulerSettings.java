package org.ebonypond.group;

/**
 * The timeouts and limits of the order scheduler.
 *
 * @param orderTimeoutMillis the timeout of an order or a read, after which it can no longer arrive
 * @param takeoverWaitMillis how long a new leader waits before it reads the state of engines that
 *     ignore fencing numbers: one leader lease of 2 s plus the order timeout
 * @param readIntervalMillis the interval between reads of the state of a loading engine
 * @param unloadDelayMillis how long a freed instance keeps its model for reuse by a new group
 * @param backoffMillis the first delay before a retry; doubles with each failure
 * @param maxBackoffMillis the upper bound of the retry delay
 * @param maxLoadingGroups the maximum number of groups that load concurrently, because the weight
 *     store limits the rate
 * @param loadSlotMillis the time after which a group that is still loading no longer counts towards
 *     the limit
 * @param maxReadsPerPoll the maximum number of state reads that one poll of the scheduler starts
 */
public record SchedulerSettings(
    long orderTimeoutMillis,
    long takeoverWaitMillis,
    long readIntervalMillis,
    long unloadDelayMillis,
    long backoffMillis,
    long maxBackoffMillis,
    int maxLoadingGroups,
    long loadSlotMillis,
    int maxReadsPerPoll) {
  /** The defaults. */
  public static final SchedulerSettings DEFAULT =
      new SchedulerSettings(2_000, 4_000, 500, 60_000, 250, 5_000, 32, 900_000, 500);
}
