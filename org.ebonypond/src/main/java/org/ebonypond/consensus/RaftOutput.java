package org.ebonypond.consensus;

import java.util.List;
import java.util.stream.Stream;

/**
 * What a replica gives out. What the messages state about this replica is durable on its disk; a
 * committed result is durable on the disks of a quorum, which need not include this one.
 *
 * @param messages the messages to send, in order
 * @param completed the proposals that ended
 * @param roleChanges the changes of role or leader since the last output, in order
 */
public record RaftOutput(
    List<Outbound> messages, List<ProposalResult> completed, List<RoleChange> roleChanges) {
  /** Copies the lists so that the output is immutable. */
  public RaftOutput {
    messages = List.copyOf(messages);
    completed = List.copyOf(completed);
    roleChanges = List.copyOf(roleChanges);
  }

  /** Returns this output and a later one as one. */
  RaftOutput followedBy(RaftOutput later) {
    return new RaftOutput(
        join(messages, later.messages),
        join(completed, later.completed),
        join(roleChanges, later.roleChanges));
  }

  private static <T> List<T> join(List<T> first, List<T> second) {
    return Stream.concat(first.stream(), second.stream()).toList();
  }

  /**
   * A message with its destination.
   *
   * @param to the name of the receiving replica
   * @param message the message
   */
  public record Outbound(String to, RaftMessage message) {}
}
