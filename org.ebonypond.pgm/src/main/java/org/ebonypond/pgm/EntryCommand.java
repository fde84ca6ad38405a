package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Base class of the commands that send requests to entries. */
abstract class EntryCommand extends ToolCommand {
  private static final String ADDRESS = "[A-Za-z0-9_.-]+:[0-9]{1,5}|\\[[0-9a-fA-F:]+]:[0-9]{1,5}";

  @Option(
      name = "--entry",
      title = "HOST:PORT",
      description =
          "An entry; repeat the option to name several, which are tried in order. The default is"
              + " the comma-separated list in EBONYPOND_ENTRIES")
  private List<String> entryOptions = new ArrayList<>();

  @Option(
      name = "--timeout-ms",
      title = "MILLIS",
      description = "The timeout of one request to one entry; the default is 10000")
  private String timeoutMillis = "10000";

  /** Returns a client for the entries in the options or, without any, in EBONYPOND_ENTRIES. */
  final EntryClient client(ToolContext ctx) {
    List<String> entries = new ArrayList<>();
    entryOptions.forEach(e -> entries.addAll(Arrays.asList(e.split(","))));
    if (entries.isEmpty()) {
      String fromEnvironment = ctx.environment().getOrDefault("EBONYPOND_ENTRIES", "");
      entries.addAll(Arrays.asList(fromEnvironment.split(",")));
    }
    entries.replaceAll(String::strip);
    entries.removeIf(String::isEmpty);
    if (entries.isEmpty()) {
      throw new ToolException(ExitCode.USAGE, ToolMessage.NO_ENTRIES);
    }
    for (String e : entries) {
      if (!e.matches(ADDRESS)) {
        throw new ToolException(ExitCode.USAGE, ToolMessage.BAD_ENTRY, e);
      }
    }
    return new EntryClient(entries, timeout(), ctx.err(), ctx.pause());
  }

  private Duration timeout() {
    boolean isNumber = timeoutMillis.matches("[1-9][0-9]{0,5}");
    if (!isNumber || Integer.parseInt(timeoutMillis) > 600_000) {
      throw new ToolException(ExitCode.USAGE, ToolMessage.BAD_TIMEOUT, timeoutMillis);
    }
    return Duration.ofMillis(Integer.parseInt(timeoutMillis));
  }
}
