package org.ebonypond.serving;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.ebonypond.wire.Deflate;

/** A command of the log that keeps the configuration and the zones out of service. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ServingCommand.Install.class, name = "install"),
  @JsonSubTypes.Type(value = ServingCommand.SetZone.class, name = "zone"),
  @JsonSubTypes.Type(value = ServingCommand.BeginTraffic.class, name = "traffic"),
  @JsonSubTypes.Type(value = ServingCommand.NoteEntries.class, name = "entries"),
  @JsonSubTypes.Type(value = ServingCommand.Barrier.class, name = "barrier"),
})
public sealed interface ServingCommand {
  /**
   * Installs a configuration if its version is higher than the one held.
   *
   * @param version the version
   * @param content the configuration as the operator sent it, packed by {@link Deflate}
   */
  record Install(long version, byte[] content) implements ServingCommand {
    /** Creates the command from a configuration as the operator sent it. */
    public static Install of(long version, byte[] document) {
      return new Install(version, Deflate.pack(document));
    }
  }

  /**
   * Takes an availability zone out of service or brings it back.
   *
   * @param zone the name of the zone
   * @param out whether the zone gets no new requests
   */
  record SetZone(String zone, boolean out) implements ServingCommand {}

  /** Notes that the fleet has received its first request; from then on loads of weights count. */
  record BeginTraffic() implements ServingCommand {}

  /**
   * Notes the number of entries that share the budgets, so that a replica that has just started
   * does not tell the first entry that it is alone. A lower number than before changes nothing.
   *
   * @param entries the number of entries
   */
  record NoteEntries(int entries) implements ServingCommand {}

  /** Changes nothing; a read that follows it reflects everything that was committed before. */
  record Barrier() implements ServingCommand {}
}
