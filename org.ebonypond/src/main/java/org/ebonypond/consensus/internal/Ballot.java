package org.ebonypond.consensus.internal;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import org.ebonypond.consensus.HardState;
import org.ebonypond.consensus.RaftMessage;

/** The durable term and vote of a replica, and the votes that it has collected. */
public final class Ballot {
  private final RaftLog log;
  private final String identity;
  private final Set<String> votes = new HashSet<>();
  private HardState hard;

  /** Continues with the stored term and vote. */
  public Ballot(RaftLog log, HardState hard) {
    this.log = log;
    this.identity = log.identity();
    this.hard = hard;
  }

  /** Returns the current term. */
  public long term() {
    return hard.term();
  }

  /** Adopts a later term, in which this replica has not voted. */
  public void raise(long term) {
    save(new HardState(term, null));
  }

  /** Votes in the current term, unless the vote went to another; returns whether it did not. */
  public boolean voteFor(String candidate) {
    if (hard.vote() != null && !hard.vote().equals(candidate)) {
      return false;
    }
    save(new HardState(hard.term(), candidate));
    return true;
  }

  /** Votes for this replica in the next term. */
  public void startTerm() {
    save(new HardState(hard.term() + 1, identity));
  }

  /** Returns whether this replica has voted for itself in the current term. */
  public boolean votedForSelf() {
    return identity.equals(hard.vote());
  }

  /** Starts to collect votes, with that of this replica. */
  public void collect() {
    votes.clear();
    votes.add(identity);
  }

  /**
   * Asks the voters of the membership in force for their votes.
   *
   * @param preVote whether this only asks if they would be granted in the next term
   * @param out takes the messages, with the name of the receiver
   */
  public void requestVotes(boolean preVote, BiConsumer<String, RaftMessage> out) {
    long term = preVote ? hard.term() + 1 : hard.term();
    long index = log.lastIndex();
    log.membership()
        .members()
        .forEach(
            (name, to) -> {
              if (!to.equals(identity)) {
                out.accept(
                    name,
                    new RaftMessage.VoteRequest(
                        term, identity, to, index, log.lastTerm(), preVote));
              }
            });
  }

  /** Adds a vote. */
  public void add(String voter) {
    votes.add(voter);
  }

  /** Returns whether the collected votes are a quorum of the membership in force. */
  public boolean isWon() {
    return votes.size() >= log.membership().quorum();
  }

  private void save(HardState state) {
    if (!state.equals(hard)) {
      hard = state;
      log.save(state);
    }
  }
}
