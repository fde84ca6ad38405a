package org.ebonypond.group;

/**
 * The times and bounds of the order scheduler.
 *
 * @param orderTimeoutMillis after this time an order or a read has no answer and cannot arrive any
 *     more
 * @param takeoverWaitMillis how long a new leader waits before it reads the state of engines that
 *     ignore fencing numbers: one leader lease of 2 s plus the order timeout
 * @param readIntervalMillis how often the state of a loading engine is read
 * @param unloadDelayMillis how long a freed instance keeps its model, in case a new group uses it
 * @param backoffMillis the first delay before a retry; doubles with each failure
 * @param maxBackoffMillis the longest delay before a retry
 * @param maxLoadingGroups the most groups that load at once, because the weight store limits the
 *     rate
 * @param loadSlotMillis after this time a group that still loads no longer counts towards the limit
 * @param maxReadsPerPoll the most state reads that one call of the scheduler starts
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
  /** The settings in use unless the operator sets others. */
  public static final SchedulerSettings DEFAULT =
      new SchedulerSettings(2_000, 4_000, 500, 60_000, 250, 5_000, 32, 900_000, 500);
}
