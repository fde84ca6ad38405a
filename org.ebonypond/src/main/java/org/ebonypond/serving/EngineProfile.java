package org.ebonypond.serving;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The published cost model and limits of a service's engines. Times and capacities apply to a whole
 * group.
 *
 * @param slots the number of requests that a group processes concurrently
 * @param kvTokens the capacity of a group's KV cache, in tokens
 * @param stepMillis the fixed time of one decode step, in milliseconds
 * @param perSequenceMillis the time that each decoding request adds to a step, in milliseconds
 * @param contextPerThousandMillis the time that each 1,000 tokens of context add to a step, in
 *     milliseconds
 * @param prefillPerSecond the number of prompt tokens processed per second
 * @param stride the number of decode steps per pass, which is the number of tokens per event
 * @param loadsPerSecond the maximum rate of loads from the weight store, over all instances
 * @param openMillis the time from an open order until the group serves, in milliseconds
 * @param models the models
 */
public record EngineProfile(
    int slots,
    long kvTokens,
    double stepMillis,
    double perSequenceMillis,
    double contextPerThousandMillis,
    double prefillPerSecond,
    int stride,
    double loadsPerSecond,
    long openMillis,
    List<ModelProfile> models) {
  /** Copies the list. */
  public EngineProfile {
    models = List.copyOf(models);
  }

  /** Returns a model by name, or null. */
  public @Nullable ModelProfile model(String name) {
    for (ModelProfile m : models) {
      if (m.name().equals(name)) {
        return m;
      }
    }
    return null;
  }
}
