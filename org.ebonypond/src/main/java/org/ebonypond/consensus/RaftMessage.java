package org.ebonypond.consensus;

import java.util.List;

/**
 * A message between replicas of one Raft group. {@code from} and {@code to} are replica identities.
 * A replica rejects requests to an identity other than that of its data folder, so a replica that
 * lost its disk cannot act under its old identity.
 */
public sealed interface RaftMessage {
  /** Returns the term of the sender, or the proposed term of a pre-vote. */
  long term();

  /** Returns the identity of the sender. */
  String from();

  /**
   * Asks for a vote.
   *
   * @param term the term of the election
   * @param from the identity of the candidate
   * @param to the identity of the voter in the candidate's membership
   * @param lastIndex the index of the candidate's last entry
   * @param lastTerm the term of that entry
   * @param preVote whether this is a pre-vote, which only asks whether the vote would be granted
   */
  record VoteRequest(
      long term, String from, String to, long lastIndex, long lastTerm, boolean preVote)
      implements RaftMessage {}

  /**
   * Answers a {@link VoteRequest}.
   *
   * @param term the term of the request if granted, otherwise the term of the voter
   * @param from the identity of the voter
   * @param preVote whether the request was a pre-vote
   * @param granted whether the vote is granted
   */
  record VoteReply(long term, String from, boolean preVote, boolean granted)
      implements RaftMessage {}

  /**
   * Appends entries; a heartbeat if there are none.
   *
   * @param term the term of the leader
   * @param from the identity of the leader
   * @param to the identity of the receiver, empty if the leader does not know it
   * @param prevIndex the index before the first entry
   * @param prevTerm the term of the entry at that index
   * @param commit the commit index of the leader
   * @param sentAt the time on the leader's clock, in milliseconds; copied to the reply
   * @param entries the entries, in order
   */
  record AppendRequest(
      long term,
      String from,
      String to,
      long prevIndex,
      long prevTerm,
      long commit,
      long sentAt,
      List<LogEntry> entries)
      implements RaftMessage {
    /** Copies the list so that the message is immutable. */
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Answers an {@link AppendRequest} or the last part of a snapshot.
   *
   * @param term the term of the receiver
   * @param from the identity of the receiver
   * @param success whether the logs agree up to {@code index}
   * @param index the last durable index up to which the logs agree; after a mismatch, the index
   *     from which the leader should send next
   * @param sentAt the time of the request
   */
  record AppendReply(long term, String from, boolean success, long index, long sentAt)
      implements RaftMessage {}

  /**
   * Sends a part of a snapshot.
   *
   * @param term the term of the leader
   * @param from the identity of the leader
   * @param to the identity of the receiver
   * @param index the last log index of the snapshot
   * @param lastTerm the term of that entry
   * @param membership the membership at that index
   * @param offset the position of the part, in bytes
   * @param total the size of the snapshot, in bytes
   * @param part the bytes at the position
   * @param sentAt the time on the leader's clock, in milliseconds; copied to the reply
   */
  record SnapshotRequest(
      long term,
      String from,
      String to,
      long index,
      long lastTerm,
      Membership membership,
      int offset,
      int total,
      byte[] part,
      long sentAt)
      implements RaftMessage {}

  /**
   * Answers a part of a snapshot other than the last one.
   *
   * @param term the term of the receiver
   * @param from the identity of the receiver
   * @param index the last log index of the snapshot
   * @param nextOffset the position that the receiver expects next, in bytes
   * @param sentAt the time of the request
   */
  record SnapshotReply(long term, String from, long index, int nextOffset, long sentAt)
      implements RaftMessage {}

  /**
   * Asks an empty replica to join the first membership.
   *
   * @param term the term in which the membership is formed
   * @param from the identity of the replica with the lowest name
   */
  record GenesisRequest(long term, String from) implements RaftMessage {}

  /**
   * Answers a {@link GenesisRequest}.
   *
   * @param term the term of the receiver
   * @param from the identity of the receiver
   * @param granted whether the receiver is empty and joins no other membership in this term
   */
  record GenesisReply(long term, String from, boolean granted) implements RaftMessage {}
}
