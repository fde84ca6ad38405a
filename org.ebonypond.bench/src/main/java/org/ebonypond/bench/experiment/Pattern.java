package org.ebonypond.bench.experiment;

/** A load and the trouble in it. */
enum Pattern {
  /** The usual load in waves of 11 s. */
  WAVE,
  /** From 10 to 14 s, 1.8 times as many requests. */
  BURST,
  /** From 10 to 24 s, 1.6 times as many requests to the smaller model. */
  SHIFT,
  /** A third of the groups stands still from 10 s and is gone until 14 s. */
  ZONE_LOST,
  /** All groups are unreachable from 10 to 14 s; callers come back. */
  ALL_LOST,
  /** A tenth of the groups is four times slower from 10 to 20 s. */
  SLOW_TENTH,
  /** From 10 to 14 s, three callers in ten come back three times at once when refused. */
  REPEATERS;

  private static final double WAVE_SWING = 0.08;
  private static final double WAVE_MILLIS = 11_000;

  /** Returns the factor on the requests to a model at a time. */
  double rate(long now, boolean smallModel) {
    double wave = 1 + WAVE_SWING * Math.sin(2 * Math.PI * now / WAVE_MILLIS);
    if (this == BURST && now >= 10_000 && now < 14_000) {
      return 1.8 * wave;
    }
    if (this == SHIFT && smallModel && now >= 10_000 && now < 24_000) {
      return 1.6 * wave;
    }
    return wave;
  }

  boolean repeats(long now) {
    return this == REPEATERS && now >= 10_000 && now < 14_000;
  }
}
