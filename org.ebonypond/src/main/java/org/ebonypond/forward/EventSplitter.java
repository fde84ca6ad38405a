package org.ebonypond.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Splits the bytes of an event stream into complete events, so that an event that a backend server
 * did not finish is never forwarded, and neither is text that is no event. After a stream was
 * resumed on another instance, events that the caller already received are dropped.
 */
public final class EventSplitter {
  /**
   * The maximum size of an event with the comments before it; typical events have a few hundred
   * bytes.
   */
  private static final int MAX_EVENT_BYTES = 64 << 10;

  /**
   * The maximum size of consecutive dropped events; an answer that is sent again from its start is
   * smaller.
   */
  private static final int MAX_DROPPED_BYTES = 1 << 20;

  /** Bytes that are processed at once; a read may have more than the maximum of an event. */
  private static final int STEP_BYTES = 4 << 10;

  /** The fields that event streams define; a server may add others, which are ignored. */
  private static final Set<String> STANDARD_FIELDS = Set.of("id", "data", "event", "retry");

  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

  private byte[] buffer = new byte[512];
  // The number of bytes in the buffer, those already searched for line ends, and the start of the
  // line that is not complete.
  private int length;
  private int scanned;
  private int lineStart;
  private boolean hasField;
  private boolean hasStandardField;
  private boolean hasData;
  private boolean endsLinesWithReturn;
  private int events;
  private boolean bringsNews;
  private int droppedBytes;
  private long lastId;
  private boolean hasId;
  private String lastIdText;
  // Whether every event so far has a number, and whether these rise by one from 0 or 1.
  private boolean numbered = true;
  private boolean consecutive = true;
  private boolean hasEvent;
  private boolean resumed;
  // The number of the last event of the current instance, new or not.
  private long lastIdOfInstance = Long.MIN_VALUE;
  private boolean hasNewEventOfInstance;

  /**
   * Creates a splitter.
   *
   * @param resumeAfter the identifier of the last event that the caller received, or an empty
   *     string
   */
  public EventSplitter(String resumeAfter) {
    lastIdText = resumeAfter;
    Long id = parse(resumeAfter);
    hasId = id != null;
    lastId = id == null ? 0 : id;
  }

  /**
   * Processes bytes of the stream.
   *
   * @param out receives the complete events that are new to the caller, also those before a failure
   * @return the number of events written to {@code out}
   * @throws EbonypondException {@code upstream-failed} if the bytes are no events, if an event is
   *     too large, if its number shows that another one is missing, or if the stream contains too
   *     many events that the caller already received
   */
  public int feed(byte[] bytes, ByteArrayOutputStream out) {
    events = 0;
    bringsNews = false;
    for (int at = 0; at < bytes.length; at += STEP_BYTES) {
      append(bytes, at, Math.min(STEP_BYTES, bytes.length - at));
      emitComplete(out);
      if (length > MAX_EVENT_BYTES) {
        throw failure("event is larger than " + MAX_EVENT_BYTES + " bytes");
      }
    }
    return events;
  }

  /** Returns the number of events that the last call of {@link #feed} wrote, also if it failed. */
  public int events() {
    return events;
  }

  /**
   * Returns whether the last call of {@link #feed} completed an event with data or a new number;
   * callers ignore the others, apart from a retry interval.
   */
  public boolean bringsNews() {
    return bringsNews;
  }

  private void emitComplete(ByteArrayOutputStream out) {
    int eventStart = 0;
    while (scanned < length) {
      if (buffer[scanned] != '\n') {
        scanned++;
        continue;
      }
      scanned++;
      boolean blank = isBlank(lineStart, scanned);
      if (!blank) {
        readLine(lineStart, scanned);
      } else if (hasField) {
        endEvent(eventStart, scanned, out);
        eventStart = scanned;
      }
      lineStart = scanned;
    }
    System.arraycopy(buffer, eventStart, buffer, 0, length - eventStart);
    length -= eventStart;
    scanned -= eventStart;
    lineStart -= eventStart;
  }

  /**
   * Reads a line that is not blank.
   *
   * @throws EbonypondException if it cannot be a line of an event; after a fault, a backend server
   *     may send an error in the middle of a stream
   */
  private void readLine(int from, int end) {
    if (buffer[from] == ':') {
      return;
    }
    boolean endsWithReturn = endsWithReturn(end);
    if (hasField && endsWithReturn != endsLinesWithReturn) {
      throw failure("line ends change inside an event");
    }
    int textEnd = endsWithReturn ? end - 2 : end - 1;
    int nameEnd = from;
    while (nameEnd < textEnd && isNameChar(buffer[nameEnd])) {
      nameEnd++;
    }
    String name = new String(buffer, from, nameEnd - from, StandardCharsets.US_ASCII);
    boolean standard = STANDARD_FIELDS.contains(name);
    boolean isField = nameEnd == textEnd ? standard : buffer[nameEnd] == ':';
    if (!isField) {
      throw failure("a line is no field of an event");
    }
    hasField = true;
    hasStandardField |= standard;
    hasData |= name.equals("data");
    endsLinesWithReturn = endsWithReturn;
  }

