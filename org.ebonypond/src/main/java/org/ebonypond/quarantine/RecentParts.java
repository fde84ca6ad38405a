package org.ebonypond.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts recent requests, in total and for each prompt part. Two generations bound its memory
 * however many distinct parts there are: counts last for one to two generations, and for less if a
 * generation is full. Not thread-safe.
 */
final class RecentParts {
  /** The duration of a generation, in milliseconds; tens of passes of an engine. */
  static final long GENERATION_MILLIS = 10_000;

  /** At about 100 bytes each, two generations take less than 1 MB. */
  static final int MAX_PARTS = 4_096;

  private Map<Long, Integer> current = new HashMap<>();
  private Map<Long, Integer> previous = Map.of();
  private int currentTotal;
  private int previousTotal;
  private long startedAt = Long.MIN_VALUE;

  /** Adds a request with these parts. */
  void add(List<Long> parts, long now) {
    advance(now);
    if (current.size() + parts.size() > MAX_PARTS) {
      startGeneration(now);
    }
    currentTotal++;
    parts.forEach(p -> current.merge(p, 1, Integer::sum));
  }

  /** Returns the number of recent requests. */
  int total(long now) {
    advance(now);
    return currentTotal + previousTotal;
  }

  /** Returns the number of recent requests with a part. */
  int count(long part, long now) {
    advance(now);
    return current.getOrDefault(part, 0) + previous.getOrDefault(part, 0);
  }

  /** Returns the number of parts that are held. */
  int size() {
    return current.size() + previous.size();
  }

  private void advance(long now) {
    if (startedAt == Long.MIN_VALUE) {
      startedAt = now;
    }
    if (now - startedAt >= 2 * GENERATION_MILLIS) {
      current = new HashMap<>();
      currentTotal = 0;
    }
    if (now - startedAt >= GENERATION_MILLIS) {
      startGeneration(now);
    }
  }

  private void startGeneration(long now) {
    previous = current;
    previousTotal = currentTotal;
    current = new HashMap<>();
    currentTotal = 0;
    startedAt = now;
  }
}
