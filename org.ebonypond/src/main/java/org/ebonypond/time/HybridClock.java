package org.ebonypond.time;

import java.util.function.LongSupplier;

/** A hybrid logical clock; thread-safe. */
public final class HybridClock {
  private final LongSupplier wallMillis;
  private HybridTimestamp last = HybridTimestamp.ZERO;

  /**
   * Creates a clock.
   *
   * @param wallMillis supplies wall time in milliseconds since the epoch
   */
  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /** Returns a timestamp greater than all earlier ones of this clock. */
  public synchronized HybridTimestamp now() {
    return advance(HybridTimestamp.ZERO);
  }

  /** Returns a timestamp greater than a received one and all earlier ones of this clock. */
  public synchronized HybridTimestamp observe(HybridTimestamp received) {
    return advance(received);
  }

  private HybridTimestamp advance(HybridTimestamp received) {
    HybridTimestamp floor = last.compareTo(received) >= 0 ? last : received;
    long wall = wallMillis.getAsLong();
    if (wall > floor.wallMillis()) {
      last = new HybridTimestamp(wall, 0);
    } else {
      last = new HybridTimestamp(floor.wallMillis(), floor.counter() + 1);
    }
    return last;
  }
}
