package org.ebonypond.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/** Bounds the loads from the weight store that start within a sliding window. */
public final class LoadCeiling {
  private final Deque<Long> starts = new ArrayDeque<>();
  private final long windowMillis;

  /**
   * Creates a ceiling without any load.
   *
   * @param windowMillis the length of the window in milliseconds
   */
  public LoadCeiling(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Fills the window, because another leader may have used it up to now. */
  public void assumeFull(int loads, long now) {
    starts.clear();
    for (int i = 0; i < loads; i++) {
      starts.add(now);
    }
  }

  /** Returns the loads that may start now. */
  public int available(double loadsPerSecond, long now) {
    while (!starts.isEmpty() && now - starts.peekFirst() >= windowMillis) {
      starts.removeFirst();
    }
    return capacity(loadsPerSecond) - starts.size();
  }

  /** Counts loads that start now. */
  public void take(int loads, long now) {
    for (int i = 0; i < loads; i++) {
      starts.add(now);
    }
  }

  /** Returns the loads that fit into one window. */
  public int capacity(double loadsPerSecond) {
    return (int) Math.max(1, Math.floor(loadsPerSecond * windowMillis / 1_000));
  }
}
