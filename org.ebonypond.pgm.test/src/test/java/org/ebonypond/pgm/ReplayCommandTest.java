package org.ebonypond.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.ebonypond.control.ControlCommand.RegisterInstance;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.group.EngineStatus;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.SchedulerSettings;
import org.ebonypond.trace.TraceHeader;
import org.ebonypond.trace.TraceRecord;
import org.ebonypond.trace.TraceWriter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReplayCommandTest extends ToolTestBase {
  @TempDir Path folder;
  private Path trace;
  private Path expected;

  /** Writes a trace in which an instance announces itself once, is registered and then is down. */
  @BeforeEach
  void writeTrace() throws IOException {
    trace = folder.resolve("leader.trace");
    expected = folder.resolve("leader.toml");
    InstanceAnnouncement a =
        new InstanceAnnouncement(
            "i", "x", "i:1", "a", "d", InstanceKind.ENGINE, "b", EngineStatus.IDLE, "", 0, 0);
    List<TraceRecord> records =
        List.of(
            new TraceRecord.TermStarted(0, 1, 1),
            new TraceRecord.AnnouncementHeard(500, 500, a),
            new TraceRecord.Tick(500, 1_500),
            new TraceRecord.CommandCommitted(
                600, 1, new RegisterInstance("i", "x", "i:1", "a", "d", InstanceKind.ENGINE, "b")),
            new TraceRecord.Tick(1_500, 2_500),
            new TraceRecord.Tick(2_500, 3_500));
    StringWriter out = new StringWriter();
    TraceHeader header =
        new TraceHeader("scored", PlannerSettings.DEFAULT, SchedulerSettings.DEFAULT);
    try (TraceWriter w = new TraceWriter(out, header)) {
      for (TraceRecord r : records) {
        w.write(r);
      }
    }
    Files.writeString(trace, out.toString());
  }

  private int replay(String toml, String... options) throws IOException {
    Files.writeString(expected, toml);
    String[] args = new String[4 + options.length];
    System.arraycopy(
        new String[] {"replay", trace.toString(), "--expect", expected.toString()}, 0, args, 0, 4);
    System.arraycopy(options, 0, args, 4, options.length);
    return run(args);
  }

  /** Guards against exit code 0 for a different outcome, and against an unnamed difference. */
  @Test
  void exitCodeTellsWhetherTheOutcomeIsAsExpected() throws IOException {
    assertEquals(0, run("replay", trace.toString()));
    assertTrue(out().contains("proposalCount 2"), out());
    assertEquals(0, replay("groups_ready = 0\nmax_detection_ms = 2000\n"));
    assertEquals(1, replay("groups_ready = 1\nmax_detection_ms = 1999\n"));
    assertTrue(out().contains("groups_ready: stated 1, was 0"), out());
    assertTrue(out().contains("max_detection_ms: stated at most 1999, was 2000"), out());
    assertTrue(err().contains("in 2 points"), err());
  }

  /** Guards against JSON that is malformed or incomplete when the outcome differs. */
  @Test
  void jsonHasTheWholeOutcome() throws IOException {
    assertEquals(1, replay("groups_ready = 1\n", "--json"));
    JsonNode n = new ObjectMapper().readTree(out());
    assertFalse(n.path("asStated").asBoolean(true));
    assertEquals("groups_ready: stated 1, was 0", n.path("differences").path(0).asText());
    assertEquals(
        "register-instance", n.path("proposals").path(0).path("command").path("command").asText());
    assertEquals(2_500, n.path("proposals").path(1).path("at").asLong());
  }

  /** Guards against reporting an invalid file as a different outcome. */
  @Test
  void invalidFileIsNamed() throws IOException {
    assertEquals(2, replay("groups = 1\n"));
    assertTrue(err().contains("leader.toml: line 1: unknown key \"groups\""), err());
    Files.writeString(trace, Files.readString(trace) + "{\"record\":\"tick\"\n");
    assertEquals(2, replay("groups_ready = 0\n"));
    assertTrue(err().contains("leader.trace: trace line 8: "), err());
  }
}
