package org.ebonypond.junit.http;

import java.util.ArrayDeque;
import java.util.Deque;

/** Recent load samples, which are reported with a lag. Not thread-safe. */
public final class LoadHistory {
  private final long lagMillis;
  private final Deque<Sample> samples = new ArrayDeque<>();

  /**
   * Creates a history.
   *
   * @param lagMillis the minimum age of a reported sample, in milliseconds
   */
  public LoadHistory(long lagMillis) {
    this.lagMillis = lagMillis;
  }

  /** Adds a sample, which must not be older than the last one. */
  public void add(Sample sample) {
    samples.addLast(sample);
    while (samples.size() > 1 && secondOldest().time() <= sample.time() - lagMillis) {
      samples.removeFirst();
    }
  }

  /**
   * Returns the newest sample that is at least as old as the lag, the oldest one if all are newer,
   * or a sample without load if there is none.
   */
  public Sample report(long now) {
    Sample found = samples.isEmpty() ? new Sample(now, now, 0, 0, 0) : samples.getFirst();
    for (Sample s : samples) {
      if (s.time() <= now - lagMillis) {
        found = s;
      }
    }
    return found;
  }

  private Sample secondOldest() {
    var it = samples.iterator();
    it.next();
    return it.next();
  }

  /**
   * The load at one time.
   *
   * @param time monotonic milliseconds
   * @param wallMillis wall time in milliseconds since the epoch
   * @param active the number of running requests
   * @param waiting the number of queued requests
   * @param tokens the number of tokens that remain to be produced
   */
  public record Sample(long time, long wallMillis, int active, int waiting, long tokens) {}
}
