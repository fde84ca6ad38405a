package org.ebonypond.junit.consensus;

import java.util.Random;
import org.ebonypond.consensus.DiskLogStorage;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.RaftMessage;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;
import org.jspecify.annotations.Nullable;

/**
 * Checks each message that a replica sends against what a restart after a crash would find on its
 * disk; throws {@code INVARIANT_VIOLATED}.
 */
final class DurabilityChecker {
  private final String replica;
  private final MemoryDisk disk;
  private final int segmentBytes;
  private @Nullable LogStorage durable;
  private long version = -1;

  DurabilityChecker(String replica, MemoryDisk disk, int segmentBytes) {
    this.replica = replica;
    this.disk = disk;
    this.segmentBytes = segmentBytes;
  }

  void check(RaftMessage m) {
    if (m instanceof RaftMessage.AppendReply r) {
      require(!r.success() || (hasTerm(r.term()) && r.index() <= durable().lastIndex()), m);
    } else if (m instanceof RaftMessage.VoteReply r) {
      require(r.preVote() ? r.granted() || hasTerm(r.term()) : hasTerm(r.term()), m);
      require(r.preVote() || !r.granted() || hasVoted(r.term()), m);
    } else if (m instanceof RaftMessage.GenesisReply r) {
      require(!r.granted() || (hasTerm(r.term()) && hasVoted(r.term())), m);
    } else if (m instanceof RaftMessage.VoteRequest r) {
      require(r.preVote() || (hasTerm(r.term()) && r.lastIndex() <= durable().lastIndex()), m);
    } else {
      require(hasTerm(m.term()), m);
    }
  }

  private boolean hasTerm(long term) {
    return durable().hardState().term() >= term;
  }

  private boolean hasVoted(long term) {
    return durable().hardState().term() > term || durable().hardState().vote() != null;
  }

  private LogStorage durable() {
    LogStorage s = durable;
    if (s == null || version != disk.version()) {
      MemoryDisk copy = disk.durableCopy();
      s = new DiskLogStorage(copy, replica, new Random(0), EventSink.NONE, segmentBytes);
      durable = s;
      version = disk.version();
    }
    return s;
  }

  private void require(boolean holds, RaftMessage m) {
    if (!holds) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED, "replica " + replica + " states what is not durable: " + m);
    }
  }
}
