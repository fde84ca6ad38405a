package org.ebonypond.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the content of each target's prefix cache. Blocks are learned from the engine's cache
 * events and, as hints of lower confidence, from this entry's own routing decisions. After a gap in
 * the events, the blocks learned before it are downgraded to hints; a new boot clears them. Memory
 * per target is bounded. Thread-safe; the targets are sharded.
 */
public final class PrefixIndex {
  /**
   * The default limit of block hashes per target: covers a cache of about 130,000 tokens in 27 KB.
   */
  public static final int DEFAULT_BLOCKS = 2_048;

  /** Confidence in a block known from this entry's routing, or from events before a gap. */
  static final int HINT = 1;

  /** Confidence in a block known from an event. */
  static final int CONFIRMED = 2;

  /** The fraction of a hinted block that counts as cached. */
  private static final double HINT_WEIGHT = 0.5;

  private static final int SHARDS = 64;

  private final int blocksPerTarget;
  private final Shard[] shards = new Shard[SHARDS];

  /**
   * Creates an empty index.
   *
   * @param blocksPerTarget the maximum number of block hashes per target, rounded up to a power of
   *     two
   */
  public PrefixIndex(int blocksPerTarget) {
    this.blocksPerTarget = blocksPerTarget;
    for (int i = 0; i < SHARDS; i++) {
      shards[i] = new Shard();
    }
  }

  private Shard shard(String key) {
    int h = key.hashCode();
    return shards[(h ^ (h >>> 16)) & (SHARDS - 1)];
  }

  /**
   * Applies cache events of a target in the order in which they arrive. Events that were applied
   * before, and those of another boot, are ignored.
   *
   * @param target the target
   * @param boot the boot identity of the engine that published the events
   * @param events the events, by sequence number
   */
  public void onEvents(Target target, String boot, List<CacheEvent> events) {
    if (!boot.equals(target.boot())) {
      return;
    }
    Shard s = shard(target.key());
    synchronized (s) {
      TargetCache cache = s.current(target, blocksPerTarget);
      for (CacheEvent c : events) {
        cache.apply(c);
      }
    }
  }

  /** Returns the sequence number of the last event applied for the target's boot, 0 if none. */
  public long lastSeq(Target target) {
    Shard s = shard(target.key());
    synchronized (s) {
      TargetCache cache = s.caches.get(target.key());
      return cache == null || !cache.boot.equals(target.boot()) ? 0 : cache.lastSeq;
    }
  }

  /**
   * Records as a hint that a prompt was routed to a target, which will probably cache its prefix.
   */
  public void onRouted(Target target, PromptBlocks prefix) {
    if (prefix.size() == 0) {
      return;
    }
    Shard s = shard(target.key());
    synchronized (s) {
      s.current(target, blocksPerTarget).addAll(prefix, HINT);
    }
  }

  /**
   * Returns the number of leading blocks of a prompt that the target probably has cached. A hinted
   * block counts as a fraction, since it may have been evicted.
   */
  public double cachedBlocks(Target target, PromptBlocks prefix) {
    if (prefix.size() == 0) {
      return 0;
    }
    Shard s = shard(target.key());
    synchronized (s) {
      TargetCache cache = s.caches.get(target.key());
      return cache == null || !cache.boot.equals(target.boot()) ? 0 : cache.match(prefix);
    }
  }

  /** Removes the targets that are not in the set. */
  public void retain(Set<String> keys) {
    for (Shard s : shards) {
      synchronized (s) {
        s.caches.keySet().retainAll(keys);
      }
    }
  }

  /** Returns the number of block hashes stored for a target. */
  public int size(String key) {
    Shard s = shard(key);
    synchronized (s) {
      TargetCache cache = s.caches.get(key);
      return cache == null ? 0 : cache.table.size();
    }
  }

  /** Returns the memory in bytes of all tables of block hashes. */
  public long bytes() {
    long sum = 0;
    for (Shard s : shards) {
      synchronized (s) {
        for (TargetCache cache : s.caches.values()) {
          sum += cache.table.bytes();
        }
      }
    }
    return sum;
  }

  /** Guarded by itself. */
  private static final class Shard {
    private final Map<String, TargetCache> caches = new HashMap<>();

    TargetCache current(Target t, int limit) {
      TargetCache cache = caches.get(t.key());
      if (cache == null || !cache.boot.equals(t.boot())) {
        cache = new TargetCache(t.boot(), limit);
        caches.put(t.key(), cache);
      }
      return cache;
    }
  }

  /** The estimated cache content of one boot of a target; guarded by its shard. */
  private static final class TargetCache {
    private final String boot;
    private final PrefixTable table;
    private long lastSeq;

    TargetCache(String boot, int limit) {
      this.boot = boot;
      this.table = new PrefixTable(limit);
    }

    void apply(CacheEvent c) {
      if (c.seq() <= lastSeq) {
        return;
      }
      if (c.seq() > lastSeq + 1) {
        // The missing events may have removed any block.
        table.limitConfidence(HINT);
      }
      lastSeq = c.seq();
      if (c.stored()) {
        addAll(c.prefix(), CONFIRMED);
      } else if (c.prefix().size() > 0) {
        // The engine evicts a prefix from its end; blocks behind the removed one cannot match
        // without it.
        table.remove(c.prefix().hash(c.prefix().size() - 1));
      }
    }

    void addAll(PromptBlocks p, int confidence) {
      // Adds the last block first, so that it is the oldest: eviction then shortens prefixes from
      // their end.
      for (int i = p.size() - 1; i >= 0; i--) {
        table.add(p.hash(i), confidence);
      }
    }

    double match(PromptBlocks p) {
      double sum = 0;
      for (int i = 0; i < p.size(); i++) {
        int confidence = table.confidence(p.hash(i));
        if (confidence == 0) {
          break;
        }
        sum += confidence >= CONFIRMED ? 1 : HINT_WEIGHT;
      }
      return sum;
    }
  }
}
