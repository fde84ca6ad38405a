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
 * Checks that the messages of a replica rely only on durable state, that is, on what a restart
 * after a crash would find on its disk; throws {@code INVARIANT_VIOLATED}.
 */
final class DurabilityChecker {
  private final String replica;
  private final MemoryDisk disk;
  private final int segmentBytes;
  private @Nullable LogStorage durable;
  private long diskVersion = -1;

  DurabilityChecker(String replica, MemoryDisk disk, int segmentBytes) {
    this.replica = replica;
    this.disk = disk;
    this.segmentBytes = segmentBytes;
  }

  void check(RaftMessage m) {
    if (m instanceof RaftMessage.AppendReply r) {
      require(
          !r.success() || (isTermDurable(r.term()) && r.index() <= durableStorage().lastIndex()),
          m);
    } else if (m instanceof RaftMessage.VoteReply r) {
      require(r.preVote() ? r.granted() || isTermDurable(r.term()) : isTermDurable(r.term()), m);
      require(r.preVote() || !r.granted() || isVoteDurable(r.term()), m);
    } else if (m instanceof RaftMessage.GenesisReply r) {
      require(!r.granted() || (isTermDurable(r.term()) && isVoteDurable(r.term())), m);
    } else if (m instanceof RaftMessage.VoteRequest r) {
      require(
          r.preVote() || (isTermDurable(r.term()) && r.lastIndex() <= durableStorage().lastIndex()),
          m);
    } else {
      require(isTermDurable(m.term()), m);
    }
  }

  private boolean isTermDurable(long term) {
    return durableStorage().hardState().term() >= term;
  }

  private boolean isVoteDurable(long term) {
    return durableStorage().hardState().term() > term
        || durableStorage().hardState().vote() != null;
  }

  private LogStorage durableStorage() {
    LogStorage s = durable;
    if (s == null || diskVersion != disk.version()) {
      MemoryDisk copy = disk.durableCopy();
      s = new DiskLogStorage(copy, replica, new Random(0), EventSink.NONE, segmentBytes);
      durable = s;
      diskVersion = disk.version();
    }
    return s;
  }

  private void require(boolean holds, RaftMessage m) {
    if (!holds) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED,
          "replica " + replica + " sent a message ahead of its durable state: " + m);
    }
  }
}
