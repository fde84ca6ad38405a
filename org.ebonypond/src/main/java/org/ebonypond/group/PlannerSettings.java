package org.ebonypond.group;

/**
 * The timeouts and limits of the planner.
 *
 * @param waitForReturnMillis how long a group without a spare waits for its missing members; covers
 *     a pause or a short partition, but not a restart, during which the others would be idle
 * @param leavingGraceMillis how long a group with a leaving member keeps serving while its
 *     replacement loads; with detection and propagation it stays below the 5 s after which a
 *     leaving backend server must receive no new work
 * @param minDrainMillis the minimum time between draining and dissolving a group; covers the 3 s
 *     for which an entry may still use an older view
 * @param drainMarginMillis the time added to the default deadline after which a drain ends even if
 *     requests are still reported
 * @param zoneHoldMillis how long a complete group of an availability zone that is out stays loaded,
 *     so that it serves again soon after the zone returns
 * @param maxMovesInFlight the maximum number of groups in replacement at a time because they no
 *     longer match the document
 * @param quarantineMillis the duration of the first quarantine of a flapping instance; doubles with
 *     each restart
 * @param maxQuarantineMillis the maximum duration of a quarantine
 * @param flapWindowMillis the time after which an instance without a restart counts as stable
 */
public record PlannerSettings(
    long waitForReturnMillis,
    long leavingGraceMillis,
    long minDrainMillis,
    long drainMarginMillis,
    long zoneHoldMillis,
    int maxMovesInFlight,
    long quarantineMillis,
    long maxQuarantineMillis,
    long flapWindowMillis) {
  /** The defaults. */
  public static final PlannerSettings DEFAULT =
      new PlannerSettings(10_000, 2_500, 4_000, 5_000, 600_000, 16, 10_000, 600_000, 900_000);
}
