package org.ebonypond.bench.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.forward.EngineCost;
import org.ebonypond.junit.FakeFleet;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;
import org.junit.jupiter.api.Test;

class ExperimentGroupTest {
  private static final int PROMPT = 920;

  private final ManualTimerService timers = new ManualTimerService();
  private final EngineProfile engine = FakeFleet.twoModels();
  private final ModelProfile model = engine.models().get(0);
  private final ExperimentGroup group = new ExperimentGroup(engine, model, timers);
  private final List<Long> events = new ArrayList<>();
  private final List<Long> ends = new ArrayList<>();
  private final List<Long> aborts = new ArrayList<>();

  private ExperimentGroup.Job job(int urgency, long order, int count) {
    return new ExperimentGroup.Job(
        urgency,
        order,
        PROMPT,
        count,
        new ExperimentGroup.Listener() {
          @Override
          public void event() {
            events.add(timers.nowMillis());
          }

          @Override
          public void ended() {
            ends.add(order);
          }

          @Override
          public void aborted() {
            aborts.add(order);
          }
        });
  }

  /**
   * Detects a simulation whose passes take longer or shorter than the published cost, which would
   * make the compared latencies meaningless.
   */
  @Test
  void passesTakeThePublishedTime() {
    group.submit(job(3, 1, 10));
    timers.advance(2_000);
    assertEquals(10, events.size());
    EngineCost cost = new EngineCost(engine);
    double first = cost.prefillMillis(model, PROMPT) + cost.passMillis(model, 1, PROMPT);
    assertTrue(Math.abs(events.get(0) - first) <= 2, events.get(0) + " instead of " + first);
    double pass = (events.get(9) - events.get(0)) / 9.0;
    assertTrue(Math.abs(pass - cost.passMillis(model, 1, PROMPT)) < 0.5, "passes of " + pass);
  }

  /** Detects a queue that serves late requests before urgent ones that arrived after them. */
  @Test
  void urgentRequestsLeaveTheQueueFirst() {
    for (int i = 0; i < engine.slots(); i++) {
      group.submit(job(0, i, 5));
    }
    group.submit(job(7, 100, 1));
    group.submit(job(3, 101, 1));
    timers.advance(20_000);
    assertTrue(
        ends.indexOf(101L) >= 0 && ends.indexOf(101L) <= ends.indexOf(100L), ends.toString());
  }

  /**
   * Detects a group that makes progress after it lost a member, or keeps its requests over a
   * restart.
   */
  @Test
  void hungGroupMakesNoProgressAndAbortsItsRequestsOnRestart() {
    group.submit(job(3, 1, 100));
    timers.advance(200);
    group.hang();
    final int before = events.size();
    timers.advance(5_000);
    assertEquals(before, events.size());
    group.restart();
    assertEquals(List.of(1L), aborts);
  }
}
