package org.ebonypond.junit.http;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * A prefix cache with a limit. Its events appear late, and some sequence numbers never appear. Not
 * thread-safe.
 */
public final class PrefixCache {
  private static final int MAX_EVENTS = 10_000;
  private final int limit;
  private final long lagMillis;
  private final int gapEvery;
  private final LinkedHashSet<String> stored = new LinkedHashSet<>();
  private final List<CacheEvent> events = new ArrayList<>();
  private long nextSeq = 1;

  /**
   * Creates an empty cache.
   *
   * @param limit the number of prefixes that fit, at least 1
   * @param lagMillis how late events appear, in milliseconds
   * @param gapEvery each event whose number is a multiple of this is lost; 0 loses none
   */
  public PrefixCache(int limit, long lagMillis, int gapEvery) {
    this.limit = Math.max(1, limit);
    this.lagMillis = lagMillis;
    this.gapEvery = gapEvery;
  }

  /** Returns how many leading prefixes of a prompt are stored, and marks them as used. */
  public int hit(List<String> prefixes) {
    int blocks = 0;
    while (blocks < prefixes.size() && stored.contains(prefixes.get(blocks))) {
      blocks++;
    }
    touch(prefixes.subList(0, blocks));
    return blocks;
  }

  /** Stores the prefixes of a prompt, from the shortest on, as far as they fit. */
  public void store(List<String> prefixes, long now) {
    List<String> fitting = prefixes.subList(0, Math.min(limit, prefixes.size()));
    touch(fitting.stream().filter(stored::contains).toList());
    fitting.forEach(p -> storePrefix(p, now));
    touch(fitting);
  }

  /** Stores one prefix; removes the least recently used ones beyond the limit. */
  public void storePrefix(String prefix, long now) {
    if (!stored.remove(prefix)) {
      record("stored", prefix, now);
    }
    stored.add(prefix);
    Iterator<String> oldest = stored.iterator();
    while (stored.size() > limit) {
      String p = oldest.next();
      oldest.remove();
      record("removed", p, now);
    }
  }

  /** Returns whether a prefix is stored. */
  public boolean contains(String prefix) {
    return stored.contains(prefix);
  }

  /** Removes everything without events, as a restart does. */
  public void clear() {
    stored.clear();
    events.clear();
    nextSeq = 1;
  }

  /** Returns the events after a sequence number that have appeared by now. */
  public List<CacheEvent> events(long after, long now) {
    return events.stream().filter(e -> e.seq() > after && e.time() + lagMillis <= now).toList();
  }

  /** Marks the shortest prefix as used last: a prefix is of no use without the shorter ones. */
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
   * One change of the cache.
   *
   * @param seq the sequence number
   * @param type {@code stored} or {@code removed}
   * @param prefix the name of the prefix
   * @param time when it happened, monotonic milliseconds
   */
  public record CacheEvent(long seq, String type, String prefix, long time) {}
}
