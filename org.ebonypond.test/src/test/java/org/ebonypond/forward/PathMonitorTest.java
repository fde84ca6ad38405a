package org.ebonypond.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.ebonypond.forward.PathMonitor.Failure;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class PathMonitorTest {
  private static final int INSTANCES = 8;

  private final PathMonitor paths = new PathMonitor();

  private static List<String> instances(String service) {
    return IntStream.range(0, INSTANCES).mapToObj(i -> "i-" + i).toList();
  }

  private @Nullable String probe(long now) {
    return paths.dueProbe(PathMonitorTest::instances, now);
  }

  private boolean fails(String instance, Failure failure, long now) {
    return paths.failed(instance, "s", failure, INSTANCES, now);
  }

  /** Guards against an entry that tries instance after instance for each request. */
  @Test
  void pathsAreLostWhenSeveralInstancesFailAndNothingArrives() {
    assertFalse(fails("i-1", Failure.NO_ANSWER, 0));
    assertFalse(fails("i-2", Failure.NO_ANSWER, 300));
    assertTrue(fails("i-3", Failure.CONNECT, 700));
    assertFalse(fails("i-4", Failure.CONNECT, 900));
    assertTrue(paths.isLost("s"));
    assertTrue(paths.isAnyLost());
    assertFalse(paths.isDirect("i-8", "s"));
    assertTrue(paths.isDirect("i-9", "other"));
  }

  /** Guards against a detour that one instance sets off which crashes, or is silent for long. */
  @Test
  void oneInstanceAloneIsNoLostPath() {
    for (long now = 0; now < 20_000; now += 200) {
      assertFalse(fails("i-1", Failure.NO_ANSWER, now));
      assertFalse(fails("i-2", Failure.CONNECT, now));
    }
    assertFalse(paths.isLost("s"));
    assertTrue(paths.isDirect("i-1", "s"));
    assertFalse(paths.isDirect("i-2", "s"));
  }

  /** Guards against instances that are only slow and are taken for unreachable. */
  @Test
  void instancesThatAcceptConnectionsAreNotLost() {
    for (int i = 0; i < INSTANCES; i++) {
      fails("i-" + i, Failure.NO_ANSWER, i);
    }
    assertFalse(paths.isLost("s"));
    String probed = probe(10);
    assertNotNull(probed);
    paths.connected(probed, "s");
    assertNull(probe(10_000));
  }

  /** Guards against paths that count as lost although other instances answer. */
  @Test
  void progressOfAnyInstanceOfTheServiceEndsTheSuspicion() {
    fails("i-1", Failure.CONNECT, 0);
    fails("i-2", Failure.CONNECT, 100);
    assertFalse(paths.progressed("s"));
    assertFalse(fails("i-3", Failure.CONNECT, 200));
    assertFalse(paths.isLost("s"));
    // New connections to these fail although those that are open go on.
    assertFalse(paths.isDirect("i-1", "s"));
    assertFalse(paths.isDirect("i-3", "s"));
    assertTrue(paths.isDirect("i-4", "s"));
  }

  /** Guards against failures that add up over minutes. */
  @Test
  void oldFailuresDoNotCount() {
    fails("i-1", Failure.CONNECT, 0);
    fails("i-2", Failure.CONNECT, 100);
    assertFalse(fails("i-3", Failure.CONNECT, PathMonitor.EVIDENCE_MILLIS + 101));
  }

  /** Guards against a small service whose loss is never noticed. */
  @Test
  void allInstancesOfSmallServiceSuffice() {
    assertTrue(paths.failed("i-1", "small", Failure.CONNECT, 1, 0));
    assertFalse(paths.failed("i-1", "pair", Failure.CONNECT, 2, 0));
    assertTrue(paths.failed("i-2", "pair", Failure.NO_ANSWER, 2, 0));
  }

  /** Guards against a detour to instances that no entry reaches, since they have crashed. */
  @Test
  void instanceThatOthersCannotReachEitherIsTriedDirectly() {
    fails("i-1", Failure.CONNECT, 0);
    paths.failedElsewhere("i-1");
    assertTrue(paths.isDirect("i-1", "s"));
  }

  /** Guards against links that are back and are not used, or are used before they are. */
  @Test
  void probesFindThatTheLinksAreBack() {
    for (int i = 0; i < INSTANCES; i++) {
      fails("i-" + i, Failure.CONNECT, 0);
    }
    Set<String> probed = new HashSet<>();
    long now = 1_000;
    for (int i = 0; i < INSTANCES; i++) {
      String instance = probe(now);
      assertNotNull(instance);
      probed.add(instance);
      fails(instance, Failure.CONNECT, now);
      assertNull(probe(now + PathMonitor.PROBE_MILLIS - 1));
      now += PathMonitor.PROBE_MILLIS;
    }
    assertEquals(INSTANCES, probed.size());
    assertTrue(paths.isLost("s"));
    String instance = probe(now);
    assertNotNull(instance);
    paths.probeSucceeded(now);
    assertTrue(paths.connected(instance, "s"));
    assertFalse(paths.isLost("s"));
    assertTrue(paths.isDirect(instance, "s"));
    // The others follow one after the other, and soon.
    for (int i = 1; i < INSTANCES; i++) {
      now += PathMonitor.RECOVERING_PROBE_MILLIS;
      String next = probe(now);
      assertNotNull(next);
      paths.probeSucceeded(now);
      assertFalse(paths.connected(next, "s"));
    }
    assertNull(probe(now + 10_000));
  }

  /** Guards against state of instances that have left, and against a loss that nothing can end. */
  @Test
  void instancesThatHaveLeftAreForgotten() {
    for (int i = 0; i < INSTANCES; i++) {
      fails("i-" + i, Failure.CONNECT, 0);
    }
    paths.retain(i -> i.equals("i-1"));
    assertTrue(paths.isLost("s"));
    paths.retain(i -> false);
    assertFalse(paths.isAnyLost());
    assertNull(probe(10_000));
  }

  /**
   * Guards against a service that nobody serves because its instances were lost, and those that
   * have replaced them are never tried.
   */
  @Test
  void instancesThatHaveComeSinceAreProbed() {
    for (int i = 0; i < INSTANCES; i++) {
      fails("i-" + i, Failure.CONNECT, 0);
    }
    long now = 1_000;
    Set<String> probed = new HashSet<>();
    for (int i = 0; i <= INSTANCES; i++) {
      probed.add(paths.dueProbe(s -> List.of("i-0", "i-new"), now));
      now += PathMonitor.PROBE_MILLIS;
    }
    assertTrue(probed.contains("i-new"));
    assertTrue(paths.connected("i-new", "s"));
    assertTrue(paths.isDirect("i-new", "s"));
  }
}
