package org.ebonypond.server.control;

import java.util.Base64;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.group.SchedulerOutput;
import org.ebonypond.server.replica.ReplicaService;
import org.ebonypond.trace.TraceRecord;
import org.ebonypond.trace.TraceRecorder;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;

/**
 * Records the inputs of the control leader; does nothing without a trace file. Used only on the
 * executor thread of {@link ControlLeader}.
 */
final class LeaderTrace {
  private final @Nullable TraceFile file;
  private final TraceRecorder recorder;
  private long recordedIndex = -1;
  private long nextToken = 1;

  LeaderTrace(@Nullable TraceFile file) {
    this.file = file;
    this.recorder = new TraceRecorder(file == null ? r -> {} : file);
  }

  private boolean isOn() {
    return file != null && file.isActive();
  }

  /** Reads the view and the entries or snapshot that the trace needs to reproduce it. */
  CompletableFuture<LeaderView> read(ReplicaService replica, boolean newTerm) {
    if (!isOn()) {
      return LeaderView.read(replica);
    }
    return LeaderView.readTraced(replica, newTerm ? -1 : recordedIndex);
  }

  /** Records the commands or the snapshot that led from the last recorded view to this one. */
  void viewed(LeaderView v, long now) {
    byte[] snapshot = v.snapshot();
    if (snapshot != null) {
      record(new TraceRecord.StateRestored(now, Base64.getEncoder().encodeToString(snapshot)));
    }
    for (LogEntry e : v.entries()) {
      if (e.type() == EntryType.COMMAND
          && e.index() > recordedIndex
          && e.index() <= v.view().index()) {
        ControlCommand c = MessagePackCodec.decode(e.data(), ControlCommand.class);
        record(new TraceRecord.CommandCommitted(now, e.index(), c));
      }
    }
    recordedIndex = v.view().index();
  }

  void elected(long term, long now) {
    record(new TraceRecord.TermStarted(now, term, nextToken));
  }

  void announced(InstanceAnnouncement a, long heard, long now) {
    if (isOn()) {
      recorder.announced(a, heard, now);
    }
  }

  /** Notes the tokens of reads and orders, above which the tokens of the next term start. */
  void issued(SchedulerOutput out) {
    out.reads().forEach(r -> nextToken = Math.max(nextToken, r.token() + 1));
    out.orders().forEach(o -> nextToken = Math.max(nextToken, o.token() + 1));
  }

  void record(TraceRecord r) {
    if (isOn()) {
      recorder.record(r);
    }
  }
}
