package org.ebonypond.consensus;

import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.wire.FieldReader;
import org.ebonypond.wire.FieldWriter;

/**
 * The encoding of the messages between replicas and of the records on their disks. A replica needs
 * it right after its start, see {@link FieldWriter}.
 */
public final class RaftCodec {
  private static final String TYPE = "type";
  private static final String VOTE = "vote";
  private static final String VOTE_REPLY = "vote-reply";
  private static final String APPEND = "append";
  private static final String APPEND_REPLY = "append-reply";
  private static final String SNAPSHOT = "snapshot";
  private static final String SNAPSHOT_REPLY = "snapshot-reply";
  private static final String GENESIS = "genesis";
  private static final String GENESIS_REPLY = "genesis-reply";

  private RaftCodec() {}

  /** Encodes a message. */
  public static byte[] encodeMessage(RaftMessage m) {
    FieldWriter w = new FieldWriter();
    if (m instanceof RaftMessage.VoteRequest v) {
      start(w, VOTE, m).text("to", v.to());
      w.number("lastIndex", v.lastIndex()).number("lastTerm", v.lastTerm());
      w.flag("preVote", v.preVote());
    } else if (m instanceof RaftMessage.VoteReply v) {
      start(w, VOTE_REPLY, m).flag("preVote", v.preVote()).flag("granted", v.granted());
    } else if (m instanceof RaftMessage.AppendRequest a) {
      start(w, APPEND, m).text("to", a.to());
      w.number("prevIndex", a.prevIndex()).number("prevTerm", a.prevTerm());
      w.number("commit", a.commit()).number("sentAt", a.sentAt());
      w.records("entries", a.entries(), RaftCodec::writeEntry);
    } else if (m instanceof RaftMessage.AppendReply a) {
      start(w, APPEND_REPLY, m).flag("success", a.success());
      w.number("index", a.index()).number("sentAt", a.sentAt());
    } else if (m instanceof RaftMessage.SnapshotRequest s) {
      start(w, SNAPSHOT, m).text("to", s.to());
      w.number("index", s.index()).number("lastTerm", s.lastTerm());
      w.record("membership", s.membership(), RaftCodec::writeMembership);
      w.number("offset", s.offset()).number("total", s.total());
      w.bytes("part", s.part()).number("sentAt", s.sentAt());
    } else if (m instanceof RaftMessage.SnapshotReply s) {
      start(w, SNAPSHOT_REPLY, m).number("index", s.index());
      w.number("nextOffset", s.nextOffset()).number("sentAt", s.sentAt());
    } else if (m instanceof RaftMessage.GenesisRequest) {
      start(w, GENESIS, m);
    } else if (m instanceof RaftMessage.GenesisReply g) {
      start(w, GENESIS_REPLY, m).flag("granted", g.granted());
    }
    return w.toByteArray();
  }

  private static FieldWriter start(FieldWriter w, String type, RaftMessage m) {
    return w.text(TYPE, type).number("term", m.term()).text("from", m.from());
  }

  /**
   * Decodes a message and checks what a replica relies on. An inconsistent message that reached the
   * log would end the process.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a valid message
   */
  public static RaftMessage decodeMessage(byte[] bytes) {
    RaftMessage m = FieldReader.decode(bytes, RaftCodec::readMessage);
    if (m instanceof RaftMessage.AppendRequest a) {
      checkEntries(a);
    } else if (m instanceof RaftMessage.SnapshotRequest s) {
      checkPart(s);
    }
    return m;
  }

  private static void checkEntries(RaftMessage.AppendRequest a) {
    long index = a.prevIndex();
    for (LogEntry e : a.entries()) {
      index++;
      if (e.index() != index) {
        throw new EbonypondException(
            ErrorCode.FRAME_INVALID, "entry " + e.index() + " at the position of entry " + index);
      }
      if (e.type() == EntryType.MEMBERSHIP) {
        decodeMembership(e.data());
      }
    }
  }

