package org.ebonypond.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.ebonypond.wire.MessagePackCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RaftMessageTest {
  private static final Membership MEMBERS = new Membership(Map.of("a", "1", "b", "2"));

  static List<RaftMessage> messages() {
    LogEntry e = new LogEntry(Long.MAX_VALUE, 3, EntryType.COMMAND, new byte[] {0, -1, 127});
    return List.of(
        new RaftMessage.VoteRequest(1, "f", "t", 2, 3, true),
        new RaftMessage.VoteReply(1, "f", false, true),
        new RaftMessage.AppendRequest(1, "f", "t", 2, 3, 4, -5, List.of(e)),
        new RaftMessage.AppendReply(1, "f", true, 4, -5),
        new RaftMessage.SnapshotReply(1, "f", 4, 5, 6),
        new RaftMessage.GenesisRequest(1, "f"),
        new RaftMessage.GenesisReply(1, "f", true));
  }

  /** Guards against messages that are decoded as another type or with other values. */
  @ParameterizedTest
  @MethodSource("messages")
  void messageIsTheSameAfterTransport(RaftMessage m) {
    assertEquals(m, MessagePackCodec.decode(MessagePackCodec.encode(m), RaftMessage.class));
  }

  /** Guards against snapshot parts that change in transport. */
  @Test
  void snapshotPartIsTheSameAfterTransport() {
    RaftMessage.SnapshotRequest m =
        new RaftMessage.SnapshotRequest(1, "f", "t", 4, 3, MEMBERS, 8, 9, new byte[] {-7}, 10);
    RaftMessage.SnapshotRequest d =
        (RaftMessage.SnapshotRequest)
            MessagePackCodec.decode(MessagePackCodec.encode(m), RaftMessage.class);
    assertArrayEquals(m.part(), d.part());
    assertEquals(MEMBERS, d.membership());
    assertEquals(List.of(1L, 4L, 3L, 10L), List.of(d.term(), d.index(), d.lastTerm(), d.sentAt()));
    assertEquals(
        List.of("f", "t", "8", "9"), List.of(d.from(), d.to(), "" + d.offset(), "" + d.total()));
  }
}
