package org.ebonypond.server.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.HardState;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.Membership;
import org.ebonypond.consensus.RaftCodec;
import org.ebonypond.consensus.Snapshot;
import org.ebonypond.events.EventSink;
import org.ebonypond.serving.ServingCodec;
import org.ebonypond.serving.ServingCommand;
import org.ebonypond.serving.ServingState;

/** The folder of a replica that has a snapshot of a configuration, and an evacuation in its log. */
public final class LogFolderSample {
  /** The name of the replica. */
  public static final String REPLICA = "core-1";

  static final HardState HARD_STATE = new HardState(3, "b");
  static final Membership MEMBERSHIP = new Membership(Map.of("core-1", "a", "core-2", "b"));
  static final String IDENTITY = "bf5903bb58cb352d441a9816e01ca09c";
  static final long VERSION = 7;
  static final byte[] CONTENT = {10, 20, 30};
  static final String ZONE = "zone-c";

  /** An empty file that is locked while the folder is open. */
  private static final String LOCK = ".lock";

  private static final EventSink NO_EVENTS = (code, subject, causes, fields) -> "";

  private LogFolderSample() {}

  static LogStorage open(Path folder) {
    return FileLogStorage.open(folder, REPLICA, new Random(5), NO_EVENTS);
  }

  /** Writes the folder and returns the content of its files. */
  public static Map<String, byte[]> write(Path folder) {
    try (LogStorage s = open(folder)) {
      s.saveHardState(HARD_STATE);
      LogEntry install = command(3, new ServingCommand.Install(VERSION, CONTENT));
      s.append(
          List.of(
              entry(1, EntryType.NOOP, new byte[0]),
              entry(2, EntryType.MEMBERSHIP, RaftCodec.encodeMembership(MEMBERSHIP)),
              install));
      s.sync();
      ServingState state = new ServingState();
      state.apply(3, install.data());
      s.saveSnapshot(new Snapshot(3, 3, MEMBERSHIP, state.snapshot()), 3);
      s.sync();
      s.append(List.of(command(4, new ServingCommand.SetZone(ZONE, true))));
      s.saveCommittedHint(4);
      s.sync();
    }
    return read(folder);
  }

  private static LogEntry command(long index, ServingCommand c) {
    return entry(index, EntryType.COMMAND, ServingCodec.encodeCommand(c));
  }

  private static LogEntry entry(long index, EntryType type, byte[] data) {
    return new LogEntry(index, 3, type, data);
  }

  private static Map<String, byte[]> read(Path folder) {
    Map<String, byte[]> out = new TreeMap<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path p : files.filter(f -> !f.endsWith(LOCK)).toList()) {
        out.put(p.getFileName().toString(), Files.readAllBytes(p));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out;
  }
}
