package org.ebonypond.trace;

import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.SchedulerSettings;

/**
 * The first line of a trace; states the format, and the policy and settings on which the decisions
 * depend.
 *
 * @param format always {@link #FORMAT}
 * @param formatVersion the version of the format
 * @param policy the name of the placement policy
 * @param planner the settings of the planner
 * @param scheduler the settings of the order scheduler
 */
public record TraceHeader(
    String format,
    int formatVersion,
    String policy,
    PlannerSettings planner,
    SchedulerSettings scheduler) {
  /** The name of the format. */
  public static final String FORMAT = "ebonypond-trace";

  /** The version that this release writes, and the only one that it reads. */
  public static final int VERSION = 1;

  /** Creates a header of the current format. */
  public TraceHeader(String policy, PlannerSettings planner, SchedulerSettings scheduler) {
    this(FORMAT, VERSION, policy, planner, scheduler);
  }
}
