package org.ebonypond.server.entry;

import java.util.stream.LongStream;

/** The seeds of randomised runs: a few fixed ones, more by {@code -Debonypond.seeds=N}. */
final class Seeds {
  private Seeds() {}

  /** Returns the seeds 1 to N; N is 5 by default. */
  static LongStream all() {
    return LongStream.rangeClosed(1, Integer.getInteger("ebonypond.seeds", 5));
  }
}
