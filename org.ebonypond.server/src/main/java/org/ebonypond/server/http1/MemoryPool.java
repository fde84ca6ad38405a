package org.ebonypond.server.http1;

/** A limited amount of memory that several connections share. Confined to one event loop. */
final class MemoryPool {
  private final long maxBytes;
  private long bytes;

  MemoryPool(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reserves memory; returns false if there is not enough. */
  boolean reserve(long count) {
    return reserve(count, maxBytes);
  }

  /** Reserves memory unless more than a part of all would be taken; returns whether it did. */
  boolean reserve(long count, long limit) {
    if (bytes + count > limit) {
      return false;
    }
    bytes += count;
    return true;
  }

  /** Records memory that is taken already. */
  void take(long count) {
    bytes += count;
  }

  /** Releases memory that was reserved. */
  void release(long count) {
    bytes -= count;
  }

  boolean isExceeded() {
    return bytes > maxBytes;
  }

  long maxBytes() {
    return maxBytes;
  }
}
