package org.ebonypond.server.events;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.ebonypond.events.Event;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.time.HybridClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the latest events in memory for the event timeline and logs each of them. */
public final class EventLog implements EventSink {
  private static final Logger LOG = LoggerFactory.getLogger("ebonypond.events");

  private final String node;
  private final String incarnation;
  private final HybridClock clock;
  private final int capacity;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private long nextSequence = 1;

  /**
   * Creates an event log.
   *
   * @param node the name of this process
   * @param incarnation distinguishes the event identifiers of this process from those before a
   *     restart
   * @param clock the hybrid logical clock of this process
   * @param capacity the maximum number of events kept in memory
   */
  public EventLog(String node, String incarnation, HybridClock clock, int capacity) {
    this.node = node;
    this.incarnation = incarnation;
    this.clock = clock;
    this.capacity = capacity;
  }

  @Override
  public String emit(
      EventCode code, String subject, List<String> causes, Map<String, String> fields) {
    Event event;
    synchronized (this) {
      long sequence = nextSequence++;
      String id = node + "/" + incarnation + "/" + sequence;
      event = new Event(id, clock.now(), node, code, subject, causes, fields);
      entries.addLast(new Entry(sequence, event));
      if (entries.size() > capacity) {
        entries.removeFirst();
      }
    }
    LOG.atInfo()
        .addKeyValue("event", code.label())
        .addKeyValue("id", event.id())
        .addKeyValue("time", event.time())
        .addKeyValue("subject", subject)
        .addKeyValue("causes", causes)
        .addKeyValue("fields", fields)
        .log(code.name());
    return event.id();
  }

  /**
   * Returns the kept events after a sequence number, oldest first.
   *
   * @param after the sequence number of the last event that the reader has, or 0 for none; a number
   *     that is not assigned yet counts as 0
   * @param max the maximum number of events to return
   */
  public synchronized Page after(long after, int max) {
    List<Event> out = new ArrayList<>();
    long next = after >= nextSequence ? 0 : after;
    for (Entry e : entries) {
      if (e.sequence > next && out.size() < max) {
        out.add(e.event);
        next = e.sequence;
      }
    }
    return new Page(out, next);
  }

  /**
   * A page of events.
   *
   * @param events the events, oldest first
   * @param next the sequence number to pass as {@code after} for the next page
   */
  public record Page(List<Event> events, long next) {}

  private record Entry(long sequence, Event event) {}
}
