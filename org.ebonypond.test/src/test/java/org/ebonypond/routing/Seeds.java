package org.ebonypond.routing;

import java.util.stream.LongStream;

/** The seeds of randomised runs: a few fixed ones, more by {@code -Debonypond.seeds=N}. */
public final class Seeds {
  private Seeds() {}

  /** Returns the seeds 1 to N; N is 5 by default. */
  public static LongStream all() {
    return LongStream.rangeClosed(1, Integer.getInteger("ebonypond.seeds", 5));
  }
}
