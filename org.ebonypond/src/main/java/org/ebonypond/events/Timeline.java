package org.ebonypond.events;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The events of several processes in a total order; immutable. */
public final class Timeline {
  private static final Comparator<Event> ORDER =
      Comparator.comparing(Event::time)
          .thenComparing(Event::node)
          .thenComparingLong(e -> sequence(e.id()))
          .thenComparing(Event::id);

  private final List<Event> events;

  private Timeline(List<Event> events) {
    this.events = List.copyOf(events);
  }

  /**
   * Merges and deduplicates events. They are ordered by hybrid timestamp, then by node, then by
   * sequence number.
   *
   * @param events the events, in any order
   */
  public static Timeline merge(Collection<Event> events) {
    Map<String, Event> byId = new LinkedHashMap<>();
    events.forEach(e -> byId.putIfAbsent(e.id(), e));
    List<Event> sorted = new ArrayList<>(byId.values());
    sorted.sort(ORDER);
    return new Timeline(sorted);
  }

  /** Returns the events in order. */
  public List<Event> events() {
    return events;
  }

  /** Returns the events of a subject, for example {@code group/g1}. */
  public Timeline ofSubject(String subject) {
    return new Timeline(events.stream().filter(e -> e.subject().equals(subject)).toList());
  }

  /**
   * Returns the events at or after a time.
   *
   * @param wallMillis wall time in milliseconds since the epoch
   */
  public Timeline since(long wallMillis) {
    return new Timeline(events.stream().filter(e -> e.time().wallMillis() >= wallMillis).toList());
  }

  /** Returns the events of a subject and all their direct and indirect causes, in order. */
  public Timeline explain(String subject) {
    Map<String, Event> byId = new LinkedHashMap<>();
    events.forEach(e -> byId.put(e.id(), e));
    Set<String> reached = new HashSet<>();
    Deque<Event> queue = new ArrayDeque<>(ofSubject(subject).events());
    while (!queue.isEmpty()) {
      Event e = queue.remove();
      if (!reached.add(e.id())) {
        continue;
      }
      for (String cause : e.causes()) {
        Event c = byId.get(cause);
        if (c != null) {
          queue.add(c);
        }
      }
    }
    return new Timeline(events.stream().filter(e -> reached.contains(e.id())).toList());
  }

  /** Returns the identifiers of causes that are missing from this timeline, in order. */
  public List<String> missingCauses() {
    Set<String> known = new HashSet<>();
    events.forEach(e -> known.add(e.id()));
    return events.stream()
        .flatMap(e -> e.causes().stream())
        .filter(c -> !known.contains(c))
        .distinct()
        .toList();
  }

  /** Returns the number after the last slash of an event identifier, or -1 if there is none. */
  private static long sequence(String id) {
    String suffix = id.substring(id.lastIndexOf('/') + 1);
    return suffix.matches("[0-9]{1,18}") ? Long.parseLong(suffix) : -1;
  }
}
