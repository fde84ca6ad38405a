package org.ebonypond.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.ebonypond.fleet.RelayAddress;
import org.junit.jupiter.api.Test;

class RelayChooserTest {
  private static final RelayAddress NEAR = new RelayAddress("10.0.0.1:7000", "a");
  private static final RelayAddress NEAR_TOO = new RelayAddress("10.0.0.2:7000", "a");
  private static final RelayAddress FAR = new RelayAddress("10.0.1.1:7000", "b");

  private final RelayChooser chooser = new RelayChooser("a", new Random(1));

  /** Guards against relayed bytes between zones while an entry of the own zone can help. */
  @Test
  void entriesOfTheOwnZoneComeFirstAndShareTheLoad() {
    assertNull(chooser.choose("s", 0));
    chooser.update(List.of(FAR, NEAR, NEAR_TOO), 0);
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      chosen.add(chooser.choose("s", 0));
    }
    assertEquals(Set.of(NEAR.address(), NEAR_TOO.address()), chosen);
  }

  /** Guards against a detour through an entry that is as cut off, or has failed. */
  @Test
  void entryThatFailsIsAvoidedForLongerEachTime() {
    chooser.update(List.of(NEAR, FAR), 0);
    chooser.failed(NEAR.address(), "s", 0);
    assertEquals(FAR.address(), chooser.choose("s", 1));
    assertEquals(NEAR.address(), chooser.choose("s", 500));
    chooser.failed(NEAR.address(), "s", 500);
    assertEquals(FAR.address(), chooser.choose("s", 1_400));
    assertEquals(NEAR.address(), chooser.choose("s", 1_500));
    chooser.failed(NEAR.address(), "s", 1_500);
    chooser.failed(FAR.address(), "s", 1_500);
    assertNull(chooser.choose("s", 1_501));
    chooser.worked(NEAR.address(), "s");
    assertEquals(NEAR.address(), chooser.choose("s", 1_501));
  }

  /**
   * Guards against a detour through an entry that is cut off as well, and against none at all
   * because some instances have crashed, or are slow.
   */
  @Test
  void doubtedEntryIsUsedOnlyIfThereIsNoOther() {
    chooser.update(List.of(NEAR, FAR), 0);
    for (int i = 0; i < 3; i++) {
      assertEquals(NEAR.address(), chooser.choose("s", 0));
      chooser.doubted(NEAR.address(), "s");
    }
    assertEquals(FAR.address(), chooser.choose("s", 0));
    chooser.failed(FAR.address(), "s", 0);
    assertEquals(NEAR.address(), chooser.choose("s", 0));
    chooser.worked(NEAR.address(), "s");
    assertEquals(NEAR.address(), chooser.choose("s", 5_000));
  }

  /** Guards against an entry that is avoided for a service which it does reach. */
  @Test
  void failureForOneServiceSaysNothingOfAnother() {
    chooser.update(List.of(NEAR), 0);
    chooser.failed(NEAR.address(), "s", 0);
    assertNull(chooser.choose("s", 1));
    assertEquals(NEAR.address(), chooser.choose("other", 1));
  }

  /** Guards against an entry that forgets the others when it needs them. */
  @Test
  void relaysAreKeptWhenReplicasKnowNone() {
    assertTrue(chooser.wantsUpdate(0));
    chooser.update(List.of(NEAR), 0);
    assertFalse(chooser.wantsUpdate(RelayChooser.REFRESH_MILLIS - 1));
    assertTrue(chooser.wantsUpdate(RelayChooser.REFRESH_MILLIS));
    chooser.update(List.of(), RelayChooser.REFRESH_MILLIS);
    assertEquals(NEAR.address(), chooser.choose("s", RelayChooser.REFRESH_MILLIS));
    assertTrue(chooser.wantsUpdate(RelayChooser.REFRESH_MILLIS));
  }
}
