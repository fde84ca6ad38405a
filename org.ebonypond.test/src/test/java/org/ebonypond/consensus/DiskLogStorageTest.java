package org.ebonypond.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.junit.consensus.MemoryDisk;
import org.ebonypond.junit.consensus.RecordingEvents;
import org.junit.jupiter.api.Test;

class DiskLogStorageTest {
  private static final String FIRST_SEGMENT = "log-000000000001";

  private final MemoryDisk disk = new MemoryDisk();
  private final RecordingEvents events = new RecordingEvents();

  private DiskLogStorage open() {
    return new DiskLogStorage(disk, "a", new Random(1), events, 1_000);
  }

  private static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, EntryType.COMMAND, ("entry " + index).getBytes());
  }

  private static void write(LogStorage s, long from, long to, long term) {
    for (long i = from; i <= to; i++) {
      s.append(List.of(entry(i, term)));
      s.sync();
    }
  }

  private void assertCorrupt() {
    EbonypondException e = assertThrows(EbonypondException.class, this::open);
    assertEquals(ErrorCode.LOG_CORRUPT, e.code());
  }

  /** Guards against a torn last write that prevents the start or loses earlier records. */
  @Test
  void tornTailIsCutAtEveryLength() throws IOException {
    DiskLogStorage s = open();
    write(s, 1, 3, 1);
    byte[] three = disk.read(FIRST_SEGMENT);
    write(s, 4, 4, 1);
    int full = disk.read(FIRST_SEGMENT).length;
    for (int length = full - 1; length > three.length; length--) {
      disk.truncate(FIRST_SEGMENT, length);
      assertEquals(3, open().lastIndex());
      assertEquals(three.length, disk.read(FIRST_SEGMENT).length);
      disk.append(FIRST_SEGMENT, new byte[full - three.length]);
    }
    assertEquals(full - 1 - three.length, events.count(EventCode.LOG_TAIL_CUT));
  }

  /** Guards against opening a log with a damaged durable record. */
  @Test
  void flippedByteBeforeTheLastRecordIsRefusedAtEveryPosition() throws IOException {
    DiskLogStorage s = open();
    write(s, 1, 3, 1);
    final int end = disk.read(FIRST_SEGMENT).length;
    write(s, 4, 4, 1);
    for (int i = 0; i < end; i++) {
      disk.flipBit(FIRST_SEGMENT, i);
      assertCorrupt();
      disk.flipBit(FIRST_SEGMENT, i);
    }
    assertEquals(4, open().lastIndex());
  }

  /** Guards against treating a damaged tail of an earlier segment as a torn write. */
  @Test
  void flippedByteAtTheEndOfAnEarlierSegmentIsRefused() throws IOException {
    write(open(), 1, 60, 1);
    assertTrue(disk.list().size() > 2, "there are several segments");
    disk.flipBit(FIRST_SEGMENT, disk.read(FIRST_SEGMENT).length - 1);
    assertCorrupt();
  }

  /** Guards against reading a damaged vote, identity or snapshot. */
  @Test
  void flippedByteInIdentityOrSnapshotIsRefused() throws IOException {
    DiskLogStorage s = open();
    write(s, 1, 5, 1);
    s.saveSnapshot(new Snapshot(5, 1, Membership.NONE, new byte[100]), 6);
    s.sync();
    for (String file : List.of("replica", "snapshot")) {
      disk.flipBit(file, 20);
      assertCorrupt();
      disk.flipBit(file, 20);
    }
    assertEquals(5, open().lastIndex());
  }

  /** Guards against opening a log with a missing segment. */
  @Test
  void missingSegmentIsRefused() throws IOException {
    write(open(), 1, 60, 1);
    disk.delete(FIRST_SEGMENT);
    assertCorrupt();
  }

  /**
   * Guards against treating unsynced entries or votes as durable, and against losing synced ones.
   */
  @Test
  void crashKeepsExactlyWhatWasSynced() {
    DiskLogStorage s = open();
    final String identity = s.identity();
    s.saveHardState(new HardState(3, "x"));
    write(s, 1, 2, 3);
    s.saveHardState(new HardState(4, "y"));
    s.append(List.of(entry(3, 4)));
    disk.crash(null);
    DiskLogStorage again = open();
    assertEquals(identity, again.identity());
    assertEquals(new HardState(3, "x"), again.hardState());
    assertEquals(2, again.lastIndex());
  }

  /**
   * Guards against entries that a new process finds, acknowledges, and loses with the power,
   * because the process before was killed between writing and syncing them.
   */
  @Test
  void entriesFoundAfterKillSurviveLossOfPower() {
    DiskLogStorage s = open();
    write(s, 1, 1, 1);
    disk.failSyncs();
    s.append(List.of(entry(2, 1)));
    assertThrows(EbonypondException.class, s::sync);
    disk.allowSyncs();
    assertEquals(2, open().lastIndex(), "after the kill");
    disk.crash(null);
    assertEquals(2, open().lastIndex(), "after the loss of power");
  }

  /**
   * Guards against a vote that a new process finds and loses with the power: it would vote twice.
   */
  @Test
  void voteFoundAfterKillSurvivesLossOfPower() {
    DiskLogStorage s = open();
    s.saveHardState(new HardState(3, "x"));
    disk.interruptNextReplacement();
    assertThrows(EbonypondException.class, s::sync);
    assertEquals(new HardState(3, "x"), open().hardState(), "after the kill");
    disk.crash(null);
    assertEquals(new HardState(3, "x"), open().hardState(), "after the loss of power");
  }

  /** Guards against a log that is opened although what it holds cannot be made durable. */
  @Test
  void logOpensOnlyOnceItsContentIsDurable() {
    write(open(), 1, 2, 1);
    disk.failSyncs();
    EbonypondException e = assertThrows(EbonypondException.class, this::open);
    assertEquals(ErrorCode.STORAGE_FAILED, e.code());
    disk.allowSyncs();
    assertEquals(2, open().lastIndex());
  }

  /** Guards against truncated entries that reappear after a restart. */
  @Test
  void truncationSurvivesRestart() {
    DiskLogStorage s = open();
    write(s, 1, 10, 1);
    s.truncateFrom(6);
    write(s, 6, 7, 2);
    DiskLogStorage again = open();
    assertEquals(7, again.lastIndex());
    assertEquals(entry(5, 1), again.entry(5));
    assertEquals(entry(6, 2), again.entry(6));
    again.truncateFrom(3);
    again.sync();
    assertEquals(2, open().lastIndex());
  }

  /** Guards against a compaction that loses entries after the snapshot. */
  @Test
  void compactionKeepsTheTail() throws IOException {
    DiskLogStorage s = open();
    write(s, 1, 100, 1);
    s.saveSnapshot(new Snapshot(90, 1, Membership.NONE, new byte[0]), 85);
    write(s, 101, 102, 1);
    assertEquals(85, s.firstIndex());
    assertFalse(disk.list().contains(FIRST_SEGMENT));
    DiskLogStorage again = open();
    assertEquals(102, again.lastIndex());
    assertTrue(again.firstIndex() <= 85);
    assertEquals(entry(91, 1), again.entry(91));
  }

  /** Guards against keeping old entries that do not match an installed snapshot. */
  @Test
  void installedSnapshotReplacesTheLogEvenIfDeletionWasInterrupted() throws IOException {
    DiskLogStorage s = open();
    write(s, 1, 10, 1);
    byte[] segment = disk.read(FIRST_SEGMENT);
    s.resetTo(new Snapshot(8, 2, Membership.NONE, new byte[0]));
    s.sync();
    disk.append(FIRST_SEGMENT, segment);
    disk.sync(FIRST_SEGMENT);
    DiskLogStorage again = open();
    assertEquals(8, again.lastIndex());
    assertEquals(9, again.firstIndex());
    write(again, 9, 9, 2);
    assertEquals(9, open().lastIndex());
  }

  /** Guards against using the data folder of another replica. */
  @Test
  void diskOfAnotherReplicaIsRefused() {
    open();
    EbonypondException e =
        assertThrows(
            EbonypondException.class,
            () -> new DiskLogStorage(disk, "b", new Random(1), events, 1_000));
    assertEquals(ErrorCode.IDENTITY_MISMATCH, e.code());
  }

  /** Guards against changes during a sync that are lost or only partly covered by it. */
  @Test
  void changesDuringSyncGoIntoTheNextOne() {
    DiskLogStorage s = open();
    s.append(List.of(entry(1, 1), entry(2, 1)));
    final Runnable first = Objects.requireNonNull(s.beginSync());
    s.truncateFrom(2);
    s.append(List.of(entry(2, 2), entry(3, 2)));
    s.saveHardState(new HardState(2, "x"));
    assertThrows(IllegalStateException.class, s::beginSync);
    assertEquals(entry(2, 2), s.entry(2));
    first.run();
    DiskLogStorage between = open();
    assertEquals(HardState.INITIAL, between.hardState());
    assertEquals(entry(2, 1), between.entry(between.lastIndex()));
    s.sync();
    assertEquals(new HardState(2, "x"), open().hardState());
    assertEquals(entry(2, 2), open().entry(2));
    assertEquals(3, open().lastIndex());
  }

  /** Guards against a gap in the log when a snapshot covers entries that are not synced yet. */
  @Test
  void snapshotOfUnsyncedEntriesLeavesNoGap() {
    DiskLogStorage s = open();
    write(s, 1, 3, 1);
    s.append(List.of(entry(4, 1), entry(5, 1), entry(6, 1)));
    s.saveSnapshot(new Snapshot(5, 1, Membership.NONE, new byte[0]), 6);
    s.sync();
    write(s, 7, 7, 1);
    assertEquals(7, open().lastIndex());
    assertEquals(entry(6, 1), open().entry(6));
  }

  /** Guards against a separate sync for each entry. */
  @Test
  void oneSyncMakesManyEntriesDurable() {
    DiskLogStorage s = open();
    int before = disk.syncs();
    for (int i = 1; i <= 100; i++) {
      s.append(List.of(entry(i, 1)));
    }
    s.sync();
    assertEquals(before + 1, disk.syncs());
    assertEquals(100, open().lastIndex());
  }

  /** Guards against losing the commit index on a restart. */
  @Test
  void commitIndexIsSavedAndDamagedFileIsIgnored() throws IOException {
    DiskLogStorage s = open();
    write(s, 1, 3, 1);
    s.saveCommittedHint(2);
    s.sync();
    assertEquals(2, open().committedHint());
    disk.crash(null);
    assertEquals(2, open().committedHint(), "after a power failure");
    disk.flipBit("committed", 4);
    assertEquals(0, open().committedHint());
    assertEquals(3, open().lastIndex());
  }
}
