package org.ebonypond.serving;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.wire.FieldWriter;
import org.ebonypond.wire.MessagePackCodec;
import org.junit.jupiter.api.Test;

class ServingCodecTest {
  private static final ServingState.Committed STATE =
      new ServingState.Committed(7, new byte[] {1, -2}, 5, List.of("a", "b"), true, 6, List.of());

  /** Guards against commands that are decoded as another command or with other values. */
  @Test
  void commandIsTheSameAfterTransport() {
    List<ServingCommand> commands =
        List.of(
            new ServingCommand.SetZone("z", true),
            new ServingCommand.SetZone("z", false, 0),
            new ServingCommand.SetZone("z", true, 7),
            new ServingCommand.BeginTraffic(),
            new ServingCommand.NoteEntries(7),
            new ServingCommand.Quarantine(List.of("b:2:3")),
            new ServingCommand.Depart(
                List.of(new Departure("i-1", 3, 4), Departure.deregistered("i-2", 5))),
            new ServingCommand.Barrier());
    for (ServingCommand c : commands) {
      assertEquals(c, ServingCodec.decodeCommand(ServingCodec.encodeCommand(c)));
    }
    ServingCommand.Install install =
        (ServingCommand.Install)
            ServingCodec.decodeCommand(
                ServingCodec.encodeCommand(new ServingCommand.Install(9, new byte[] {3})));
    assertEquals(9, install.version());
    assertArrayEquals(new byte[] {3}, install.content());
  }

  /** Guards against an upgrade after which the zone orders in the log have no effect. */
  @Test
  void readsZoneOrderOfTheVersionBefore() {
    byte[] before =
        new FieldWriter().text("type", "zone").text("zone", "z").flag("out", true).toByteArray();
    assertEquals(new ServingCommand.SetZone("z", true), ServingCodec.decodeCommand(before));
  }

  @Test
  void stateIsTheSameAfterTransport() {
    assertStateEquals(ServingCodec.decodeState(ServingCodec.encodeState(STATE)));
  }

  /** Guards against an upgrade that cannot read the snapshots of the version before. */
  @Test
  void readsStateThatMessagePackCodecWrote() {
    assertStateEquals(ServingCodec.decodeState(MessagePackCodec.encode(STATE)));
  }

  /** Guards against an upgrade that cannot read a state without a quarantine. */
  @Test
  void readsStateOfTheVersionBefore() {
    byte[] before =
        new FieldWriter()
            .number("version", 7)
            .bytes("content", new byte[] {1, -2})
            .number("zonesIndex", 5)
            .texts("zonesOut", List.of("a", "b"))
            .flag("traffic", true)
            .number("entries", 6)
            .toByteArray();
    assertStateEquals(ServingCodec.decodeState(before));
    assertEquals(List.of(), ServingCodec.decodeState(before).quarantine());
  }

  /** Guards against a failure of the state machine on a command of an unknown kind. */
  @Test
  void rejectsUnknownCommands() {
    byte[] unknown = new FieldWriter().text("type", "other").toByteArray();

    assertThrows(EbonypondException.class, () -> ServingCodec.decodeCommand(unknown));
  }

  private static void assertStateEquals(ServingState.Committed s) {
    assertEquals(7, s.version());
    assertArrayEquals(new byte[] {1, -2}, s.content());
    assertEquals(5, s.zonesIndex());
    assertEquals(List.of("a", "b"), s.zonesOut());
    assertEquals(List.of(true, 6), List.of(s.traffic(), s.entries()));
  }
}
