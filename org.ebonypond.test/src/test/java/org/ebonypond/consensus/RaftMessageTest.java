package org.ebonypond.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.wire.FieldWriter;
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
        new RaftMessage.AppendRequest(1, "f", "t", Long.MAX_VALUE - 1, 3, 4, -5, List.of(e)),
        new RaftMessage.AppendReply(1, "f", true, 4, -5),
        new RaftMessage.SnapshotReply(1, "f", 4, 5, 6),
        new RaftMessage.GenesisRequest(1, "f"),
        new RaftMessage.GenesisReply(1, "f", true));
  }

  /** Guards against messages that are decoded as another type or with other values. */
  @ParameterizedTest
  @MethodSource("messages")
  void messageIsTheSameAfterTransport(RaftMessage m) {
    assertEquals(m, RaftCodec.decodeMessage(RaftCodec.encodeMessage(m)));
  }

  /** Guards against snapshot parts that change in transport. */
  @Test
  void snapshotPartIsTheSameAfterTransport() {
    RaftMessage.SnapshotRequest m =
        new RaftMessage.SnapshotRequest(1, "f", "t", 4, 3, MEMBERS, 8, 9, new byte[] {-7}, 10);
    RaftMessage.SnapshotRequest d =
        (RaftMessage.SnapshotRequest) RaftCodec.decodeMessage(RaftCodec.encodeMessage(m));
    assertArrayEquals(m.part(), d.part());
    assertEquals(MEMBERS, d.membership());
    assertEquals(List.of(1L, 4L, 3L, 10L), List.of(d.term(), d.index(), d.lastTerm(), d.sentAt()));
    assertEquals(
        List.of("f", "t", "8", "9"), List.of(d.from(), d.to(), "" + d.offset(), "" + d.total()));
  }

  /** Guards against a snapshot or membership on disk that changes when it is read again. */
  @Test
  void snapshotAndMembershipAreTheSameAfterStorage() {
    Snapshot s =
        RaftCodec.decodeSnapshot(
            RaftCodec.encodeSnapshot(new Snapshot(9, 2, MEMBERS, new byte[] {5})));

    assertEquals(List.of(9L, 2L), List.of(s.index(), s.term()));
    assertEquals(MEMBERS, s.membership());
    assertArrayEquals(new byte[] {5}, s.data());
    assertEquals(MEMBERS, RaftCodec.decodeMembership(RaftCodec.encodeMembership(MEMBERS)));
  }

  /** Guards against one inconsistent message that ends the process of a replica. */
  @Test
  void inconsistentMessagesAreRejected() {
    LogEntry gap = new LogEntry(7, 3, EntryType.COMMAND, new byte[0]);
    LogEntry membership = new LogEntry(3, 3, EntryType.MEMBERSHIP, new byte[] {1});
    List<RaftMessage> inconsistent =
        List.of(
            new RaftMessage.AppendRequest(1, "f", "t", 2, 3, 4, 5, List.of(gap)),
            new RaftMessage.AppendRequest(1, "f", "t", 2, 3, 4, 5, List.of(membership)),
            new RaftMessage.SnapshotRequest(1, "f", "t", 4, 3, MEMBERS, -1, 9, new byte[1], 10),
            new RaftMessage.SnapshotRequest(1, "f", "t", 4, 3, MEMBERS, 9, 9, new byte[1], 10));
    for (RaftMessage m : inconsistent) {
      byte[] bytes = RaftCodec.encodeMessage(m);
      assertThrows(EbonypondException.class, () -> RaftCodec.decodeMessage(bytes));
    }
  }

  /** Guards against a failure of the replica when a newer version adds fields. */
  @Test
  void unknownFieldsAreIgnored() {
    FieldWriter w = new FieldWriter();
    w.text("type", "genesis").records("new", List.of(MEMBERS), (m, f) -> f.flag("x", true));
    w.number("term", 7).text("from", "f");

    assertEquals(new RaftMessage.GenesisRequest(7, "f"), RaftCodec.decodeMessage(w.toByteArray()));
  }

  /** Guards against damaged messages that end the thread of the log. */
  @ParameterizedTest
  @MethodSource("messages")
  void truncatedAndDamagedMessagesAreRejectedOrDecoded(RaftMessage m) {
    byte[] whole = RaftCodec.encodeMessage(m);
    for (int length = 0; length < whole.length; length++) {
      byte[] truncated = Arrays.copyOf(whole, length);
      assertThrows(EbonypondException.class, () -> RaftCodec.decodeMessage(truncated));
    }
    for (int i = 0; i < whole.length; i++) {
      for (int bit = 0; bit < 8; bit++) {
        byte[] damaged = whole.clone();
        damaged[i] ^= (byte) (1 << bit);
        try {
          RaftCodec.decodeMessage(damaged);
        } catch (EbonypondException e) {
          assertEquals(ErrorCode.FRAME_INVALID, e.code());
        }
      }
    }
  }
}
