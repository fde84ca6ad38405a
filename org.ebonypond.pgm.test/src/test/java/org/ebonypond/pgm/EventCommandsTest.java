package org.ebonypond.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EventCommandsTest extends ToolTestBase {
  private static final String EVENTS = "GET /admin/v1/events?after=";
  private FakeEntry first;
  private FakeEntry second;

  @BeforeEach
  void start() throws IOException {
    first = new FakeEntry();
    second = new FakeEntry();
    environment.put("EBONYPOND_ENTRIES", first.address());
    answerStatus(first.address(), second.address());
    first.answer(
        EVENTS + 0,
        200,
        page(
            "a",
            2,
            event("a/1", NOW - 90_000, "INSTANCE_DOWN", "instance/i1", ""),
            event("a/2", NOW - 30_000, "GROUP_READY", "group/g1", "\"b/1\"")));
    first.answer(EVENTS + 2, 200, page("a", 2));
    second.answer(
        EVENTS + 0,
        200,
        page("b", 1, event("b/1", NOW - 60_000, "GROUP_DOWN", "group/g2", "\"a/1\",\"a/0\"")));
    second.answer(EVENTS + 1, 200, page("b", 1));
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
  }

  /** Guards against printing the events entry by entry instead of in order of time. */
  @Test
  void timelineMergesAllEntries() {
    assertEquals(0, run("timeline"));
    assertEquals(List.of("a/1", "b/1", "a/2"), ids());
    assertTrue(out().contains("EP0502 GROUP_DOWN b/1 group/g2 why=x causes=a/1,a/0"), out());
  }

  /** Guards against filters that print too much or drop events at the boundary. */
  @Test
  void timelineFilters() {
    assertEquals(0, run("timeline", "--since", "60s"));
    assertEquals(List.of("b/1", "a/2"), ids());
    outBytes.reset();
    assertEquals(0, run("timeline", "--subject", "group/g1"));
    assertEquals(List.of("a/2"), ids());
  }

  /** Guards against printing events twice, and against losing those of later polls. */
  @Test
  void followPrintsNewEventsOnce() {
    int[] polls = {0};
    pause =
        millis -> {
          second.answer(
              EVENTS + 1, 200, page("b", 2, event("b/2", NOW, "GROUP_READY", "group/g2", "")));
          second.answer(EVENTS + 2, 200, page("b", 2));
          return polls[0]++ < 2;
        };
    assertEquals(0, run("timeline", "--follow"));
    assertEquals(List.of("a/1", "b/1", "a/2", "b/2"), ids());
  }

  /** Guards against losing the events of an entry that has restarted since the last poll. */
  @Test
  void followReadsRestartedEntryFromStart() {
    int[] polls = {0};
    pause =
        millis -> {
          String page = page("a", 1, event("a/r1", NOW, "DAEMON_STARTED", "node/a", ""));
          first.answer(EVENTS + 2, 200, page("a", 1));
          first.answer(EVENTS + 0, 200, page);
          first.answer(EVENTS + 1, 200, page("a", 1));
          return polls[0]++ < 2;
        };
    assertEquals(0, run("timeline", "--follow"));
    assertEquals(List.of("a/1", "b/1", "a/2", "a/r1"), ids());
  }

  /** Guards against a timeline that fails because one entry is down. */
  @Test
  void entryThatIsDownIsSkipped() throws IOException {
    String down = unusedAddress();
    answerStatus(first.address(), down);
    assertEquals(0, run("timeline"));
    assertEquals(List.of("a/1", "a/2"), ids());
    assertTrue(err().contains(down), err());
  }

  /** Guards against failing on events of a newer release. */
  @Test
  void unknownEventCodeIsSkipped() {
    second.answer(EVENTS + 0, 200, page("b", 1, event("b/1", NOW, "NOT_YET_KNOWN", "x", "")));
    assertEquals(0, run("timeline"));
    assertEquals(List.of("a/1", "a/2"), ids());
  }

  /** Guards against missing causes from other entries, and against hiding a discarded cause. */
  @Test
  void explainFollowsCausesAcrossEntries() {
    assertEquals(0, run("explain", "group", "g1"));
    assertEquals(List.of("a/1", "b/1", "a/2"), ids());
    assertTrue(err().contains("no longer kept: a/0"), err());
    outBytes.reset();
    assertEquals(1, run("explain", "request", "r9"));
    assertTrue(err().contains("no event of request/r9 is known to the 2 entries"), err());
  }

  /** Guards against a status output that omits a part of the answer. */
  @Test
  void statusPrintsAllParts() {
    String status =
        "{\"node\":\"n1\",\"zone\":\"z\",\"address\":\"x:1\",\"viewIndex\":7,\"viewFresh\":false,"
            + "\"ready\":true,\"document\":{\"version\":3},\"zonesOut\":[\"java-b\"],"
            + "\"leader\":\"n2\",\"entries\":[{\"node\":\"n1\",\"address\":\"x:1\"}],"
            + "\"groups\":[{\"group\":\"g1\",\"model\":\"m\",\"state\":\"READY\","
            + "\"members\":[\"i1\",\"i2\"]}],"
            + "\"instances\":[{\"instance\":\"i1\",\"zone\":\"java-a\",\"kind\":\"ENGINE\","
            + "\"status\":\"UP\"}]}";
    first.answer("GET /admin/v1/status", 200, status);
    assertEquals(0, run("status"));
    for (String s : List.of("index 7, stale", "version 3", "java-b", "n2", "i1,i2", "ENGINE")) {
      assertTrue(out().contains(s), s + " in " + out());
    }
    outBytes.reset();
    assertEquals(0, run("status", "--json"));
    assertEquals(status, out().strip());
  }

  /** Guards against failing when the first entry is down. */
  @Test
  void getUsesNextEntry() throws IOException {
    second.answer("GET /admin/v1/document", 200, "version = 3");
    assertEquals(0, run("get", "--entry", unusedAddress(), "--entry", second.address()));
    assertEquals("version = 3\n", out());
    assertFalse(err().isEmpty());
  }

  private List<String> ids() {
    return out().lines().map(l -> l.split(" ")[3]).toList();
  }

  private void answerStatus(String... addresses) {
    StringBuilder s = new StringBuilder();
    for (String address : addresses) {
      s.append(s.isEmpty() ? "" : ",").append("{\"address\":\"").append(address).append("\"}");
    }
    first.answer("GET /admin/v1/status", 200, "{\"entries\":[" + s + "]}");
  }

  private static String page(String node, int next, String... events) {
    String joined = String.join(",", events);
    return "{\"node\":\"" + node + "\",\"events\":[" + joined + "],\"next\":" + next + "}";
  }

  private static String event(String id, long wall, String code, String subject, String causes) {
    return String.format(
        "{\"id\":\"%s\",\"wallMillis\":%d,\"counter\":0,\"node\":\"%s\",\"code\":\"%s\","
            + "\"subject\":\"%s\",\"causes\":[%s],\"fields\":{\"why\":\"x\"}}",
        id, wall, id.substring(0, 1), code, subject, causes);
  }
}
