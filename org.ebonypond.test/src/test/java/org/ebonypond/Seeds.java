package org.ebonypond;

import java.util.stream.LongStream;

/** The seeds of randomised tests; {@code -Debonypond.seeds=N} runs N seeds instead of a few. */
public final class Seeds {
  private Seeds() {}

  /** Returns the seeds, from 1. */
  public static LongStream all() {
    return LongStream.rangeClosed(1, Long.getLong("ebonypond.seeds", 10));
  }
}
