package org.ebonypond.bench.experiment;

/** A load pattern and the fault or overload that is injected into it. */
enum Pattern {
  /**
   * The usual load, which varies by 8 % with a period of 11 s; all patterns include these waves.
   */
  WAVE,
  /** 1.8 times as many requests from 10 to 14 s. */
  BURST,
  /** 1.6 times as many requests to the smaller model from 10 to 24 s. */
  SHIFT,
  /** A third of the groups hangs from 10 s until it is restarted at 14 s. */
  ZONE_LOST,
  /**
   * All groups hang and are removed from the entries' view from 10 to 14 s; a rejected caller
   * retries once.
   */
  ALL_LOST,
  /**
   * All entries lose their knowledge at 10 s and know the groups again at 12.5 s; the callers of
   * that time wait. This is the load after a loss of power.
   */
  ENTRIES_RESTARTED,
  /**
   * From 10 to 20 s, one of the eight groups of each model, about a tenth of all, is four times
   * slower than usual.
   */
  SLOW_TENTH,
  /**
   * From 10 to 14 s, three callers in ten retry without the requested delay, up to three times,
   * when they are rejected.
   */
  REPEATERS;

  private static final double WAVE_AMPLITUDE = 0.08;
  private static final double WAVE_MILLIS = 11_000;

  /** Returns the factor on the request rate of a model at the given time. */
  double rateFactor(long now, boolean smallModel) {
    double wave = 1 + WAVE_AMPLITUDE * Math.sin(2 * Math.PI * now / WAVE_MILLIS);
    if (this == BURST && now >= 10_000 && now < 14_000) {
      return 1.8 * wave;
    }
    if (this == SHIFT && smallModel && now >= 10_000 && now < 24_000) {
      return 1.6 * wave;
    }
    return wave;
  }

  boolean hasRepeaters(long now) {
    return this == REPEATERS && now >= 10_000 && now < 14_000;
  }
}
