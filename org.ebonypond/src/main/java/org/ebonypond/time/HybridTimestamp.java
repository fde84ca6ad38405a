package org.ebonypond.time;

/**
 * A hybrid logical timestamp: wall time with a counter that orders causally related events.
 *
 * @param wallMillis wall time in milliseconds since the epoch
 * @param counter distinguishes and orders timestamps with the same wall time
 */
public record HybridTimestamp(long wallMillis, int counter) implements Comparable<HybridTimestamp> {
  /** The smallest timestamp. */
  public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

  @Override
  public int compareTo(HybridTimestamp o) {
    int c = Long.compare(wallMillis, o.wallMillis);
    return c != 0 ? c : Integer.compare(counter, o.counter);
  }

  @Override
  public String toString() {
    return wallMillis + "." + counter;
  }
}
