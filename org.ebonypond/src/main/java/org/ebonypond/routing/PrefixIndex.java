package org.ebonypond.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What each target probably has in its prefix cache. Entries come from the engine's cache events
 * and, as weaker hints, from own routing. After a gap in the events, the entries learned before
 * count as hints too; a new boot clears them. Memory per target is bounded. Thread-safe; the
 * targets are sharded.
 */
public final class PrefixIndex {
  /** Most block hashes per target by default: a cache of about 130,000 tokens, 27 KB. */
  public static final int DEFAULT_BLOCKS = 2_048;

  /** Trust in an entry from own routing, or from events before a gap. */
  static final int HINT = 1;

  /** Trust in an entry from an event. */
  static final int CONFIRMED = 2;

  /** The share of a hinted block that counts as cached. */
  private static final double HINT_SHARE = 0.5;

  private static final int SHARDS = 64;

  private final int blocksPerTarget;
  private final Shard[] shards = new Shard[SHARDS];

  /**
   * Creates an empty index.
   *
   * @param blocksPerTarget the most block hashes per target, rounded up to a power of two
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
   * Takes cache events of a target in the order in which they arrive. Events that were seen before
   * are ignored.
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
      Entry e = s.current(target, blocksPerTarget);
      for (CacheEvent c : events) {
        e.apply(c);
      }
    }
  }

  /** Returns the sequence number after which the target's events are still to be read. */
  public long lastSeq(Target target) {
    Shard s = shard(target.key());
    synchronized (s) {
      Entry e = s.entries.get(target.key());
      return e == null || !e.boot.equals(target.boot()) ? 0 : e.lastSeq;
    }
  }

  /** Notes that a prompt was routed to a target, which will probably store its prefix. */
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
   * Returns the blocks at the start of a prompt that the target probably has cached. A hinted block
   * counts in part, since it may have been evicted.
   */
  public double cachedBlocks(Target target, PromptBlocks prefix) {
    if (prefix.size() == 0) {
      return 0;
    }
    Shard s = shard(target.key());
    synchronized (s) {
      Entry e = s.entries.get(target.key());
      return e == null || !e.boot.equals(target.boot()) ? 0 : e.match(prefix);
    }
  }

  /** Forgets the targets that are not in the set. */
  public void retain(Set<String> keys) {
    for (Shard s : shards) {
      synchronized (s) {
        s.entries.keySet().retainAll(keys);
      }
    }
  }

  /** Returns the block hashes held for a target. */
  public int size(String key) {
    Shard s = shard(key);
    synchronized (s) {
      Entry e = s.entries.get(key);
      return e == null ? 0 : e.table.size();
    }
  }

  /** Returns the bytes held for block hashes. */
  public long bytes() {
    long sum = 0;
    for (Shard s : shards) {
      synchronized (s) {
        for (Entry e : s.entries.values()) {
          sum += e.table.bytes();
        }
      }
    }
    return sum;
  }

  /** Guarded by itself. */
  private static final class Shard {
    private final Map<String, Entry> entries = new HashMap<>();

    Entry current(Target t, int limit) {
      Entry e = entries.get(t.key());
      if (e == null || !e.boot.equals(t.boot())) {
        e = new Entry(t.boot(), limit);
        entries.put(t.key(), e);
      }
      return e;
    }
  }

  /** The cache of one boot of a target; guarded by its shard. */
  private static final class Entry {
    private final String boot;
    private final PrefixTable table;
    private long lastSeq;

    Entry(String boot, int limit) {
      this.boot = boot;
      this.table = new PrefixTable(limit);
    }

    void apply(CacheEvent c) {
      if (c.seq() <= lastSeq) {
        return;
      }
      if (c.seq() > lastSeq + 1) {
        // The missing events may have removed any entry.
        table.limitTrust(HINT);
      }
      lastSeq = c.seq();
      if (c.stored()) {
        addAll(c.prefix(), CONFIRMED);
      } else if (c.prefix().size() > 0) {
        // The engine drops a prefix from its end; what is longer cannot be reached without it.
        table.remove(c.prefix().hash(c.prefix().size() - 1));
      }
    }

    void addAll(PromptBlocks p, int level) {
      // From the end, so that the eviction of old entries shortens prefixes from their end.
      for (int i = p.size() - 1; i >= 0; i--) {
        table.add(p.hash(i), level);
      }
    }

    double match(PromptBlocks p) {
      double sum = 0;
      for (int i = 0; i < p.size(); i++) {
        int t = table.trust(p.hash(i));
        if (t == 0) {
          break;
        }
        sum += t >= CONFIRMED ? 1 : HINT_SHARE;
      }
      return sum;
    }
  }
}
