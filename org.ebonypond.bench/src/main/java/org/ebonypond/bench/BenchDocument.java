package org.ebonypond.bench;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.control.ControlCommand.ApplyDocument;

/** Builds service documents for the placement benchmark. */
final class BenchDocument {
  private final List<String> tables = new ArrayList<>();

  BenchDocument() {
    tables.add("version = 1\n[[engine_kind]]\nname = \"batcher\"\nchecks_fencing = true");
  }

  BenchDocument model(String name, int groups, int size, List<String> zones) {
    tables.add(
        String.join(
            "\n",
            "[[model]]",
            "name = \"" + name + '"',
            "version = \"1\"",
            "adapters = []",
            "engine_kind = \"batcher\"",
            "zones = [\"" + String.join("\", \"", zones) + "\"]",
            "groups_per_zone = " + groups,
            "instances_per_group = " + size,
            "max_concurrency = 16",
            "cold_ceiling = 2",
            "warm_seconds = 20"));
    return this;
  }

  ApplyDocument command() {
    return new ApplyDocument(1, String.join("\n", tables) + "\n", "bench");
  }
}
