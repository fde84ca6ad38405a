package org.ebonypond.junit;

import java.util.stream.LongStream;

/** The seeds of randomised tests: a few fixed ones, more by {@code -Debonypond.seeds=N}. */
public final class Seeds {
  private static final long MANY = 10;
  private static final long FEW = 5;

  private Seeds() {}

  /** Returns the seeds 1 to N; N is 10 by default. */
  public static LongStream all() {
    return upTo(MANY);
  }

  /** Returns the seeds 1 to N, for runs that take long; N is 5 by default. */
  public static LongStream few() {
    return upTo(FEW);
  }

  private static LongStream upTo(long byDefault) {
    return LongStream.rangeClosed(1, Long.getLong("ebonypond.seeds", byDefault));
  }
}
