package org.ebonypond.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.ebonypond.control.ControlCommand.FormGroup;
import org.ebonypond.control.ControlCommand.GroupReady;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.group.EngineState;
import org.ebonypond.group.EngineStatus;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.group.PlannerSettings;
import org.ebonypond.group.SchedulerSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TraceReaderTest {
  private static final TraceHeader HEADER =
      new TraceHeader("scored", PlannerSettings.DEFAULT, SchedulerSettings.DEFAULT);
  private static final List<TraceRecord> EVERY_KIND =
      List.of(
          new TraceRecord.StateRestored(0, "AAEC"),
          new TraceRecord.TermStarted(1, 7, 5),
          new TraceRecord.AnnouncementHeard(
              2,
              1,
              new InstanceAnnouncement(
                  "i",
                  "x",
                  "i:1",
                  "a",
                  "d",
                  InstanceKind.ENGINE,
                  "batcher",
                  EngineStatus.READY,
                  "g-1",
                  3,
                  4)),
          new TraceRecord.AnnouncementsRepeated(3, 2, List.of("i")),
          new TraceRecord.CommandCommitted(
              4,
              9,
              new FormGroup("g-1", "m", "1", List.of("b"), List.of(new GroupMember("i", "x")))),
          new TraceRecord.ProposalResolved(5, new GroupReady("g-1", 9)),
          new TraceRecord.EngineStateRead(
              6,
              5,
              new EngineState(
                  "i", "x", EngineStatus.LOADING, "g-1", 0, List.of("i:1"), "m", "1", 9)),
          new TraceRecord.OrderAccepted(7, 6, "i"),
          new TraceRecord.OrderFailed(8, 7, "i"),
          new TraceRecord.Tick(9, 1_009),
          new TraceRecord.TermEnded(10));

  private static String valid() throws IOException {
    return TraceScenarios.text(new Trace(HEADER, EVERY_KIND));
  }

  private static String failure(String text) {
    EbonypondException e = assertThrows(EbonypondException.class, () -> TraceReader.read(text));
    assertEquals(ErrorCode.TRACE_INVALID, e.code());
    return String.valueOf(e.getMessage());
  }

  /** Guards against a record kind that does not survive writing and reading. */
  @Test
  void everyKindRoundTrips() throws IOException {
    Set<Class<?>> covered =
        EVERY_KIND.stream().map(TraceRecord::getClass).collect(Collectors.toSet());
    assertEquals(Set.of(TraceRecord.class.getPermittedSubclasses()), covered);
    assertEquals(new Trace(HEADER, EVERY_KIND), TraceReader.read(valid()));
  }

  /** Guards against an invalid line that is skipped, partly read or reported without its number. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "{\"record\":\"tick\",\"at\":9",
        "{\"record\":\"tick\",\"at\":9}",
        "{\"record\":\"tick\",\"at\":9,\"leaseHeldUntil\":null}",
        "{\"record\":\"tick\",\"at\":9,\"leaseHeldUntil\":1,\"more\":1}",
        "{\"record\":\"tick\",\"at\":9,\"leaseHeldUntil\":1} 1",
        "{\"record\":\"bogus\",\"at\":9}",
        "{\"at\":9,\"leaseHeldUntil\":1}",
        "{\"record\":\"tick\",\"at\":7,\"leaseHeldUntil\":1}"
      })
  void invalidLineIsReportedWithItsNumber(String line) throws IOException {
    String[] lines = valid().split("\n");
    lines[10] = line;
    String message = failure(String.join("\n", lines) + "\n");
    assertTrue(message.startsWith("trace line 11: "), message);
  }

  /** Guards against a truncated trace that is accepted as complete. */
  @Test
  void truncatedTraceIsRejected() throws IOException {
    String text = valid();
    int last = EVERY_KIND.size() + 1;
    for (int cut : new int[] {1, 2, 20}) {
      String message = failure(text.substring(0, text.length() - cut));
      assertTrue(message.startsWith("trace line " + last + ": "), message);
    }
    assertTrue(failure("").startsWith("trace line 1: "));
  }

  /** Guards against a trace of another format or version that is accepted. */
  @Test
  void otherFormatIsRejected() throws IOException {
    assertTrue(failure(valid().replace("ebonypond-trace", "other")).contains("other"));
    String next = valid().replace("\"formatVersion\":1", "\"formatVersion\":2");
    assertTrue(failure(next).contains("format version 2"));
    String records = Arrays.stream(valid().split("\n")).skip(1).collect(Collectors.joining("\n"));
    assertTrue(failure(records + "\n").startsWith("trace line 1: "));
  }
}
