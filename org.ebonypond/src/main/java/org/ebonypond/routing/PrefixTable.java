package org.ebonypond.routing;

/**
 * A set of block hashes of bounded size with a confidence level for each. Set-associative: a hash
 * is stored in one of {@link #WAYS} slots, and the least recently used of them is evicted. The
 * table grows up to its limit. Not thread-safe.
 */
final class PrefixTable {
  static final int WAYS = 4;
  private static final int INITIAL_SIZE = 64;

  private final int limit;
  private long[] hashes = new long[0];
  // The value of the clock at the last use of each slot; the clock counts uses.
  private int[] used = new int[0];
  private byte[] confidence = new byte[0];
  private int clock;
  private int size;

  /** Creates an empty table; the limit is rounded up to a power of two. */
  PrefixTable(int limit) {
    this.limit = Integer.highestOneBit(Math.max(INITIAL_SIZE, limit) * 2 - 1);
  }

  /** Returns the confidence level of a hash, 0 if it is absent. */
  int confidence(long hash) {
    int i = find(hash);
    return i < 0 ? 0 : confidence[i];
  }

  /** Adds a hash or raises its confidence level, and marks it as recently used. */
  void add(long hash, int level) {
    int i = find(hash);
    if (i >= 0) {
      confidence[i] = (byte) Math.max(confidence[i], level);
      used[i] = ++clock;
      return;
    }
    if (size >= hashes.length / 2 && hashes.length < limit) {
      grow();
    }
    insert(hash, ++clock, (byte) level);
  }

  void remove(long hash) {
    int i = find(hash);
    if (i >= 0) {
      confidence[i] = 0;
      size--;
    }
  }

  /** Lowers the confidence level of every hash to at most the given one. */
  void limitConfidence(int level) {
    for (int i = 0; i < confidence.length; i++) {
      confidence[i] = (byte) Math.min(confidence[i], level);
    }
  }

  void clear() {
    hashes = new long[0];
    used = new int[0];
    confidence = new byte[0];
    size = 0;
  }

  int size() {
    return size;
  }

  /** Returns the memory in bytes of the arrays, which take 13 bytes per slot. */
  long bytes() {
    return hashes.length * 13L;
  }

  private int find(long hash) {
    if (hashes.length == 0) {
      return -1;
    }
    int base = base(hash, hashes.length);
    for (int i = base; i < base + WAYS; i++) {
      if (confidence[i] > 0 && hashes[i] == hash) {
        return i;
      }
    }
    return -1;
  }

  private static int base(long hash, int length) {
    return (int) (hash ^ (hash >>> 32)) & (length - 1) & -WAYS;
  }

  private void grow() {
    final long[] oldHashes = hashes;
    final int[] oldUsed = used;
    final byte[] oldConfidence = confidence;
    int n = Math.max(INITIAL_SIZE, oldHashes.length * 2);
    hashes = new long[n];
    used = new int[n];
    confidence = new byte[n];
    size = 0;
    for (int i = 0; i < oldHashes.length; i++) {
      if (oldConfidence[i] > 0) {
        insert(oldHashes[i], oldUsed[i], oldConfidence[i]);
      }
    }
  }

  private void insert(long hash, int usedAt, byte level) {
    int base = base(hash, hashes.length);
    int victim = base;
    for (int i = base; i < base + WAYS; i++) {
      if (confidence[i] == 0) {
        victim = i;
        break;
      }
      if (used[i] - used[victim] < 0) {
        victim = i;
      }
    }
    if (confidence[victim] == 0) {
      size++;
    }
    hashes[victim] = hash;
    used[victim] = usedAt;
    confidence[victim] = level;
  }
}
