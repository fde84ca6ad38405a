package org.ebonypond.bench.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Our policy against the baselines, on the patterns of load that it answers. */
class TrialTest {
  private static final double HIGH_LOAD = 1.6;

  private static Result run(Pattern p, String policy, double load) {
    Policy.Factory f = Policy.all().get(policy);
    assertNotNull(f);
    return new Trial(p, f, load, 1).run();
  }

  /** Guards against figures that differ from run to run. */
  @Test
  void sameSeedGivesTheSameRun() {
    Result a = run(Pattern.BURST, "ours", HIGH_LOAD);
    Result b = run(Pattern.BURST, "ours", HIGH_LOAD);
    assertEquals(a.byWindow(), b.byWindow());
    assertEquals(a.asked(), b.asked());
  }

  /** Guards against a policy that serves callers worse than one that never refuses. */
  @ParameterizedTest
  @EnumSource(Pattern.class)
  void earnsMoreThanLeastActiveUnderHighLoad(Pattern p) {
    double ours = run(p, "ours", HIGH_LOAD).whole();
    double other = run(p, "least-active", HIGH_LOAD).whole();
    assertTrue(ours > other, ours + " against " + other);
  }

  /** Guards against late calls that make all others late while the load stays high. */
  @Test
  void overloadStaysBounded() {
    Result r = run(Pattern.WAVE, "ours", 2.2);
    assertTrue(r.whole() > 0.7, "credit " + r.whole());
  }
}
