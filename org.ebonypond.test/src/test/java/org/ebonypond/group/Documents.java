package org.ebonypond.group;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.ebonypond.control.ControlCommand.ApplyDocument;

/** Builds service documents for tests. */
public final class Documents {
  private final List<String> tables = new ArrayList<>();

  public static Documents create(boolean checksFencing) {
    Documents d = new Documents();
    d.tables.add("[[engine_kind]]\nname = \"batcher\"\nchecks_fencing = " + checksFencing);
    return d;
  }

  public Documents model(String name, String version, int groups, int size, String... zones) {
    String list = Arrays.stream(zones).map(z -> '"' + z + '"').collect(Collectors.joining(", "));
    tables.add(
        String.join(
            "\n",
            "[[model]]",
            "name = \"" + name + '"',
            "version = \"" + version + '"',
            "adapters = [\"badge\"]",
            "engine_kind = \"batcher\"",
            "zones = [" + list + "]",
            "groups_per_zone = " + groups,
            "instances_per_group = " + size,
            "max_concurrency = 16",
            "cold_ceiling = 2",
            "warm_seconds = 20"));
    return this;
  }

  public ApplyDocument version(long version) {
    String text = "version = " + version + "\n" + String.join("\n", tables) + "\n";
    return new ApplyDocument(version, text, "operation-" + version);
  }
}
