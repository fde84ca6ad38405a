package org.ebonypond.junit.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class ReportsTest {
  /** Guards against load reports without lag, which would hide faults of the entry. */
  @Test
  void loadIsReportedWithLag() {
    LoadHistory h = new LoadHistory(300);
    for (int t = 0; t <= 1_000; t += 50) {
      h.add(new LoadHistory.Sample(t, t, t, 0, 0));
    }
    assertEquals(700, h.report(1_000).active());
    assertEquals(700, h.report(1_049).active());
    assertEquals(750, h.report(1_050).active());
  }

  /** Guards against cache events without lag or gaps, which real engines have. */
  @Test
  void cacheEventsAreLateAndHaveGaps() {
    PrefixCache c = new PrefixCache(2, 100, 3);
    c.storePrefix("a", 0);
    c.storePrefix("b", 0);
    c.storePrefix("c", 0);
    assertEquals(List.of(), c.events(0, 99));
    List<PrefixCache.CacheEvent> events = c.events(0, 100);
    assertEquals(List.of(1L, 2L, 4L), events.stream().map(e -> e.seq()).toList());
    assertEquals("removed", events.get(2).type());
    assertEquals("a", events.get(2).prefix());
    assertEquals(List.of(4L), c.events(2, 100).stream().map(e -> e.seq()).toList());
  }

  /** Guards against evicting recently used prefixes, or the first prefixes of a long prompt. */
  @Test
  void leastRecentlyUsedPromptIsEvictedFromItsEnd() {
    PrefixCache c = new PrefixCache(3, 0, 0);
    List<String> prompt = List.of("p1", "p2");
    c.store(prompt, 0);
    c.storePrefix("b", 0);
    assertEquals(2, c.hit(prompt));
    c.storePrefix("c", 0);
    assertEquals(false, c.contains("b"));
    assertEquals(2, c.hit(prompt));
    c.storePrefix("d", 0);
    c.storePrefix("e", 0);
    assertEquals(1, c.hit(prompt));
    c.store(List.of("q1", "q2", "q3", "q4"), 0);
    assertEquals(3, c.hit(List.of("q1", "q2", "q3", "q4")));
  }
}
