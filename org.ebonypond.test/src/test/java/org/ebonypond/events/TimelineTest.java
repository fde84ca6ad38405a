package org.ebonypond.events;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.ebonypond.time.HybridTimestamp;
import org.junit.jupiter.api.Test;

class TimelineTest {
  /** Guards against an order that depends on the order in which processes answer. */
  @Property(tries = 200)
  void orderDoesNotDependOnInput(@ForAll long seed) {
    Random random = new Random(seed);
    List<Event> events = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      String node = "n" + random.nextInt(3);
      events.add(event(node + "/" + i, random.nextInt(4), random.nextInt(3), "x"));
    }
    final Timeline first = Timeline.merge(events);
    events.addAll(events.subList(0, 10));
    Collections.shuffle(events, random);
    assertEquals(first.events(), Timeline.merge(events).events());
    assertEquals(30, first.events().size());
    for (int i = 1; i < 30; i++) {
      HybridTimestamp before = first.events().get(i - 1).time();
      assertEquals(true, before.compareTo(first.events().get(i).time()) <= 0);
    }
  }

  /** Guards against ordering sequence numbers as text, which puts 10 before 9. */
  @Test
  void equalTimesFollowNodeAndSequence() {
    Timeline t =
        Timeline.merge(
            List.of(event("b/1", 5, 0, "x"), event("a/10", 5, 0, "x"), event("a/9", 5, 0, "x")));
    assertEquals(List.of("a/9", "a/10", "b/1"), ids(t));
  }

  /**
   * Guards against a search for causes that stops after one step or does not terminate on a cycle.
   */
  @Test
  void explainFollowsCauses() {
    Timeline t =
        Timeline.merge(
            List.of(
                event("a/1", 1, 0, "instance/i", "a/3"),
                event("a/2", 2, 0, "group/g", "a/1", "a/0"),
                event("a/3", 3, 0, "request/r", "a/2"),
                event("a/4", 4, 0, "request/s", "a/2")));
    assertEquals(List.of("a/1", "a/2", "a/3"), ids(t.explain("request/r")));
    assertEquals(List.of("a/0"), t.explain("request/r").missingCauses());
    assertEquals(List.of(), ids(t.explain("request/none")));
  }

  /** Guards against filters that omit events at the boundary. */
  @Test
  void filtersBySubjectAndTime() {
    Timeline t = Timeline.merge(List.of(event("a/1", 1, 0, "x"), event("a/2", 2, 0, "y")));
    assertEquals(List.of("a/2"), ids(t.since(2)));
    assertEquals(List.of("a/1"), ids(t.ofSubject("x")));
  }

  private static List<String> ids(Timeline t) {
    return t.events().stream().map(Event::id).toList();
  }

  private static Event event(String id, long wall, int counter, String subject, String... causes) {
    return new Event(
        id,
        new HybridTimestamp(wall, counter),
        id.substring(0, id.indexOf('/')),
        EventCode.GROUP_READY,
        subject,
        List.of(causes),
        Map.of());
  }
}
