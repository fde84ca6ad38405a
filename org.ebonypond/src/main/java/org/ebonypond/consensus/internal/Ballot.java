package org.ebonypond.consensus.internal;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import org.ebonypond.consensus.HardState;
import org.ebonypond.consensus.RaftMessage;

/** The term and vote of a replica and the votes that it has received. */
public final class Ballot {
  private final RaftLog log;
  private final String identity;
  private final Set<String> votes = new HashSet<>();
  private HardState hardState;

  /** Creates a ballot with the stored term and vote. */
  public Ballot(RaftLog log, HardState hardState) {
    this.log = log;
    this.identity = log.identity();
    this.hardState = hardState;
  }

  /** Returns the current term. */
  public long term() {
    return hardState.term();
  }

  /** Changes to a later term, in which this replica has not voted. */
  public void raise(long term) {
    save(new HardState(term, null));
  }

  /** Votes in the current term unless another candidate has the vote; returns whether it voted. */
  public boolean voteFor(String candidate) {
    if (hardState.vote() != null && !hardState.vote().equals(candidate)) {
      return false;
    }
    save(new HardState(hardState.term(), candidate));
    return true;
  }

  /** Starts the next term and votes for this replica. */
  public void startTerm() {
    save(new HardState(hardState.term() + 1, identity));
  }

  /** Returns whether this replica has voted for itself in the current term. */
  public boolean hasVotedForSelf() {
    return identity.equals(hardState.vote());
  }

  /** Clears the received votes and adds this replica's own. */
  public void resetVotes() {
    votes.clear();
    votes.add(identity);
  }

  /**
   * Requests votes from the voters of the current membership that have not given theirs.
   *
   * @param preVote whether this only asks whether they would be granted in the next term
   * @param out receives each message with the name of its receiver
   */
  public void requestVotes(boolean preVote, BiConsumer<String, RaftMessage> out) {
    long term = preVote ? hardState.term() + 1 : hardState.term();
    long index = log.lastIndex();
    log.membership()
        .members()
        .forEach(
            (name, to) -> {
              if (!votes.contains(to)) {
                out.accept(
                    name,
                    new RaftMessage.VoteRequest(
                        term, identity, to, index, log.lastTerm(), preVote));
              }
            });
  }

  /** Adds a received vote. */
  public void addVote(String voter) {
    votes.add(voter);
  }

  /** Returns whether the received votes are a quorum of the current membership. */
  public boolean isWon() {
    return votes.size() >= log.membership().quorum();
  }

  private void save(HardState state) {
    if (!state.equals(hardState)) {
      hardState = state;
      log.save(state);
    }
  }
}
