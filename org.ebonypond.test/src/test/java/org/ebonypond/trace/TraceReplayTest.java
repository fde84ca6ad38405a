package org.ebonypond.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Set;
import org.ebonypond.control.ControlCommand.InstanceDown;
import org.ebonypond.control.ControlState;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.Proposal;
import org.ebonypond.trace.TraceRecord.CommandCommitted;
import org.ebonypond.trace.TraceRecord.OrderAccepted;
import org.ebonypond.trace.TraceRecord.StateRestored;
import org.ebonypond.trace.TraceRecord.TermEnded;
import org.ebonypond.trace.TraceRecord.TermStarted;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class TraceReplayTest {
  private static final int MAX_TRACE_BYTES = 100_000;

  static Set<String> names() {
    return TraceScenarios.ALL.keySet();
  }

  private static String resource(String name) throws IOException {
    try (InputStream in = TraceReplayTest.class.getResourceAsStream("/traces/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static ExpectedOutcome expected(String name) throws IOException {
    return ExpectedOutcome.parse(resource(name + ".toml"));
  }

  private static List<String> differences(String name, Trace t) throws IOException {
    ExpectedOutcome e = expected(name);
    return e.differences(TraceReplay.run(t, e.fromMillis()));
  }

  /**
   * Guards against a change of a decision class that misses the expected outcome of a recorded
   * trace.
   */
  @ParameterizedTest
  @MethodSource("names")
  void recordedTraceHasTheExpectedOutcome(String name) throws IOException {
    String text = resource(name + ".trace");
    assertTrue(text.length() < MAX_TRACE_BYTES, () -> text.length() + " bytes");
    assertEquals(List.of(), differences(name, TraceReader.read(text)));
  }

  /**
   * Guards against decision classes that reach the expected outcome only on the recorded inputs,
   * and not in a new run of the scenario.
   */
  @ParameterizedTest
  @MethodSource("names")
  void regeneratedTraceHasTheExpectedOutcome(String name) throws IOException {
    assertEquals(List.of(), differences(name, TraceScenarios.ALL.get(name).get().trace()));
  }

  /**
   * Guards against a replay that decides differently from the recorded run or is not deterministic.
   */
  @ParameterizedTest
  @MethodSource("names")
  void replayProposesWhatTheRunProposed(String name) {
    TraceScenarios.Run run = TraceScenarios.ALL.get(name).get();
    TraceOutcome first = TraceReplay.run(run.trace(), 0);
    assertEquals(
        run.loop().proposals(),
        first.proposals().stream().map(p -> new Proposal(p.command(), p.reason())).toList());
    assertEquals(run.loop().view(), first.finalView());
    assertEquals(run.loop().moves(), first.moves());
    assertEquals(first, TraceReplay.run(run.trace(), 0));
  }

  /** Guards against a bound that is parsed but not checked. */
  @Test
  void everyDifferenceIsReported() throws IOException {
    TraceOutcome o = TraceReplay.run(TraceReader.read(resource("second-loss.trace")), 0);
    for (String key :
        List.of(
            "groups_ready = 9",
            "max_group_seconds_down = 0",
            "max_moves = 0",
            "min_wait_ms = 100000",
            "max_detection_ms = 0",
            "orders_after_step_down = 1",
            "zones_without_groups = [\"a\"]")) {
      List<String> differences = ExpectedOutcome.parse(key + "\n").differences(o);
      assertEquals(1, differences.size(), key);
      assertTrue(differences.get(0).startsWith(key.split(" ")[0] + ": "), differences.get(0));
    }
    assertThrows(EbonypondException.class, () -> ExpectedOutcome.parse("max_move = 1\n"));
  }

  private static List<String> replayed(String toml, List<TraceRecord> records) {
    Trace t = new Trace(TraceScenarios.ALL.get("second-loss").get().trace().header(), records);
    ExpectedOutcome e = ExpectedOutcome.parse(toml);
    return e.differences(TraceReplay.run(t, e.fromMillis()));
  }

  /** Guards against a replay that does not count orders issued without leadership. */
  @Test
  void ordersAfterStepDownAreCounted() {
    List<TraceRecord> records =
        new ArrayList<>(TraceScenarios.ALL.get("second-loss").get().records());
    records.add(1, new TermEnded(0));
    List<String> out = replayed("orders_after_step_down = 0\n", records);
    assertTrue(out.get(0).startsWith("orders_after_step_down: stated 0, was "), out.toString());
  }

  /** Guards against a replay that does not count inputs without a matching decision. */
  @Test
  void commitsAndAnswersWithoutDecisionAreCounted() {
    List<TraceRecord> records =
        List.of(
            new TermStarted(0, 1, 1),
            new CommandCommitted(1, 1, new InstanceDown("i", "x", "test")),
            new OrderAccepted(2, 5, "i"));
    assertEquals(
        List.of(
            "max_unproposed_commits: stated at most 0, was 1.0",
            "max_unmatched_answers: stated at most 0, was 1.0"),
        replayed("max_unproposed_commits = 0\nmax_unmatched_answers = 0\n", records));
  }

  /** Guards against a new leader that does not wait until orders of the old one have timed out. */
  @Test
  void missingTakeoverWaitIsReported() throws IOException {
    String text = resource("leader-change.trace");
    String without = text.replace("\"takeoverWaitMillis\":4000", "\"takeoverWaitMillis\":0");
    List<String> out = differences("leader-change", TraceReader.read(without));
    assertTrue(out.get(0).startsWith("min_wait_ms: stated 4000, was "), out.toString());
  }

  /** Guards against a replay that does not report a violated invariant. */
  @Test
  void violationIsReported() {
    InstanceDown c = new InstanceDown("i", "x", "test");
    List<String> out =
        replayed("", List.of(new CommandCommitted(0, 2, c), new CommandCommitted(1, 1, c)));
    assertEquals(1, out.size());
    assertTrue(out.get(0).startsWith("invariant violated: "), out.get(0));
  }

  /**
   * Guards against unmapped tokens of a process that led in earlier terms, and against ignoring the
   * initial snapshot.
   */
  @Test
  void replayFromSnapshotMapsTokens() throws IOException {
    List<TraceRecord> records = new ArrayList<>();
    String empty = Base64.getEncoder().encodeToString(new ControlState(EventSink.NONE).snapshot());
    records.add(new StateRestored(0, empty));
    for (TraceRecord r : TraceScenarios.ALL.get("second-loss").get().records()) {
      records.add(shifted(r, 41));
    }
    assertEquals(List.of(), replayed(resource("second-loss.toml"), records));
  }

  private static TraceRecord shifted(TraceRecord r, long by) {
    if (r instanceof TermStarted t) {
      return new TermStarted(t.at(), t.term(), t.firstToken() + by);
    }
    if (r instanceof TraceRecord.EngineStateRead s) {
      return new TraceRecord.EngineStateRead(s.at(), s.token() + by, s.state());
    }
    if (r instanceof OrderAccepted o) {
      return new OrderAccepted(o.at(), o.token() + by, o.instance());
    }
    if (r instanceof TraceRecord.OrderFailed o) {
      return new TraceRecord.OrderFailed(o.at(), o.token() + by, o.instance());
    }
    return r;
  }
}
