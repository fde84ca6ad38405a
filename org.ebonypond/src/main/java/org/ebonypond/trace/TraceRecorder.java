package org.ebonypond.trace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.trace.TraceRecord.AnnouncementHeard;
import org.ebonypond.trace.TraceRecord.AnnouncementsRepeated;

/**
 * Passes records to a consumer and joins announcements that repeat earlier ones. Not thread-safe.
 */
public final class TraceRecorder {
  private final Consumer<TraceRecord> out;
  private final Map<String, InstanceAnnouncement> lastAnnouncements = new HashMap<>();
  private final List<String> repeated = new ArrayList<>();
  private long repeatedAt;
  private long repeatedHeard;

  /** Creates a recorder that passes records to a consumer. */
  public TraceRecorder(Consumer<TraceRecord> out) {
    this.out = out;
  }

  /** Records an announcement; times are in milliseconds. */
  public void announced(InstanceAnnouncement a, long heard, long now) {
    if (!a.equals(lastAnnouncements.put(a.instance(), a))) {
      record(new AnnouncementHeard(now, heard, a));
      return;
    }
    if (repeatedAt != now || repeatedHeard != heard) {
      flush();
    }
    repeatedAt = now;
    repeatedHeard = heard;
    repeated.add(a.instance());
  }

  /** Records any other input. */
  public void record(TraceRecord r) {
    flush();
    out.accept(r);
  }

  /** Passes on the repeated announcements that were joined so far. */
  public void flush() {
    if (!repeated.isEmpty()) {
      out.accept(new AnnouncementsRepeated(repeatedAt, repeatedHeard, repeated));
      repeated.clear();
    }
  }
}
