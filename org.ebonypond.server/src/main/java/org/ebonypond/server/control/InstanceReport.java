package org.ebonypond.server.control;

import java.util.List;
import org.ebonypond.group.InstanceAnnouncement;

/**
 * Announcements that an entry forwards to the control leader.
 *
 * @param items the announcements, at most one for each instance
 */
public record InstanceReport(List<Item> items) {
  /** Copies the list. */
  public InstanceReport {
    items = List.copyOf(items);
  }

  /**
   * One announcement.
   *
   * @param announcement the announcement of the backend server
   * @param load the load that it reported
   */
  public record Item(InstanceAnnouncement announcement, ReportedLoad load) {}
}
