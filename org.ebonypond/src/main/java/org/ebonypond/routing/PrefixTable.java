package org.ebonypond.routing;

/**
 * A set of block hashes of bounded size with the trust in each. Set-associative: a hash may sit in
 * one of {@link #WAYS} places, and the least recently used of them gives way. It grows up to its
 * limit. Not thread-safe.
 */
final class PrefixTable {
  static final int WAYS = 4;
  private static final int INITIAL = 64;

  private final int limit;
  private long[] hashes = new long[0];
  private int[] used = new int[0];
  private byte[] trust = new byte[0];
  private int clock;
  private int size;

  /** Creates an empty table; the limit is rounded up to a power of two. */
  PrefixTable(int limit) {
    this.limit = Integer.highestOneBit(Math.max(INITIAL, limit) * 2 - 1);
  }

  /** Returns the trust in a hash, 0 if it is absent. */
  int trust(long hash) {
    int i = find(hash);
    return i < 0 ? 0 : trust[i];
  }

  /** Adds a hash or raises the trust in it, and marks it as used. */
  void add(long hash, int level) {
    int i = find(hash);
    if (i >= 0) {
      trust[i] = (byte) Math.max(trust[i], level);
      used[i] = ++clock;
      return;
    }
    if (size >= hashes.length / 2 && hashes.length < limit) {
      grow();
    }
    place(hash, ++clock, (byte) level);
  }

  void remove(long hash) {
    int i = find(hash);
    if (i >= 0) {
      trust[i] = 0;
      size--;
    }
  }

  /** Lowers the trust in every hash to at most a level. */
  void limitTrust(int level) {
    for (int i = 0; i < trust.length; i++) {
      trust[i] = (byte) Math.min(trust[i], level);
    }
  }

  void clear() {
    hashes = new long[0];
    used = new int[0];
    trust = new byte[0];
    size = 0;
  }

  int size() {
    return size;
  }

  /** Returns the bytes of the arrays. */
  long bytes() {
    return hashes.length * 13L;
  }

  private int find(long hash) {
    if (hashes.length == 0) {
      return -1;
    }
    int base = base(hash, hashes.length);
    for (int i = base; i < base + WAYS; i++) {
      if (trust[i] > 0 && hashes[i] == hash) {
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
    final byte[] oldTrust = trust;
    int n = Math.max(INITIAL, oldHashes.length * 2);
    hashes = new long[n];
    used = new int[n];
    trust = new byte[n];
    size = 0;
    for (int i = 0; i < oldHashes.length; i++) {
      if (oldTrust[i] > 0) {
        place(oldHashes[i], oldUsed[i], oldTrust[i]);
      }
    }
  }

  private void place(long hash, int when, byte level) {
    int base = base(hash, hashes.length);
    int victim = base;
    for (int i = base; i < base + WAYS; i++) {
      if (trust[i] == 0) {
        victim = i;
        break;
      }
      if (used[i] - used[victim] < 0) {
        victim = i;
      }
    }
    if (trust[victim] == 0) {
      size++;
    }
    hashes[victim] = hash;
    used[victim] = when;
    trust[victim] = level;
  }
}
