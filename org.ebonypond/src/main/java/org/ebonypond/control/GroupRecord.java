package org.ebonypond.control;

import java.util.List;

/**
 * A group of instances that together hold one replica of a model.
 *
 * @param group the group's name, unique and never reused
 * @param model the model's name
 * @param version the model's version
 * @param zone the availability zone of all members
 * @param domain the fabric domain of all members
 * @param members the members by rank; rank 0 takes the requests
 * @param state the life cycle state
 * @param epoch the log index of the command that last changed the members or the state; the fencing
 *     number of the group's orders
 * @param readyIndex the log index at which the group last became ready, or 0
 */
public record GroupRecord(
    String group,
    String model,
    String version,
    String zone,
    String domain,
    List<GroupMember> members,
    GroupState state,
    long epoch,
    long readyIndex) {
  /** Copies the member list. */
  public GroupRecord {
    members = List.copyOf(members);
  }

  /** Returns whether the instance is a member. */
  public boolean hasMember(String instance) {
    return members.stream().anyMatch(m -> m.instance().equals(instance));
  }
}
