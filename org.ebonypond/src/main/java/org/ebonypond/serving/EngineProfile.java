package org.ebonypond.serving;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The published cost model and limits of a service's engines. Times and capacities are those of a
 * whole group.
 *
 * @param slots the requests that a group processes at once
 * @param kvTokens the tokens that fit into the KV cache of a group
 * @param stepMillis the fixed time of one decode step
 * @param perSequenceMillis the time that each decoding request adds to a step
 * @param contextPerThousandMillis the time that each 1,000 tokens of context add to a step
 * @param prefillPerSecond the prompt tokens that are read in a second
 * @param stride the decode steps of one pass, and the tokens of one event
 * @param loadsPerSecond the loads from the weight store that may start in a second, over all
 * @param openMillis the time from an open order until the group serves
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
