package org.ebonypond.serving;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServingStateTest {
  private final ServingState state = new ServingState();
  private long index;

  private byte[] apply(ServingCommand c) {
    return state.apply(++index, ServingCodec.encodeCommand(c));
  }

  private static byte[] content(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }

  /** Guards against a duplicate or reordered configuration that replaces a newer one. */
  @Test
  void highestVersionWins() {
    apply(new ServingCommand.Install(7, content("seven")));
    apply(new ServingCommand.Install(3, content("three")));
    apply(new ServingCommand.Install(7, content("other seven")));
    assertEquals(7, state.current().version());
    assertArrayEquals(content("seven"), state.current().content());
    apply(new ServingCommand.Install(12, content("twelve")));
    assertEquals(12, state.current().version());
  }

  /**
   * Guards against zone changes that entries cannot detect, and against detection without a change.
   */
  @Test
  void zonesIndexIsThatOfTheLastChange() {
    apply(new ServingCommand.SetZone("b", true));
    apply(new ServingCommand.SetZone("a", true));
    apply(new ServingCommand.SetZone("a", true));
    assertEquals(List.of("a", "b"), state.current().zonesOut());
    assertEquals(2, state.current().zonesIndex());
    apply(new ServingCommand.SetZone("b", false));
    assertEquals(List.of("a"), state.current().zonesOut());
  }

  /**
   * Guards against a zone order that was delayed on its way to the log and undoes what was
   * acknowledged since.
   */
  @Test
  void zoneOrderHasNoEffectAfterAnotherOne() {
    apply(new ServingCommand.SetZone("a", true, 0));
    long seen = state.current().zonesIndex();
    assertFalse(ServingState.isSuperseded(apply(new ServingCommand.SetZone("a", false, seen))));
    assertTrue(ServingState.isSuperseded(apply(new ServingCommand.SetZone("a", true, seen))));
    assertEquals(List.of(), state.current().zonesOut());
  }

  /**
   * Guards against a delayed order that undoes one that was acknowledged although it changed
   * nothing.
   */
  @Test
  void zoneOrderThatChangesNothingSupersedesEarlierOnes() {
    apply(new ServingCommand.SetZone("a", true, 0));
    long seen = state.current().zonesIndex();
    apply(new ServingCommand.SetZone("a", true, seen));
    assertTrue(ServingState.isSuperseded(apply(new ServingCommand.SetZone("a", false, seen))));
    assertEquals(List.of("a"), state.current().zonesOut());
  }

  /** Guards against a later command that resets the traffic flag. */
  @Test
  void trafficFlagIsKept() {
    assertFalse(state.current().traffic());
    apply(new ServingCommand.BeginTraffic());
    apply(new ServingCommand.Install(7, content("seven")));
    apply(new ServingCommand.SetZone("b", true));
    assertTrue(state.current().traffic());
  }

  /** Guards against an old announcement that replaces the end of an instance or a later start. */
  @Test
  void latestDepartureOfEachInstanceIsKept() {
    apply(
        new ServingCommand.Depart(List.of(new Departure("i-1", 3, 4), new Departure("i-2", 1, 1))));
    apply(new ServingCommand.Depart(List.of(Departure.deregistered("i-1", 3))));
    apply(new ServingCommand.Depart(List.of(new Departure("i-1", 3, 5))));
    apply(new ServingCommand.Depart(List.of(new Departure("i-2", 7, 1))));
    apply(new ServingCommand.Depart(List.of(Departure.deregistered("i-2", 6))));
    assertEquals(
        List.of(Departure.deregistered("i-1", 3), new Departure("i-2", 7, 1)),
        state.current().departures());
  }

  /** Guards against a state that grows with every instance that ever left. */
  @Test
  void numberOfDeparturesIsLimited() {
    for (int i = 0; i < 1_000; i++) {
      apply(new ServingCommand.Depart(List.of(Departure.deregistered("i-" + i, i))));
    }
    List<Departure> kept = state.current().departures();
    assertEquals(ServingState.MAX_DEPARTURES, kept.size());
    assertEquals(Departure.deregistered("i-999", 999), kept.get(kept.size() - 1));
  }

  /** Guards against state that a snapshot omits. */
  @Test
  void snapshotRestoresEverything() {
    apply(new ServingCommand.Install(7, content("seven")));
    apply(new ServingCommand.SetZone("b", true));
    apply(new ServingCommand.BeginTraffic());
    apply(new ServingCommand.NoteEntries(7));
    apply(new ServingCommand.NoteEntries(3));
    apply(new ServingCommand.Quarantine(List.of("a:1")));
    apply(new ServingCommand.Quarantine(List.of("b:2:3")));
    apply(new ServingCommand.Depart(List.of(new Departure("i-1", 3, 4))));
    apply(new ServingCommand.Barrier());
    ServingState copy = new ServingState();
    copy.restore(state.snapshot());
    assertEquals(7, copy.current().version());
    assertArrayEquals(content("seven"), copy.current().content());
    assertEquals(state.current().zonesOut(), copy.current().zonesOut());
    assertEquals(2, copy.current().zonesIndex());
    assertTrue(copy.current().traffic());
    assertEquals(7, copy.current().entries());
    assertEquals(List.of("b:2:3"), copy.current().quarantine());
    assertEquals(List.of(new Departure("i-1", 3, 4)), copy.current().departures());
  }
}
