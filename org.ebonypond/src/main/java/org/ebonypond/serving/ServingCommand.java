package org.ebonypond.serving;

import java.util.List;
import org.ebonypond.wire.Deflate;

/** A command of the replicated log of the configuration and the zones out of service. */
public sealed interface ServingCommand {
  /**
   * Installs a configuration if its version is higher than the current one.
   *
   * @param version the version
   * @param content the configuration as the operator sent it, compressed by {@link Deflate}
   */
  record Install(long version, byte[] content) implements ServingCommand {
    /** Creates the command from a configuration as the operator sent it. */
    public static Install of(long version, byte[] document) {
      return new Install(version, Deflate.pack(document));
    }
  }

  /**
   * Takes an availability zone out of service or returns it to service.
   *
   * @param zone the name of the zone
   * @param out whether the zone receives no new requests
   */
  record SetZone(String zone, boolean out) implements ServingCommand {}

  /**
   * Records that the fleet has received its first request; from then on weight loads are limited.
   */
  record BeginTraffic() implements ServingCommand {}

  /**
   * Records the number of entries that share the budgets, so that a restarted replica does not
   * report to the first entry that it is the only one. A number lower than the current one has no
   * effect.
   *
   * @param entries the number of entries
   */
  record NoteEntries(int entries) implements ServingCommand {}

  /**
   * Replaces the prompt parts that are refused because they crash instances, so that they stay
   * refused when all processes stop at the same time.
   *
   * @param parts the parts, each in the encoding of {@link
   *     org.ebonypond.quarantine.BlockedPart#encode}
   */
  record Quarantine(List<String> parts) implements ServingCommand {
    /** Copies the list. */
    public Quarantine {
      parts = List.copyOf(parts);
    }
  }

  /** No operation; a read after it reflects everything committed before. */
  record Barrier() implements ServingCommand {}
}
