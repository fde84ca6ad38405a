package org.ebonypond.consensus.internal;

import java.util.Map;
import java.util.TreeMap;
import org.ebonypond.consensus.Membership;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.RaftMessage;
import org.jspecify.annotations.Nullable;

/**
 * Collects the identities for the first membership. A grant is a vote: each empty replica grants
 * one identity per term and stores the grant durably. At most one membership is thus formed in a
 * term, and a replica that has granted a later term rejects the entries of an earlier one.
 */
public final class Genesis {
  private final RaftConfig config;
  private final RaftLog log;
  private final Ballot ballot;
  private final Map<String, String> granted = new TreeMap<>();
  private long term = -1;

  /** Creates an empty collection. */
  public Genesis(RaftConfig config, RaftLog log, Ballot ballot) {
    this.config = config;
    this.log = log;
    this.ballot = ballot;
  }

  /**
   * Starts or repeats a round if this replica is the one that forms the first membership.
   *
   * @return the request to all other replicas, or null if another replica forms it
   */
  public @Nullable RaftMessage start() {
    if (!config.self().equals(config.lowestName())) {
      return null;
    }
    if (!ballot.hasVotedForSelf()) {
      ballot.startTerm();
    }
    if (term != ballot.term()) {
      granted.clear();
      term = ballot.term();
    }
    granted.put(config.self(), log.identity());
    return new RaftMessage.GenesisRequest(term, log.identity());
  }

  /**
   * Returns the reply to a request of another replica.
   *
   * @param hasLeaderContact whether this replica has recent contact with a leader
   */
  public RaftMessage reply(String name, RaftMessage.GenesisRequest m, boolean hasLeaderContact) {
    boolean eligible = log.isEmpty() && name.equals(config.lowestName()) && !hasLeaderContact;
    if (!eligible) {
      // Replies with the term of the request, because an empty replica must not adopt the term of a
      // Raft group that it cannot join in this way.
      return new RaftMessage.GenesisReply(m.term(), log.identity(), false);
    }
    if (m.term() > ballot.term()) {
      ballot.raise(m.term());
    }
    boolean grant = m.term() == ballot.term() && ballot.voteFor(m.from());
    // In this term the replica granted an identity whose disk has been lost since. The reply
    // contains a later term, so that the sender starts it; otherwise it would repeat this term
    // forever.
    boolean grantedOther = !grant && m.term() == ballot.term();
    long replyTerm = grantedOther ? ballot.term() + 1 : ballot.term();
    return new RaftMessage.GenesisReply(replyTerm, log.identity(), grant);
  }

  /** Adds a grant; grants of other rounds are ignored. */
  public void grant(String name, RaftMessage.GenesisReply m) {
    if (m.granted() && m.term() == term && config.replicas().contains(name)) {
      granted.put(name, m.from());
    }
  }

  /** Returns the first membership once every configured replica has granted it, or null. */
  public @Nullable Membership membership() {
    boolean complete = log.isEmpty() && granted.size() == config.replicas().size();
    return complete ? new Membership(granted) : null;
  }
}
