package org.ebonypond.server.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.ebonypond.errors.EbonypondException;
import org.junit.jupiter.api.Test;

class SseParserTest {
  private static final String TEXT =
      "event: error\nid: 0\ndata: {\"a\":\"é\"}\n\n: comment\n"
          + "id: 1\r\ndata: b\r\ndata: c\r\n\r\ndata:d\n\nid: 9\n\n";

  /** Guards against events that are lost or corrupted because the input is split inside them. */
  @Test
  void eventsDoNotDependOnTheSplitOfTheInput() {
    List<SseEvent> expected =
        List.of(
            new SseEvent("error", "0", "{\"a\":\"é\"}"),
            new SseEvent("", "1", "b\nc"),
            new SseEvent("", "1", "d"));
    byte[] all = TEXT.getBytes(StandardCharsets.UTF_8);
    Random random = new Random(7);
    for (int run = 0; run < 200; run++) {
      List<SseEvent> events = new ArrayList<>();
      SseParser p = new SseParser(events::add);
      int from = 0;
      while (from < all.length) {
        int to = Math.min(all.length, from + 1 + random.nextInt(5));
        p.feed(Arrays.copyOfRange(all, from, to));
        from = to;
      }
      assertEquals(expected, events);
    }
  }

  /** Guards against a backend server that exhausts the memory with an endless line. */
  @Test
  void rejectsEndlessLine() {
    SseParser p = new SseParser(e -> {});
    byte[] block = new byte[1 << 19];
    Arrays.fill(block, (byte) 'x');
    p.feed(block);
    p.feed(block);
    assertThrows(EbonypondException.class, () -> p.feed(new byte[] {'x'}));
  }
}
