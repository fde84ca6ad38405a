package org.ebonypond.server.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.consensus.Snapshot;
import org.ebonypond.server.Recording;
import org.ebonypond.serving.ServingState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The files of a replica of the production build, see {@link Recording}. */
class RecordedLogTest {
  @TempDir Path folder;

  /** Guards against a replica that loses what the production build has written to its disk. */
  @Test
  void recordedLogIsRead() throws IOException {
    for (Map.Entry<String, byte[]> f : Recording.files().entrySet()) {
      Files.write(folder.resolve(f.getKey()), f.getValue());
    }
    try (LogStorage s = LogFolderSample.open(folder)) {
      assertEquals(LogFolderSample.IDENTITY, s.identity());
      assertEquals(LogFolderSample.HARD_STATE, s.hardState());
      // Segments are dropped as a whole.
      assertEquals(1, s.firstIndex());
      assertEquals(4, s.lastIndex());
      assertEquals(4, s.committedHint());
      Snapshot snapshot = s.snapshot();
      assertNotNull(snapshot);
      assertEquals(3, snapshot.index());
      assertEquals(3, snapshot.term());
      assertEquals(LogFolderSample.MEMBERSHIP, snapshot.membership());
      ServingState state = new ServingState();
      state.restore(snapshot.data());
      assertEquals(List.of(), state.current().zonesOut());
      state.apply(4, s.entry(4).data());
      assertEquals(LogFolderSample.VERSION, state.current().version());
      assertArrayEquals(LogFolderSample.CONTENT, state.current().content());
      assertEquals(List.of(LogFolderSample.ZONE), state.current().zonesOut());
    }
  }

  /** Guards against files that the production build cannot read after this build has run. */
  @Test
  void logHasTheRecordedBytes() throws IOException {
    Map<String, byte[]> old = Recording.files();
    Map<String, byte[]> written = LogFolderSample.write(folder);
    assertEquals(old.keySet(), written.keySet());
    for (Map.Entry<String, byte[]> f : written.entrySet()) {
      assertArrayEquals(old.get(f.getKey()), f.getValue(), f.getKey());
    }
  }
}
