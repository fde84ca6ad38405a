package org.ebonypond.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.junit.Seeds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  static LongStream seeds() {
    return Seeds.all();
  }

  private static byte[] bytes(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }

  private String forwarded() {
    return out.toString(StandardCharsets.UTF_8);
  }

  /** Guards against an unfinished event that is forwarded to the caller. */
  @Test
  void unfinishedEventIsHeldBackAndDropped() {
    EventSplitter s = new EventSplitter("");
    s.feed(bytes("id: 1\ndata: a\n\nid: 2\nda"), out);
    assertEquals("id: 1\ndata: a\n\n", forwarded());
    assertTrue(s.hasPartialEvent());
    EventSplitter next = s.continuation();
    next.feed(bytes("id: 2\ndata: b\n\n"), out);
    assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", forwarded());
    assertFalse(next.hasPartialEvent());
  }

  /** Guards against duplicate events after a stream was resumed. */
  @Test
  void eventsThatTheCallerReceivedAreDropped() {
    EventSplitter s = new EventSplitter("12");
    assertEquals(1, s.feed(bytes("id: 12\ndata: x\n\nid: 13\ndata: y\n\n"), out));
    assertEquals("id: 13\ndata: y\n\n", forwarded());
    assertEquals("13", s.lastId());
  }

  /** Guards against events that depend on how the network fragments the stream. */
  @ParameterizedTest
  @MethodSource("seeds")
  void fragmentationDoesNotChangeEvents(long seed) {
    StringBuilder text = new StringBuilder();
    Random random = new Random(seed);
    for (int i = 1; i <= 50; i++) {
      String end = random.nextBoolean() ? "\r\n" : "\n";
      text.append("id: ").append(i).append(end);
      text.append("data: ").append("x".repeat(random.nextInt(900))).append(end).append(end);
    }
    byte[] all = bytes(text.toString());
    EventSplitter s = new EventSplitter("");
    int events = 0;
    for (int at = 0; at < all.length; ) {
      int n = Math.min(all.length - at, 1 + random.nextInt(200));
      events += s.feed(Arrays.copyOfRange(all, at, at + n), out);
      at += n;
    }
    assertEquals(50, events);
    assertEquals(text.toString(), forwarded());
  }

  /** Guards against comments that count as events, and against lost comments. */
  @Test
  void commentsComeWithTheNextEventOrTheEnd() {
    EventSplitter s = new EventSplitter("");
    assertEquals(0, s.feed(bytes(": none\n\n: more\n\n"), out));
    assertFalse(s.hasPartialEvent());
    assertEquals(1, s.feed(bytes("id: 1\ndata: a\n\n: last\n\n"), out));
    assertEquals(": none\n\n: more\n\nid: 1\ndata: a\n\n", forwarded());
    s.finish(out);
    assertEquals(": none\n\n: more\n\nid: 1\ndata: a\n\n: last\n\n", forwarded());
  }

  /** Guards against a stream without new events that uses unbounded memory or time. */
  @Test
  void streamWithoutNewEventsFails() {
    EventSplitter silent = new EventSplitter("");
    assertThrows(EbonypondException.class, () -> feedRepeatedly(silent, ": none\n\n"));
    EventSplitter endless = new EventSplitter("");
    assertThrows(EbonypondException.class, () -> feedRepeatedly(endless, "data: x\n"));
    EventSplitter repeating = new EventSplitter("7");
    assertThrows(EbonypondException.class, () -> feedRepeatedly(repeating, "id: 7\ndata: x\n\n"));
  }

  private void feedRepeatedly(EventSplitter s, String text) {
    for (int i = 0; i < 200_000; i++) {
      s.feed(bytes(text), out);
    }
  }

  /** Guards against a broken stream, because a sound one arrives faster than it is read. */
  @Test
  void readThatIsLargerThanAnEventIsAccepted() {
    StringBuilder text = new StringBuilder();
    for (int i = 2; text.length() < 64 << 10; i++) {
      text.append("id: ").append(i).append("\ndata: ").append("x".repeat(80)).append("\n\n");
    }
    EventSplitter s = new EventSplitter("");
    s.feed(bytes("id: 1\nda"), out);
    s.feed(bytes("ta: x\n\n" + text), out);
    assertEquals("id: 1\ndata: x\n\n" + text, forwarded());
  }

  /** Guards against an error's text, or an answer's head, that is forwarded as an event. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops",
        "HTTP/1.1 500 Internal Server Error\r\n\r\n",
        "Internal Server Error\n\n",
        "{\"error\": 1}\n\n",
        "<html>\n\n",
        "error: oops\n\n",
        "data\tx\n\n",
        "id: 2\ndata: aHTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
        "id: 2\ndata: aHTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n",
        "id: 2\ndata: aHTTP/1.1 500 Error\r\n\r\n",
        "id: 2\r\ndata: aHTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
      })
  void textThatIsNoEventFailsAfterTheEventsBeforeIt(String text) {
    EventSplitter s = new EventSplitter("");
    assertThrows(EbonypondException.class, () -> s.feed(bytes("id: 1\ndata: a\n\n" + text), out));
    assertEquals("id: 1\ndata: a\n\n", forwarded());
    assertEquals(1, s.events());
    assertEquals("1", s.lastId());
  }

  /** Guards against a sound stream that is taken for an error. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "id: 1\ndata: a\n\n",
        "id:1\r\ndata\r\ndata:\r\n\r\n",
        "revision: 3\nid: 1\nevent: token\ndata: HTTP/1.1 500 Error\n\n",
        ": HTTP/1.1 500\nretry: 100\n\nid: 1\r\n:\r\ndata: x\r\n\r\n",
      })
  void fieldsOfEventsAreForwarded(String text) {
    EventSplitter s = new EventSplitter("");
    s.feed(bytes(text), out);
    assertEquals(text, forwarded());
  }

  /**
   * Guards against a stream joined with another one of which events are missing or out of order.
   */
  @ParameterizedTest
  @CsvSource({
    "1 2, 4",
    "1 2, 1 2 4",
    "1 2, 3 x",
    "1 2, x",
    "1 2, 3 3",
    "1 2, 3 2",
    "1 2, 2 1 3",
    "1, 3",
    "0 1, 3"
  })
  void continuationThatDoesNotFitFails(String before, String after) {
    EventSplitter s = new EventSplitter("");
    s.feed(events(before), out);
    EventSplitter next = s.continuation();
    assertThrows(EbonypondException.class, () -> next.feed(events(after), out));
  }

  /** Guards against a stream that is broken off although its continuation fits. */
  @ParameterizedTest
  @CsvSource({
    "1 2, 3 4 6",
    "1 2, 1 2 3",
    "5 10, 15 20",
    "3 5, 4 7",
    "1 3, 4",
    "'', 7 8",
    "'', x",
    "r 1 r 2, r 3 r"
  })
  void continuationThatFitsIsForwarded(String before, String after) {
    EventSplitter s = new EventSplitter("");
    s.feed(events(before), out);
    assertTrue(s.isResumable());
    EventSplitter next = s.continuation();
    assertTrue(next.feed(events(after), out) > 0);
  }

  /** Guards against events that come twice, because those without a number cannot be compared. */
  @ParameterizedTest
  @ValueSource(strings = {"x", "1 2 x", "x 1"})
  void streamWithAnEventWithoutNumberIsNotResumable(String ids) {
    EventSplitter s = new EventSplitter("");
    s.feed(events(ids), out);
    assertFalse(s.isResumable());
  }

  /**
   * Returns one event for each identifier; {@code x} is one without, {@code r} one that only sets
   * the retry interval.
   */
  private static byte[] events(String ids) {
    StringBuilder b = new StringBuilder();
    for (String id : ids.isEmpty() ? new String[0] : ids.split(" ")) {
      switch (id) {
        case "x" -> b.append("data: a\n\n");
        case "r" -> b.append("retry: 100\n\n");
        default -> b.append("id: ").append(id).append("\ndata: a\n\n");
      }
    }
    return bytes(b.toString());
  }
}
