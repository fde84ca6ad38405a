package org.ebonypond.server.http1;

/**
 * The memory for the request bodies of all connections of a process. Without a limit, a burst of
 * large bodies would exhaust the direct memory of the process, and each further allocation would
 * block the event loop. Confined to that loop.
 */
public final class RequestBodyMemory {
  private final long maxBytes;
  private long bytes;

  /**
   * Creates the memory.
   *
   * @param maxBytes the limit in bytes; the direct memory of the process must have room for answers
   *     and socket buffers besides
   */
  public RequestBodyMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reserves memory; returns false if there is not enough. */
  boolean reserve(long count) {
    if (bytes + count > maxBytes) {
      return false;
    }
    bytes += count;
    return true;
  }

  /** Releases memory that was reserved. */
  void release(long count) {
    bytes -= count;
  }
}
