package org.ebonypond.serving;

import java.util.List;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.wire.FieldReader;
import org.ebonypond.wire.FieldWriter;

/**
 * The encoding of the commands and of the state of the serving log. Entries and replicas need it
 * right after their start, see {@link FieldWriter}.
 */
public final class ServingCodec {
  private static final String TYPE = "type";
  private static final String INSTALL = "install";
  private static final String ZONE = "zone";
  private static final String BASIS = "basis";
  private static final String TRAFFIC = "traffic";
  private static final String ENTRIES = "entries";
  private static final String QUARANTINE = "quarantine";
  private static final String DEPART = "depart";
  private static final String DEPARTURES = "departures";
  private static final String BARRIER = "barrier";

  private ServingCodec() {}

  /** Encodes a command. */
  public static byte[] encodeCommand(ServingCommand c) {
    FieldWriter w = new FieldWriter();
    if (c instanceof ServingCommand.Install i) {
      w.text(TYPE, INSTALL).number("version", i.version()).bytes("content", i.content());
    } else if (c instanceof ServingCommand.SetZone z) {
      w.text(TYPE, ZONE).text("zone", z.zone()).flag("out", z.out());
      if (z.basis() != ServingCommand.SetZone.ANY_BASIS) {
        w.number(BASIS, z.basis());
      }
    } else if (c instanceof ServingCommand.BeginTraffic) {
      w.text(TYPE, TRAFFIC);
    } else if (c instanceof ServingCommand.NoteEntries n) {
      w.text(TYPE, ENTRIES).number("entries", n.entries());
    } else if (c instanceof ServingCommand.Quarantine q) {
      w.text(TYPE, QUARANTINE).texts("parts", q.parts());
    } else if (c instanceof ServingCommand.Depart d) {
      w.text(TYPE, DEPART).records(DEPARTURES, d.departures(), ServingCodec::writeDeparture);
    } else if (c instanceof ServingCommand.Barrier) {
      w.text(TYPE, BARRIER);
    }
    return w.toByteArray();
  }

  /**
   * Decodes a command.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a valid command
   */
  public static ServingCommand decodeCommand(byte[] bytes) {
    return FieldReader.decode(bytes, ServingCodec::readCommand);
  }

  private static ServingCommand readCommand(FieldReader r) {
    String type = r.text(TYPE);
    return switch (type) {
      case INSTALL -> new ServingCommand.Install(r.number("version"), r.bytes("content"));
      case ZONE ->
          new ServingCommand.SetZone(
              r.text("zone"),
              r.flag("out"),
              r.has(BASIS) ? r.number(BASIS) : ServingCommand.SetZone.ANY_BASIS);
      case TRAFFIC -> new ServingCommand.BeginTraffic();
      case ENTRIES -> new ServingCommand.NoteEntries(r.smallNumber("entries"));
      case QUARANTINE -> new ServingCommand.Quarantine(r.texts("parts"));
      case DEPART -> new ServingCommand.Depart(readDepartures(r));
      case BARRIER -> new ServingCommand.Barrier();
      default ->
          throw new EbonypondException(ErrorCode.FRAME_INVALID, "unknown command type " + type);
    };
  }

  /** Encodes the state. */
  public static byte[] encodeState(ServingState.Committed c) {
    FieldWriter w = new FieldWriter();
    w.number("version", c.version()).bytes("content", c.content());
    w.number("zonesIndex", c.zonesIndex()).texts("zonesOut", c.zonesOut());
    w.flag("traffic", c.traffic()).number("entries", c.entries());
    w.texts("quarantine", c.quarantine());
    if (!c.departures().isEmpty()) {
      w.records(DEPARTURES, c.departures(), ServingCodec::writeDeparture);
    }
    return w.toByteArray();
  }

  /**
   * Decodes the state.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a valid state
   */
  public static ServingState.Committed decodeState(byte[] bytes) {
    return FieldReader.decode(
        bytes,
        r ->
            new ServingState.Committed(
                r.number("version"),
                r.bytes("content"),
                r.number("zonesIndex"),
                r.texts("zonesOut"),
                r.flag("traffic"),
                r.smallNumber("entries"),
                r.optionalTexts("quarantine"),
                r.has(DEPARTURES) ? readDepartures(r) : List.of()));
  }

  private static void writeDeparture(Departure d, FieldWriter w) {
    w.text("id", d.id()).number("start", d.startMillis()).number("sequence", d.sequence());
  }

  private static List<Departure> readDepartures(FieldReader r) {
    return r.records(
        DEPARTURES, d -> new Departure(d.text("id"), d.number("start"), d.number("sequence")));
  }
}
