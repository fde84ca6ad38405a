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

  /** Returns how many leading blocks of a prompt are stored, and marks them as used. */
  public int hit(String prompt) {
    int blocks = 0;
    while (blocks < Content.prefixBlocks(prompt)) {
      String p = Content.prefix(prompt, blocks + 1);
      if (!stored.remove(p)) {
        break;
      }
      stored.add(p);
      blocks++;
    }
    return blocks;
  }

  /** Stores all prefixes of a prompt. */
  public void store(String prompt, long now) {
    for (int i = 1; i <= Content.prefixBlocks(prompt); i++) {
      storePrefix(Content.prefix(prompt, i), now);
    }
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
