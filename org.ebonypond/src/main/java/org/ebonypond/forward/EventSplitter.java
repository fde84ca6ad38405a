package org.ebonypond.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Cuts the bytes of an event stream into whole events, so that an event that a backend server did
 * not finish is never passed on. After a stream was resumed on another instance, events that the
 * caller has had are dropped.
 */
public final class EventSplitter {
  /**
   * Events that are larger end the stream with an error; answers have events of some hundred bytes.
   */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

  private byte[] buffer = new byte[512];
  private int length;
  private int scanned;
  private int lineStart;
  private long lastId;
  private boolean hasId;
  private String lastIdText;

  /**
   * Creates a splitter.
   *
   * @param resumeAfter the identifier of the last event that the caller has, or an empty string
   */
  public EventSplitter(String resumeAfter) {
    lastIdText = resumeAfter;
    Long id = parse(resumeAfter);
    hasId = id != null;
    lastId = id == null ? 0 : id;
  }

  /**
   * Takes bytes of the stream.
   *
   * @param out receives the whole events that are new to the caller
   * @return the number of events written to {@code out}
   * @throws IllegalStateException if an event is too large
   */
  public int feed(byte[] bytes, ByteArrayOutputStream out) {
    append(bytes);
    int events = 0;
    int eventStart = 0;
    while (scanned < length) {
      if (buffer[scanned] != '\n') {
        scanned++;
        continue;
      }
      scanned++;
      if (isBlank(lineStart, scanned)) {
        if (isNew(eventStart, scanned)) {
          out.write(buffer, eventStart, scanned - eventStart);
          events++;
        }
        eventStart = scanned;
      }
      lineStart = scanned;
    }
    System.arraycopy(buffer, eventStart, buffer, 0, length - eventStart);
    length -= eventStart;
    scanned -= eventStart;
    lineStart -= eventStart;
    return events;
  }

  /** Returns whether an event has begun and not ended. */
  public boolean hasPartialEvent() {
    return length > 0;
  }

  /** Drops an unfinished event, before the stream goes on at another instance. */
  public void dropPartialEvent() {
    length = 0;
    scanned = 0;
    lineStart = 0;
  }

  /** Returns the identifier of the last whole event, or an empty string if there is none. */
  public String lastId() {
    return lastIdText;
  }

  private void append(byte[] bytes) {
    if (length + bytes.length > buffer.length) {
      if (length + bytes.length > MAX_EVENT_BYTES) {
        throw new IllegalStateException("event of more than " + MAX_EVENT_BYTES + " bytes");
      }
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, length + bytes.length));
    }
    System.arraycopy(bytes, 0, buffer, length, bytes.length);
    length += bytes.length;
  }

  private boolean isBlank(int from, int end) {
    int size = end - from;
    return size == 1 || (size == 2 && buffer[from] == '\r');
  }

  /** Notes the identifier of an event; returns false if the caller has had it. */
  private boolean isNew(int from, int end) {
    int line = from;
    while (line < end) {
      int next = line;
      while (buffer[next] != '\n') {
        next++;
      }
      if (startsWithId(line, next)) {
        int start = line + ID.length;
        String text = new String(buffer, start, next - start, StandardCharsets.UTF_8).trim();
        return noteId(text);
      }
      line = next + 1;
    }
    return true;
  }

  private boolean noteId(String text) {
    Long id = parse(text);
    if (id != null && hasId && id <= lastId) {
      return false;
    }
    if (id != null) {
      lastId = id;
      hasId = true;
    }
    lastIdText = text;
    return true;
  }

  private boolean startsWithId(int from, int end) {
    if (end - from < ID.length) {
      return false;
    }
    for (int i = 0; i < ID.length; i++) {
      if (buffer[from + i] != ID[i]) {
        return false;
      }
    }
    return true;
  }

  private static @Nullable Long parse(String text) {
    if (text.isEmpty() || text.length() > 18) {
      return null;
    }
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < '0' || text.charAt(i) > '9') {
        return null;
      }
    }
    return Long.valueOf(text);
  }
}
