package org.ebonypond.consensus;

import java.util.List;
import java.util.stream.Stream;

/**
 * The output of a replica. Whatever the messages state about this replica is durable on its disk.
 * The result of a committed command is durable on a quorum, which need not include this replica.
 *
 * @param messages the messages to send, in order
 * @param completed the results of the proposals that ended
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

  /** Returns the concatenation of this output and a later one. */
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
   * @param message the message to send
   */
  public record Outbound(String to, RaftMessage message) {}
}
