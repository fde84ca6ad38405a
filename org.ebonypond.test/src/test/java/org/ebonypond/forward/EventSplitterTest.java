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
import org.junit.jupiter.params.provider.MethodSource;

class EventSplitterTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  static LongStream seeds() {
    return Seeds.all();
  }

  private static byte[] bytes(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }

  private String passed() {
    return out.toString(StandardCharsets.UTF_8);
  }

  /** Guards against an unfinished event that reaches the caller. */
  @Test
  void unfinishedEventIsHeldBackAndDropped() {
    EventSplitter s = new EventSplitter("");
    s.feed(bytes("id: 1\ndata: a\n\nid: 2\nda"), out);
    assertEquals("id: 1\ndata: a\n\n", passed());
    assertTrue(s.hasPartialEvent());
    s.dropPartialEvent();
    s.feed(bytes("id: 2\ndata: b\n\n"), out);
    assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", passed());
    assertFalse(s.hasPartialEvent());
  }

  /** Guards against events that come twice after a stream was resumed. */
  @Test
  void eventsThatTheCallerHasAreDropped() {
    EventSplitter s = new EventSplitter("12");
    assertEquals(1, s.feed(bytes("id: 12\ndata: x\n\nid: 13\ndata: y\n\n"), out));
    assertEquals("id: 13\ndata: y\n\n", passed());
    assertEquals("13", s.lastId());
  }

  /** Guards against a result that depends on how the network cuts the bytes. */
  @ParameterizedTest
  @MethodSource("seeds")
  void anyCutsGiveTheSameEvents(long seed) {
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
    assertEquals(text.toString(), passed());
  }

  /** Guards against comments that count as an answer, or are lost from one. */
  @Test
  void commentsComeWithTheNextEventOrTheEnd() {
    EventSplitter s = new EventSplitter("");
    assertEquals(0, s.feed(bytes(": none\n\n: more\n\n"), out));
    assertFalse(s.hasPartialEvent());
    assertEquals(1, s.feed(bytes("id: 1\ndata: a\n\n: last\n\n"), out));
    assertEquals(": none\n\n: more\n\nid: 1\ndata: a\n\n", passed());
    s.finish(out);
    assertEquals(": none\n\n: more\n\nid: 1\ndata: a\n\n: last\n\n", passed());
  }

  /** Guards against a stream that takes memory or time without end and brings nothing. */
  @Test
  void streamThatBringsNothingNewFails() {
    EventSplitter silent = new EventSplitter("");
    assertThrows(EbonypondException.class, () -> feedWithoutEnd(silent, ": none\n\n"));
    EventSplitter endless = new EventSplitter("");
    assertThrows(EbonypondException.class, () -> feedWithoutEnd(endless, "data: x\n"));
    EventSplitter repeating = new EventSplitter("7");
    assertThrows(EbonypondException.class, () -> feedWithoutEnd(repeating, "id: 7\ndata: x\n\n"));
  }

  private void feedWithoutEnd(EventSplitter s, String text) {
    for (int i = 0; i < 200_000; i++) {
      s.feed(bytes(text), out);
    }
  }
}
