package org.ebonypond.server.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.SchedulerSettings;
import org.ebonypond.trace.Trace;
import org.ebonypond.trace.TraceHeader;
import org.ebonypond.trace.TraceReader;
import org.ebonypond.trace.TraceRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TraceFileTest {
  private static final TraceHeader HEADER =
      new TraceHeader("scored", PlannerSettings.DEFAULT, SchedulerSettings.DEFAULT);
  private static final long LARGE = 1 << 20;

  @TempDir Path folder;

  private static void waitFor(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(condition.getAsBoolean());
  }

  /** Guards against records that are lost or reordered between the leader and the file. */
  @Test
  void fileHoldsEveryRecordAfterClose() throws IOException {
    Path path = folder.resolve("leader.trace");
    TraceFile f = TraceFile.start(path, HEADER, LARGE);
    for (int i = 0; i < 1_000; i++) {
      f.accept(new TraceRecord.Tick(i, i));
    }
    f.close();
    Trace t = TraceReader.read(Files.readString(path));
    assertEquals(HEADER, t.header());
    assertEquals(1_000, t.records().size());
    assertEquals(new TraceRecord.Tick(999, 999), t.records().get(999));
  }

  /** Guards against a restart that overwrites the trace of the run that failed. */
  @Test
  void existingFileIsNotChanged() throws IOException, InterruptedException {
    Path path = Files.writeString(folder.resolve("leader.trace"), "earlier");
    TraceFile f = TraceFile.start(path, HEADER, LARGE);
    waitFor(() -> !f.isActive());
    f.accept(new TraceRecord.Tick(1, 1));
    assertEquals("earlier", Files.readString(path));
  }

  /** Guards against a trace that fills the disk. */
  @Test
  void recordingStopsAtTheSize() throws IOException, InterruptedException {
    Path path = folder.resolve("leader.trace");
    TraceFile f = TraceFile.start(path, HEADER, 2_000);
    for (int i = 0; f.isActive(); i++) {
      f.accept(new TraceRecord.Tick(i, i));
      Thread.sleep(1);
    }
    f.close();
    assertTrue(Files.size(path) < 2_100, () -> path.toFile().length() + " bytes");
    assertFalse(TraceReader.read(Files.readString(path)).records().isEmpty());
  }

  /** Guards against a full disk that makes the leader fail. */
  @Test
  void fullDiskStopsOnlyTheRecording() throws InterruptedException {
    Writer full =
        new StringWriter() {
          private int written;

          @Override
          public void write(String s) {
            written += s.length();
            if (written > 1_000) {
              throw new java.io.UncheckedIOException(new IOException("No space left on device"));
            }
          }
        };
    TraceFile f = new TraceFile("test", () -> full, HEADER, LARGE);
    f.start();
    for (int i = 0; f.isActive(); i++) {
      f.accept(new TraceRecord.Tick(i, i));
      Thread.sleep(1);
    }
    f.accept(new TraceRecord.Tick(1, 1));
    f.close();
  }

  /** Guards against a hanging disk that blocks the leader or makes the queue grow. */
  @Test
  void hangingDiskDoesNotBlock() {
    CountDownLatch release = new CountDownLatch(1);
    TraceFile f =
        new TraceFile(
            "test",
            () -> {
              try {
                release.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              return new StringWriter();
            },
            HEADER,
            LARGE);
    f.start();
    for (int i = 0; i <= TraceFile.QUEUE_CAPACITY; i++) {
      assertTrue(f.isActive());
      f.accept(new TraceRecord.Tick(i, i));
    }
    assertFalse(f.isActive());
    release.countDown();
    f.close();
  }
}
