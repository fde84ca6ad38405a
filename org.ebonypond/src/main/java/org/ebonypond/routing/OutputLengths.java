package org.ebonypond.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates the length of an answer as the moving average of past answers of the same model to the
 * same workspace, or to all workspaces if this one has none. Thread-safe.
 */
public final class OutputLengths {
  /** The estimate in tokens before the first answer of a model. */
  public static final double INITIAL_TOKENS = 256;

  /** The weight of a new answer in the exponential moving average. */
  private static final double ALPHA = 0.05;

  private record Key(String pool, String workspace) {}

  private final Map<Key, Double> byWorkspace = new ConcurrentHashMap<>();
  private final Map<String, Double> byPool = new ConcurrentHashMap<>();

  /** Records the length in tokens of an answer. */
  public void record(String pool, String workspace, int tokens) {
    byWorkspace.merge(new Key(pool, workspace), (double) tokens, OutputLengths::blend);
    byPool.merge(pool, (double) tokens, OutputLengths::blend);
  }

  private static double blend(double mean, double value) {
    return mean + ALPHA * (value - mean);
  }

  /** Returns the expected length in tokens of an answer. */
  public long expected(String pool, String workspace) {
    Double tokens = byWorkspace.get(new Key(pool, workspace));
    if (tokens == null) {
      tokens = byPool.getOrDefault(pool, INITIAL_TOKENS);
    }
    return Math.round(tokens);
  }
}
