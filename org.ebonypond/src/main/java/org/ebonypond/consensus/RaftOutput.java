package org.ebonypond.consensus;

import java.util.List;

/**
 * What a flush produced. Everything that the messages and results state is durable.
 *
 * @param messages the messages to send, in order
 * @param completed the proposals that ended
 * @param roleChanges the changes of role or leader since the last flush, in order
 */
public record RaftOutput(
    List<Outbound> messages, List<ProposalResult> completed, List<RoleChange> roleChanges) {
  /** Copies the lists so that the output is immutable. */
  public RaftOutput {
    messages = List.copyOf(messages);
    completed = List.copyOf(completed);
    roleChanges = List.copyOf(roleChanges);
  }

  /**
   * A message with its destination.
   *
   * @param to the name of the receiving replica
   * @param message the message
   */
  public record Outbound(String to, RaftMessage message) {}
}
