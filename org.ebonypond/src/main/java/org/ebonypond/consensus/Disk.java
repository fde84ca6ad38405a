package org.ebonypond.consensus;

import java.io.IOException;
import java.util.List;

/**
 * The files of a {@link LogStorage}, in one folder. Calls are serialized, but may come from
 * different threads.
 */
public interface Disk extends AutoCloseable {
  /** Returns the names of all files, sorted. */
  List<String> list() throws IOException;

  /** Returns the content of a file. */
  byte[] read(String file) throws IOException;

  /** Appends to a file and creates it if it is missing; durable after {@link #sync}. */
  void append(String file, byte[] data) throws IOException;

  /** Makes the content of a file and its directory entry durable. */
  void sync(String file) throws IOException;

  /**
   * Makes the creation, replacement and deletion of all files up to now durable, including those by
   * an earlier process.
   */
  void syncFolder() throws IOException;

  /** Replaces the content of a file atomically and durably. */
  void replace(String file, byte[] content) throws IOException;

  /**
   * Replaces the content of a small file durably, with a single sync. After a crash during the call
   * the file may hold the new or the old content or a mixture, or be missing. A failure is logged
   * and not thrown.
   */
  void writeBestEffort(String file, byte[] content);

  /** Truncates a file to a length in bytes, durably. */
  void truncate(String file, long length) throws IOException;

  /** Deletes a file durably. */
  void delete(String file) throws IOException;

  @Override
  void close() throws IOException;
}
