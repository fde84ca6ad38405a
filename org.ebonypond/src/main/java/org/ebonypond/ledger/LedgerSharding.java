package org.ebonypond.ledger;

import java.nio.charset.StandardCharsets;

/** Maps a workspace and a key to a ledger shard, identically in all processes and versions. */
public final class LedgerSharding {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final int shards;

  /**
   * Creates the mapping.
   *
   * @param shards the number of ledger shards; must not change while any record is kept
   */
  public LedgerSharding(int shards) {
    if (shards < 1) {
      throw new IllegalArgumentException("shards must be positive: " + shards);
    }
    this.shards = shards;
  }

  /** Returns the shard of a key, from 0 to the number of shards less one. */
  public int shardOf(String workspace, String key) {
    long h = hash(FNV_OFFSET, workspace);
    // The separator byte cannot occur in UTF-8, so two different pairs never hash the same bytes.
    h = (h ^ 0xff) * FNV_PRIME;
    h = hash(h, key);
    // FNV-1a mixes its low bits poorly, so the finalizer of MurmurHash3 is applied.
    h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
    h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return (int) Long.remainderUnsigned(h ^ (h >>> 33), shards);
  }

  private static long hash(long seed, String text) {
    long h = seed;
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * FNV_PRIME;
    }
    return h;
  }
}