  private static void checkPart(RaftMessage.SnapshotRequest s) {
    boolean valid =
        s.offset() >= 0 && s.total() >= 0 && s.part().length <= (long) s.total() - s.offset();
    if (!valid) {
      throw new EbonypondException(
          ErrorCode.FRAME_INVALID,
          "part of " + s.part().length + " bytes at " + s.offset() + " of " + s.total());
    }
  }

  private static RaftMessage readMessage(FieldReader r) {
    long term = r.number("term");
    String from = r.text("from");
    String type = r.text(TYPE);
    return switch (type) {
      case VOTE ->
          new RaftMessage.VoteRequest(
              term,
              from,
              r.text("to"),
              r.number("lastIndex"),
              r.number("lastTerm"),
              r.flag("preVote"));
      case VOTE_REPLY ->
          new RaftMessage.VoteReply(term, from, r.flag("preVote"), r.flag("granted"));
      case APPEND ->
          new RaftMessage.AppendRequest(
              term,
              from,
              r.text("to"),
              r.number("prevIndex"),
              r.number("prevTerm"),
              r.number("commit"),
              r.number("sentAt"),
              r.records("entries", RaftCodec::readEntry));
      case APPEND_REPLY ->
          new RaftMessage.AppendReply(
              term, from, r.flag("success"), r.number("index"), r.number("sentAt"));
      case SNAPSHOT ->
          new RaftMessage.SnapshotRequest(
              term,
              from,
              r.text("to"),
              r.number("index"),
              r.number("lastTerm"),
              r.record("membership", RaftCodec::readMembership),
              r.smallNumber("offset"),
              r.smallNumber("total"),
              r.bytes("part"),
              r.number("sentAt"));
      case SNAPSHOT_REPLY ->
          new RaftMessage.SnapshotReply(
              term, from, r.number("index"), r.smallNumber("nextOffset"), r.number("sentAt"));
      case GENESIS -> new RaftMessage.GenesisRequest(term, from);
      case GENESIS_REPLY -> new RaftMessage.GenesisReply(term, from, r.flag("granted"));
      default ->
          throw new EbonypondException(ErrorCode.FRAME_INVALID, "unknown message type " + type);
    };
  }

  private static void writeEntry(LogEntry e, FieldWriter w) {
    w.number("index", e.index()).number("term", e.term());
    w.text("type", e.type().name()).bytes("data", e.data());
  }

  private static LogEntry readEntry(FieldReader r) {
    return new LogEntry(
        r.number("index"), r.number("term"), readEntryType(r.text("type")), r.bytes("data"));
  }

  private static EntryType readEntryType(String name) {
    try {
      return EntryType.valueOf(name);
    } catch (IllegalArgumentException e) {
      throw new EbonypondException(e, ErrorCode.FRAME_INVALID, "unknown entry type " + name);
    }
  }

  /** Encodes a membership. */
  public static byte[] encodeMembership(Membership m) {
    return FieldWriter.encode(m, RaftCodec::writeMembership);
  }

  /**
   * Decodes a membership.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a valid membership
   */
  public static Membership decodeMembership(byte[] bytes) {
    return FieldReader.decode(bytes, RaftCodec::readMembership);
  }

  private static void writeMembership(Membership m, FieldWriter w) {
    w.textMap("members", m.members());
  }

  private static Membership readMembership(FieldReader r) {
    return new Membership(r.textMap("members"));
  }

  /** Encodes a snapshot. */
  public static byte[] encodeSnapshot(Snapshot s) {
    FieldWriter w = new FieldWriter();
    w.number("index", s.index()).number("term", s.term());
    w.record("membership", s.membership(), RaftCodec::writeMembership).bytes("data", s.data());
    return w.toByteArray();
  }

  /**
   * Decodes a snapshot.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a valid snapshot
   */
  public static Snapshot decodeSnapshot(byte[] bytes) {
    return FieldReader.decode(
        bytes,
        r ->
            new Snapshot(
                r.number("index"),
                r.number("term"),
                r.record("membership", RaftCodec::readMembership),
                r.bytes("data")));
  }
}
