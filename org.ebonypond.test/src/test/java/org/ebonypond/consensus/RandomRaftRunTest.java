package org.ebonypond.consensus;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.ebonypond.junit.consensus.RandomRaftRun;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RandomRaftRunTest {
  /**
   * Guards against safety violations of the log under random combinations of failures. The main
   * method of {@link RandomRaftRun} runs further seeds.
   */
  @ParameterizedTest
  @ValueSource(longs = {2, 5, 12, 287, 1457})
  void groupStaysSafeAndRecovers(long seed) {
    assertTrue(new RandomRaftRun(seed, false, false).run().checker().acknowledgedIndex() > 0);
  }

  /** Guards against messages that depend on state that a slow disk has not stored yet. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void groupWithSlowDisksStaysSafeAndRecovers(long seed) {
    assertTrue(new RandomRaftRun(seed, true, false).run().checker().acknowledgedIndex() > 0);
  }

  /**
   * Guards against relying on what a killed process wrote and did not sync; each seed failed when
   * opening a log did not sync it.
   */
  @ParameterizedTest
  @ValueSource(longs = {5, 22, 29})
  void groupStaysSafeWhenProcessesAreKilled(long seed) {
    assertTrue(new RandomRaftRun(seed, false, true).run().checker().acknowledgedIndex() > 0);
  }

  /** Guards against the same with slow disks, where processes end during a sync. */
  @ParameterizedTest
  @ValueSource(longs = {3, 4, 12})
  void groupWithSlowDisksStaysSafeWhenProcessesAreKilled(long seed) {
    assertTrue(new RandomRaftRun(seed, true, true).run().checker().acknowledgedIndex() > 0);
  }
}
