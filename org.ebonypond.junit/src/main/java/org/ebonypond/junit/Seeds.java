package org.ebonypond.junit;

import java.util.stream.LongStream;

/** The seeds of randomized tests; {@code -Debonypond.seeds=N} sets their number. */
public final class Seeds {
  private static final long DEFAULT_COUNT = 10;
  private static final long DEFAULT_COUNT_FOR_LONG_RUNS = 5;

  private Seeds() {}

  /** Returns the seeds 1 to N; N is 10 by default. */
  public static LongStream all() {
    return upTo(DEFAULT_COUNT);
  }

  /** Returns the seeds 1 to N for long runs; N is 5 by default. */
  public static LongStream few() {
    return upTo(DEFAULT_COUNT_FOR_LONG_RUNS);
  }

  private static LongStream upTo(long defaultCount) {
    return LongStream.rangeClosed(1, Long.getLong("ebonypond.seeds", defaultCount));
  }
}
