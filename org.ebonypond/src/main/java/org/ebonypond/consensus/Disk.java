package org.ebonypond.consensus;

import java.io.IOException;
import java.util.List;

/**
 * A flat folder of files below a {@link LogStorage}. Calls are serialized, not all on one thread.
 */
public interface Disk extends AutoCloseable {
  /** Returns the names of all files, sorted. */
  List<String> list() throws IOException;

  /** Returns the content of a file. */
  byte[] read(String file) throws IOException;

  /** Appends to a file, which is created if it does not exist; durable after {@link #sync}. */
  void append(String file, byte[] data) throws IOException;

  /** Makes the content of a file and its entry in the folder durable. */
  void sync(String file) throws IOException;

  /** Replaces a file by new content, atomically and durably. */
  void replace(String file, byte[] content) throws IOException;

  /**
   * Replaces the content of a small file durably, with a single sync: after a crash during the call
   * it may be the new or the old content, a mixture or missing. A failure is reported elsewhere and
   * not thrown.
   */
  void note(String file, byte[] content);

  /** Cuts a file to a length in bytes, durably. */
  void truncate(String file, long length) throws IOException;

  /** Deletes a file durably. */
  void delete(String file) throws IOException;

  @Override
  void close() throws IOException;
}
