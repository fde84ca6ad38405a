package org.ebonypond.junit.http;

import java.util.ArrayDeque;
import java.util.Deque;

/** Load samples that are reported with a lag. Not thread-safe. */
public final class LoadHistory {
  private final long lagMillis;
  private final Deque<Sample> samples = new ArrayDeque<>();

  /**
   * Creates a history.
   *
   * @param lagMillis the age of a sample when it is reported, in milliseconds
   */
  public LoadHistory(long lagMillis) {
    this.lagMillis = lagMillis;
  }

  /** Adds a sample; times do not decrease. */
  public void add(Sample sample) {
    samples.addLast(sample);
    while (samples.size() > 1 && second().time() <= sample.time() - lagMillis) {
      samples.removeFirst();
    }
  }

  /** Returns the newest sample that is at least as old as the lag, or else the oldest. */
  public Sample report(long now) {
    Sample found = samples.isEmpty() ? new Sample(now, now, 0, 0, 0) : samples.getFirst();
    for (Sample s : samples) {
      if (s.time() <= now - lagMillis) {
        found = s;
      }
    }
    return found;
  }

  private Sample second() {
    var it = samples.iterator();
    it.next();
    return it.next();
  }

  /**
   * One sample.
   *
   * @param time monotonic milliseconds
   * @param wallMillis wall time in milliseconds since the epoch
   * @param active requests that are being run
   * @param waiting requests that wait
   * @param tokens tokens that are still to be produced
   */
  public record Sample(long time, long wallMillis, int active, int waiting, long tokens) {}
}
