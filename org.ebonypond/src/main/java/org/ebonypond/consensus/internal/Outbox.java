package org.ebonypond.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.consensus.RaftMessage;
import org.ebonypond.consensus.RaftOutput;

/**
 * The outgoing messages of a replica. A message that depends on state that is not durable yet waits
 * for the sync that covers this state; all others may be sent immediately.
 */
public final class Outbox {
  private final RaftLog log;
  private final List<Held> held = new ArrayList<>();
  private List<RaftOutput.Outbound> ready = new ArrayList<>();

  /** Creates an empty outbox. */
  public Outbox(RaftLog log) {
    this.log = log;
  }

  /** Adds a message. */
  public void add(String to, RaftMessage message) {
    RaftOutput.Outbound m = new RaftOutput.Outbound(to, message);
    if (isPreVote(message) || (log.isHardStateDurable() && isDurable(message))) {
      ready.add(m);
    } else {
      held.add(new Held(log.coveringSync(), m));
    }
  }

  /**
   * Adds an acknowledgement. If it has to wait for a sync, a reply with the durable index is sent
   * first, so that the leader does not lose contact.
   */
  public void acknowledge(String to, RaftMessage.AppendReply r) {
    long durable = log.durableIndex();
    if (r.success() && r.index() > durable && log.isSyncing() && log.isHardStateDurable()) {
      add(to, new RaftMessage.AppendReply(r.term(), r.from(), true, durable, r.sentAt()));
    }
    add(to, r);
  }

  /**
   * Releases the messages whose sync has ended. Messages of earlier terms and acknowledgements of
   * entries that have been replaced since are dropped.
   *
   * @param term the current term
   */
  public void release(long term) {
    for (Held h : held) {
      RaftMessage m = h.message.message();
      if (h.sync <= log.syncsEnded() && m.term() >= term && isDurable(m)) {
        ready.add(h.message);
      }
    }
    held.removeIf(h -> h.sync <= log.syncsEnded());
  }

  /** Removes and returns the messages that may be sent. */
  public List<RaftOutput.Outbound> drain() {
    List<RaftOutput.Outbound> messages = ready;
    ready = new ArrayList<>();
    return messages;
  }

  /** Returns whether a message is a pre-vote that does not depend on this replica's term. */
  private static boolean isPreVote(RaftMessage message) {
    return (message instanceof RaftMessage.VoteRequest q && q.preVote())
        || (message instanceof RaftMessage.VoteReply r && r.preVote() && r.granted());
  }

  private boolean isDurable(RaftMessage message) {
    return !(message instanceof RaftMessage.AppendReply r)
        || !r.success()
        || r.index() <= log.durableIndex();
  }

  private record Held(long sync, RaftOutput.Outbound message) {}
}
