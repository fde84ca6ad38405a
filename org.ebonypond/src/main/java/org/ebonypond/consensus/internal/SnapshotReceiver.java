package org.ebonypond.consensus.internal;

import org.ebonypond.consensus.RaftMessage;
import org.ebonypond.consensus.Snapshot;
import org.jspecify.annotations.Nullable;

/** Assembles a snapshot from the parts that a leader sends. */
public final class SnapshotReceiver {
  private byte[] data = {};
  private String source = "";
  private long index = -1;
  private long term = -1;
  private int received;

  /**
   * Adds a part; parts other than the next one are ignored.
   *
   * @return the complete snapshot, or null if parts are missing
   */
  public @Nullable Snapshot accept(RaftMessage.SnapshotRequest r) {
    if (index != r.index() || term != r.lastTerm() || !source.equals(r.from())) {
      data = new byte[r.total()];
      source = r.from();
      index = r.index();
      term = r.lastTerm();
      received = 0;
    }
    if (r.offset() == received && received + r.part().length <= data.length) {
      System.arraycopy(r.part(), 0, data, received, r.part().length);
      received += r.part().length;
    }
    if (received < data.length) {
      return null;
    }
    Snapshot s = new Snapshot(index, term, r.membership(), data);
    data = new byte[0];
    index = -1;
    return s;
  }

  /** Returns the position of the next part, in bytes. */
  public int nextOffset() {
    return received;
  }
}