  private boolean endsWithReturn(int end) {
    return end >= 2 && buffer[end - 2] == '\r';
  }

  /** Field names are in lower case, other than the header names of most servers. */
  private static boolean isNameChar(byte c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  }

  private void endEvent(int from, int end, ByteArrayOutputStream out) {
    if (!hasStandardField) {
      throw failure("an event has no field that event streams define");
    }
    if (endsWithReturn(end) != endsLinesWithReturn) {
      throw failure("line ends change inside an event");
    }
    emitIfNew(from, end, out);
    hasField = false;
    hasStandardField = false;
    hasData = false;
  }

  private void emitIfNew(int from, int end, ByteArrayOutputStream out) {
    if (recordIfNew(from, end)) {
      droppedBytes = 0;
      out.write(buffer, from, end - from);
      events++;
      return;
    }
    droppedBytes += end - from;
    if (droppedBytes > MAX_DROPPED_BYTES) {
      throw failure("no new event in " + droppedBytes + " bytes");
    }
  }

  private static EbonypondException failure(String what) {
    return new EbonypondException(ErrorCode.UPSTREAM_FAILED, what);
  }

  /** Returns whether an event has begun and not ended; comments alone do not count as an event. */
  public boolean hasPartialEvent() {
    return hasField || (length > lineStart && buffer[lineStart] != ':');
  }

  /**
   * Processes the end of the stream.
   *
   * @param out receives the comments after the last event
   */
  public void finish(ByteArrayOutputStream out) {
    out.write(buffer, 0, lineStart);
    clear();
  }

  /**
   * Returns a splitter for the bytes of another instance that continues the stream after the last
   * complete event. This one is not changed and may go on.
   */
  public EventSplitter continuation() {
    EventSplitter s = new EventSplitter(lastIdText);
    s.hasId = hasId;
    s.lastId = lastId;
    s.numbered = numbered;
    s.consecutive = consecutive;
    s.hasEvent = hasEvent;
    s.resumed = hasEvent;
    return s;
  }

  private void clear() {
    length = 0;
    scanned = 0;
    lineStart = 0;
    hasField = false;
    hasStandardField = false;
    hasData = false;
  }

  /**
   * Returns whether another instance can continue the stream: events without a number cannot be
   * told from those that the caller already received.
   */
  public boolean isResumable() {
    return numbered;
  }

  /** Returns the identifier of the last complete event, or an empty string if there is none. */
  public String lastId() {
    return lastIdText;
  }

  private void append(byte[] bytes, int from, int count) {
    if (length + count > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, length + count));
    }
    System.arraycopy(bytes, from, buffer, length, count);
    length += count;
  }

  private boolean isBlank(int from, int end) {
    int size = end - from;
    return size == 1 || (size == 2 && buffer[from] == '\r');
  }

  /** Records the identifier of an event; returns false if the caller already received the event. */
  private boolean recordIfNew(int from, int end) {
    String text = idText(from, end);
    Long id = text == null ? null : parse(text);
    if (text == null && !hasData) {
      // Callers ignore such an event, apart from a retry interval that it may set.
      return true;
    }
    if (text == null || id == null) {
      if (resumed) {
        throw failure("an event after a resumption has no number");
      }
      numbered = false;
      bringsNews = true;
      lastIdText = text == null ? lastIdText : text;
      hasEvent = true;
      return true;
    }
    return recordId(id, text);
  }

  /** Returns the identifier of an event, or null if it has none. */
  private @Nullable String idText(int from, int end) {
    int line = from;
    while (line < end) {
      int next = line;
      while (buffer[next] != '\n') {
        next++;
      }
      if (startsWithId(line, next)) {
        int start = line + ID.length;
        return new String(buffer, start, next - start, StandardCharsets.UTF_8).trim();
      }
      line = next + 1;
    }
    return null;
  }

  private boolean recordId(long id, String text) {
    if (id <= lastIdOfInstance) {
      throw failure("event " + id + " after event " + lastIdOfInstance);
    }
    lastIdOfInstance = id;
    if (hasId && id <= lastId) {
      return false;
    }
    boolean next = hasId ? id == lastId + 1 : id <= 1;
    if (resumed && consecutive && !next && !hasNewEventOfInstance) {
      throw failure("resumed with event " + id + " after event " + lastId);
    }
    consecutive &= next;
    lastId = id;
    hasId = true;
    lastIdText = text;
    hasEvent = true;
    hasNewEventOfInstance = true;
    bringsNews = true;
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

  /** Returns a decimal number of at most 18 digits, which a long can hold, or null. */
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
