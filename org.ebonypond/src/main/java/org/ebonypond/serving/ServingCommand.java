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
   * Takes an availability zone out of service or returns it to service. The command has no effect
   * if another one was applied since its caller was seen waiting: a delayed or repeated command
   * would undo what was acknowledged later.
   *
   * @param zone the name of the zone
   * @param out whether the zone receives no new requests
   * @param basis the index of the last zone change when the caller was waiting; {@link #ANY_BASIS}
   *     in log entries of earlier versions, which always take effect
   */
  record SetZone(String zone, boolean out, long basis) implements ServingCommand {
    /** The basis of a command that takes effect whatever was applied before. */
    public static final long ANY_BASIS = -1;

    /** Creates a command that takes effect whatever was applied before. */
    public SetZone(String zone, boolean out) {
      this(zone, out, ANY_BASIS);
    }
  }

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

  /**
   * Records instances that leave, so that no process that is lost takes an acknowledged departure
   * with it.
   *
   * @param departures the departures, in the order of their arrival
   */
  record Depart(List<Departure> departures) implements ServingCommand {
    /** Copies the list. */
    public Depart {
      departures = List.copyOf(departures);
    }
  }

  /** No operation; a read after it reflects everything committed before. */
  record Barrier() implements ServingCommand {}
}
