package org.ebonypond.server.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.random.RandomGenerator;
import org.ebonypond.consensus.DiskLogStorage;
import org.ebonypond.consensus.LogStorage;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;

/** Opens the log storage of a replica in a folder. */
public final class FileLogStorage {
  private FileLogStorage() {}

  /**
   * Opens a folder, which is created with a random identity if it is missing or empty.
   *
   * @param folder the folder of this replica for one replicated log
   * @param replica the name of the replica
   * @param random the source of the identity; must be cryptographically secure outside tests
   * @param events receives {@code LOG_TAIL_CUT}
   * @throws EbonypondException {@code log-corrupt}, {@code identity-mismatch} or {@code
   *     storage-failed}
   */
  public static LogStorage open(
      Path folder, String replica, RandomGenerator random, EventSink events) {
    FileDisk disk = openDisk(folder);
    try {
      return new DiskLogStorage(
          disk, replica, random, events, DiskLogStorage.DEFAULT_SEGMENT_BYTES);
    } catch (RuntimeException e) {
      disk.close();
      throw e;
    }
  }

  private static FileDisk openDisk(Path folder) {
    try {
      return new FileDisk(folder);
    } catch (IOException e) {
      throw new EbonypondException(e, ErrorCode.STORAGE_FAILED, String.valueOf(e.getMessage()));
    }
  }
}
