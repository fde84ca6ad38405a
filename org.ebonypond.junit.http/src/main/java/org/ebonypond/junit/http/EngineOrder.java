package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * An order of the control leader.
 *
 * @param fencing the fencing number
 * @param type {@code load}, {@code unload} or {@code role}
 * @param model the model
 * @param version the version of the model
 * @param adapters the adapters
 * @param group the group
 * @param rank the position in the group; rank 0 serves requests
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
  /** Copies the lists. */
  public EngineOrder {
    adapters = List.copyOf(adapters);
    members = List.copyOf(members);
  }

  /** Reads an order from JSON. */
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
