package org.ebonypond.consensus.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.ebonypond.consensus.Disk;
import org.ebonypond.consensus.HardState;
import org.ebonypond.consensus.RaftCodec;
import org.ebonypond.consensus.Snapshot;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.wire.FieldReader;
import org.ebonypond.wire.FieldWriter;
import org.jspecify.annotations.Nullable;

/** The files of a replica that are replaced as a whole on each change. */
public final class StorageFiles {
  private static final String IDENTITY = "replica";
  private static final String SNAPSHOT = "snapshot";
  private static final String COMMITTED = "committed";

  private final Disk disk;

  /** Creates an accessor for the files on a disk. */
  public StorageFiles(Disk disk) {
    this.disk = disk;
  }

  /**
   * Returns the identity, or null if the disk is empty.
   *
   * @throws EbonypondException {@code log-corrupt} if the file is damaged, or if it is missing
   *     although there are other files
   */
  public @Nullable Identity readIdentity() throws IOException {
    List<String> names = disk.list();
    if (names.contains(IDENTITY)) {
      return FieldReader.decode(
          CheckedFile.decode(IDENTITY, disk.read(IDENTITY)), StorageFiles::unpackIdentity);
    }
    if (names.contains(SNAPSHOT) || names.stream().anyMatch(SegmentedLog::isSegment)) {
      throw new EbonypondException(ErrorCode.LOG_CORRUPT, IDENTITY, 0);
    }
    return null;
  }

  /** Replaces the identity, term and vote. */
  public void writeIdentity(Identity identity) throws IOException {
    disk.replace(
        IDENTITY, CheckedFile.encode(FieldWriter.encode(identity, StorageFiles::packIdentity)));
  }

  /** Returns the snapshot, or null if there is none. */
  public @Nullable Snapshot readSnapshot() throws IOException {
    if (!disk.list().contains(SNAPSHOT)) {
      return null;
    }
    return RaftCodec.decodeSnapshot(CheckedFile.decode(SNAPSHOT, disk.read(SNAPSHOT)));
  }

  /** Replaces the snapshot. */
  public void writeSnapshot(Snapshot snapshot) throws IOException {
    disk.replace(SNAPSHOT, CheckedFile.encode(RaftCodec.encodeSnapshot(snapshot)));
  }

  /** Returns the saved commit index, or 0 if it is missing or unreadable. */
  public long readCommittedHint() throws IOException {
    if (!disk.list().contains(COMMITTED)) {
      return 0;
    }
    try {
      byte[] body = CheckedFile.decode(COMMITTED, disk.read(COMMITTED));
      return body.length == Long.BYTES ? ByteBuffer.wrap(body).getLong() : 0;
    } catch (EbonypondException e) {
      // A crash during the write may have damaged the file. A leader then supplies the index.
      return 0;
    }
  }

  /** Writes the commit index; failures are ignored. */
  public void writeCommittedHint(long index) {
    disk.writeBestEffort(
        COMMITTED, CheckedFile.encode(ByteBuffer.allocate(Long.BYTES).putLong(index).array()));
  }

  private static void packIdentity(Identity i, FieldWriter w) {
    w.text("replica", i.replica()).text("identity", i.identity());
    w.record("hardState", i.hardState(), StorageFiles::packHardState);
  }

  private static Identity unpackIdentity(FieldReader r) {
    return new Identity(
        r.text("replica"),
        r.text("identity"),
        r.record("hardState", h -> new HardState(h.number("term"), h.optionalText("vote"))));
  }

  private static void packHardState(HardState s, FieldWriter w) {
    w.number("term", s.term()).text("vote", s.vote());
  }

  /**
   * The content of the identity file.
   *
   * @param replica the name of the replica
   * @param identity the random identity of the data folder
   * @param hardState the term and the vote
   */
  public record Identity(String replica, String identity, HardState hardState) {}
}
