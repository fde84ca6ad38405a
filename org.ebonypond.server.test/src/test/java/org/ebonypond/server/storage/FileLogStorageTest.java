package org.ebonypond.server.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.HardState;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.Membership;
import org.ebonypond.consensus.Snapshot;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.junit.consensus.RecordingEvents;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileLogStorageTest {
  @TempDir Path folder;

  private final Random random = new Random(5);
  private final RecordingEvents events = new RecordingEvents();

  private LogStorage open() {
    return FileLogStorage.open(folder.resolve("control"), "a", random, events);
  }

  private Path segment() {
    return folder.resolve("control").resolve("log-000000000001");
  }

  private static LogEntry entry(long index) {
    byte[] data = ("entry " + index).getBytes(StandardCharsets.UTF_8);
    return new LogEntry(index, 1, EntryType.COMMAND, data);
  }

  private String write(int entries) {
    try (LogStorage s = open()) {
      s.saveHardState(new HardState(7, "x"));
      for (int i = 1; i <= entries; i++) {
        s.append(List.of(entry(i)));
        s.sync();
      }
      return s.identity();
    }
  }

  private void assertFails(ErrorCode code) {
    assertEquals(code, assertThrows(EbonypondException.class, this::open).code());
  }

  /** Guards against a restart that loses the identity, the term, the vote or entries. */
  @Test
  void stateSurvivesRestart() {
    final String identity = write(8);
    try (LogStorage s = open()) {
      assertEquals(identity, s.identity());
      assertEquals(new HardState(7, "x"), s.hardState());
      assertEquals(8, s.lastIndex());
      assertEquals(entry(6), s.entry(6));
      s.saveSnapshot(new Snapshot(7, 1, new Membership(Map.of("a", "1")), new byte[9]), 5);
      s.sync();
    }
    try (LogStorage s = open()) {
      Snapshot snapshot = s.snapshot();
      assertNotNull(snapshot);
      assertEquals("1", snapshot.membership().identityOf("a"));
      assertEquals(8, s.lastIndex());
    }
  }

  /** Guards against a replica that keeps its identity after the loss of its data folder. */
  @Test
  void newFolderHasNewIdentity() throws IOException {
    String identity = write(1);
    try (var files = Files.list(folder.resolve("control"))) {
      for (Path p : files.toList()) {
        Files.delete(p);
      }
    }
    assertNotEquals(identity, write(1));
  }

  /** Guards against an incomplete last write that prevents the start. */
  @Test
  void tornTailIsCut() throws IOException {
    write(5);
    byte[] content = Files.readAllBytes(segment());
    Files.write(segment(), Arrays.copyOf(content, content.length - 3));
    try (LogStorage s = open()) {
      assertEquals(4, s.lastIndex());
      s.append(List.of(entry(5)));
      s.sync();
    }
    assertEquals(1, events.count(EventCode.LOG_TAIL_CUT));
    try (LogStorage s = open()) {
      assertEquals(5, s.lastIndex());
    }
    assertEquals(1, events.count(EventCode.LOG_TAIL_CUT));
  }

  /** Guards against a start with a damaged log. */
  @Test
  void flippedByteIsRefused() throws IOException {
    write(5);
    byte[] content = Files.readAllBytes(segment());
    content[content.length / 2] ^= 4;
    Files.write(segment(), content);
    assertFails(ErrorCode.LOG_CORRUPT);
  }

  /** Guards against two processes that write to one folder. */
  @Test
  void folderInUseIsRefused() {
    try (LogStorage s = open()) {
      assertEquals(0, s.lastIndex());
      assertFails(ErrorCode.STORAGE_FAILED);
    }
    write(1);
  }

  /** Guards against retrying a failed write as if the file were intact. */
  @Test
  void failedWriteIsFatal() throws IOException {
    LogStorage s = open();
    // A folder with the name of the segment makes the write fail.
    Files.createDirectory(segment());
    s.append(List.of(entry(1)));
    EbonypondException e = assertThrows(EbonypondException.class, s::sync);
    assertEquals(ErrorCode.STORAGE_FAILED, e.code());
    Files.delete(segment());
    assertThrows(EbonypondException.class, s::sync);
    assertThrows(EbonypondException.class, () -> s.append(List.of(entry(2))));
    s.close();
  }

  /** Guards against reading a temporary file of an interrupted replacement as data. */
  @Test
  void interruptedReplacementIsIgnored() throws IOException {
    final String identity = write(2);
    Files.write(
        folder.resolve("control").resolve("replica.tmp"),
        new byte[] {1},
        StandardOpenOption.CREATE_NEW);
    try (LogStorage s = open()) {
      assertEquals(identity, s.identity());
    }
  }
}
