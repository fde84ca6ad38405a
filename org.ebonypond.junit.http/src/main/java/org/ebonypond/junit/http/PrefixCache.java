package org.ebonypond.junit.http;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * A simulated prefix cache with least-recently-used eviction. Its events appear with a lag, and
 * some events never appear. Not thread-safe.
 */
public final class PrefixCache {
  private static final int MAX_EVENTS = 10_000;
  private final int capacity;
  private final long lagMillis;
  private final int gapEvery;
  private final LinkedHashSet<String> stored = new LinkedHashSet<>();
  private final List<CacheEvent> events = new ArrayList<>();
  private long nextSeq = 1;

  /**
   * Creates an empty cache.
   *
   * @param capacity the capacity in prefixes; values below 1 count as 1
   * @param lagMillis the time until an event appears, in milliseconds
   * @param gapEvery events whose sequence number is a multiple of this are lost; 0 loses none
   */
  public PrefixCache(int capacity, long lagMillis, int gapEvery) {
    this.capacity = Math.max(1, capacity);
    this.lagMillis = lagMillis;
    this.gapEvery = gapEvery;
  }

  /** Returns how many leading prefixes of a prompt are stored, and marks these as used. */
  public int hit(List<String> prefixes) {
    int blocks = 0;
    while (blocks < prefixes.size() && stored.contains(prefixes.get(blocks))) {
      blocks++;
    }
    touch(prefixes.subList(0, blocks));
    return blocks;
  }

  /** Stores the prefixes of a prompt, shortest first, up to the capacity. */
  public void store(List<String> prefixes, long now) {
    List<String> fitting = prefixes.subList(0, Math.min(capacity, prefixes.size()));
    touch(fitting.stream().filter(stored::contains).toList());
    fitting.forEach(p -> storePrefix(p, now));
    touch(fitting);
  }

  /** Stores one prefix and evicts the least recently used ones above the capacity. */
  public void storePrefix(String prefix, long now) {
    if (!stored.remove(prefix)) {
      record("stored", prefix, now);
    }
    stored.add(prefix);
    Iterator<String> leastRecent = stored.iterator();
    while (stored.size() > capacity) {
      String p = leastRecent.next();
      leastRecent.remove();
      record("removed", p, now);
    }
  }

  /** Returns whether a prefix is stored. */
  public boolean contains(String prefix) {
    return stored.contains(prefix);
  }

  /** Discards all prefixes and events and restarts the sequence numbers, as a restart does. */
  public void clear() {
    stored.clear();
    events.clear();
    nextSeq = 1;
  }

  /** Returns the events after a sequence number that have appeared by a time. */
  public List<CacheEvent> events(long after, long now) {
    return events.stream().filter(e -> e.seq() > after && e.time() + lagMillis <= now).toList();
  }

  /**
   * Marks prefixes as used, the shortest as the most recent, so that longer ones are evicted first:
   * a prefix cannot be used without the shorter ones.
   */
  private void touch(List<String> prefixes) {
    for (int i = prefixes.size() - 1; i >= 0; i--) {
      stored.remove(prefixes.get(i));
      stored.add(prefixes.get(i));
    }
  }

  private void record(String type, String prefix, long now) {
    long seq = nextSeq++;
    if (gapEvery > 0 && seq % gapEvery == 0) {
      return;
    }
    events.add(new CacheEvent(seq, type, prefix, now));
    if (events.size() > MAX_EVENTS) {
      events.remove(0);
    }
  }

  /**
   * A change of the cache.
   *
   * @param seq the sequence number
   * @param type {@code stored} or {@code removed}
   * @param prefix the name of the prefix
   * @param time when the change happened, in monotonic milliseconds
   */
  public record CacheEvent(long seq, String type, String prefix, long time) {}
}
