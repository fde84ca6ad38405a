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
 * @param members the members by rank; rank 0 receives the requests
 * @param state the life cycle state
 * @param epoch the log index of the command that last changed the members or the state, except for
 *     the change to ready, which keeps the epoch; also the fencing number of orders to the members
 * @param readyIndex the log index at which the group last became ready, or 0
 * @param adapters the adapters that are loaded with the model
 * @param reason why the group is draining or down, or an empty string
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
    long readyIndex,
    List<String> adapters,
    String reason) {
  /** The reason for draining a group whose availability zone is out of service. */
  public static final String ZONE_OUT = "zone-out";

  /** Copies the lists. */
  public GroupRecord {
    members = List.copyOf(members);
    adapters = List.copyOf(adapters);
  }

  /** Creates a group without adapters. */
  public GroupRecord(
      String group,
      String model,
      String version,
      String zone,
      String domain,
      List<GroupMember> members,
      GroupState state,
      long epoch,
      long readyIndex) {
    this(group, model, version, zone, domain, members, state, epoch, readyIndex, List.of(), "");
  }

  /** Returns a copy with another state, epoch and reason. */
  public GroupRecord withState(GroupState s, long index, String newReason) {
    return new GroupRecord(
        group, model, version, zone, domain, members, s, index, readyIndex, adapters, newReason);
  }

  /** Returns a copy that is ready in its current epoch since a log index. */
  public GroupRecord withReady(long index) {
    return new GroupRecord(
        group, model, version, zone, domain, members, GroupState.READY, epoch, index, adapters, "");
  }

  /** Returns a copy with other members, state and epoch. */
  public GroupRecord withMembers(
      List<GroupMember> list, GroupState s, long index, String newReason) {
    return new GroupRecord(
        group, model, version, zone, domain, list, s, index, readyIndex, adapters, newReason);
  }

  /** Returns whether an instance is a member. */
  public boolean hasMember(String instance) {
    return rankOf(instance) >= 0;
  }

  /** Returns the rank of an instance, or -1 if it is not a member. */
  public int rankOf(String instance) {
    for (int i = 0; i < members.size(); i++) {
      if (members.get(i).instance().equals(instance)) {
        return i;
      }
    }
    return -1;
  }
}
