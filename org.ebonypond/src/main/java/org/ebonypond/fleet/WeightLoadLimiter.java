package org.ebonypond.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the number of loads from the weight store that start within a sliding window. */
public final class WeightLoadLimiter {
  private final Deque<Long> starts = new ArrayDeque<>();
  private final long windowMillis;

  /**
   * Creates a limiter with an empty window.
   *
   * @param windowMillis the length of the window in milliseconds
   */
  public WeightLoadLimiter(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Fills the window, because an earlier leader may have started loads until now. */
  public void assumeFull(int loads, long now) {
    starts.clear();
    for (int i = 0; i < loads; i++) {
      starts.add(now);
    }
  }

  /** Returns the number of loads that may start now. */
  public int available(double loadsPerSecond, long now) {
    while (!starts.isEmpty() && now - starts.peekFirst() >= windowMillis) {
      starts.removeFirst();
    }
    return capacity(loadsPerSecond) - starts.size();
  }

  /** Records loads that start now. */
  public void recordStarts(int loads, long now) {
    for (int i = 0; i < loads; i++) {
      starts.add(now);
    }
  }

  /** Returns the number of loads allowed per window, at least one. */
  public int capacity(double loadsPerSecond) {
    return (int) Math.max(1, Math.floor(loadsPerSecond * windowMillis / 1_000));
  }
}
