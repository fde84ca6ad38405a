package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * An order of the control leader, as the simulated engine decodes it.
 *
 * @param fencing the fencing number
 * @param type {@code load}, {@code unload} or {@code role}
 * @param model the model, or an empty string for an unload
 * @param version the model's version, or an empty string for an unload
 * @param adapters the adapters to load with the model
 * @param group the group, or an empty string for an unload
 * @param rank the rank in the group; rank 0 serves requests
 * @param members the addresses of all members, by rank
 */
public record EngineOrder(
    long fencing,
    String type,
    String model,
    String version,
    List<String> adapters,
    String group,
    int rank,
    List<String> members) {
  /** Makes immutable copies of the lists. */
  public EngineOrder {
    adapters = List.copyOf(adapters);
    members = List.copyOf(members);
  }

  /** Decodes an order from JSON. Missing fields are 0 or empty. */
  public static EngineOrder of(JsonNode j) {
    return new EngineOrder(
        j.path("fencing").asLong(),
        j.path("type").asText(),
        j.path("model").asText(),
        j.path("version").asText(),
        texts(j.path("adapters")),
        j.path("group").asText(),
        j.path("rank").asInt(),
        texts(j.path("members")));
  }

  private static List<String> texts(JsonNode array) {
    List<String> out = new ArrayList<>();
    array.forEach(n -> out.add(n.asText()));
    return out;
  }
}
