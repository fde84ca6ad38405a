package org.ebonypond.server.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/** Incremental parser of server-sent events. Input may be split at any byte. */
public final class SseParser {
  private static final int MAX_LINE_BYTES = 1 << 20;

  /** Size limit of an event, including comments and unknown fields before it. */
  private static final int MAX_EVENT_BYTES = 2 << 20;

  private final Consumer<SseEvent> sink;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private String type = "";
  private String id = "";
  private boolean hasData;
  private int bytesSinceEvent;
  private boolean lastWasCarriageReturn;

  /**
   * Creates a parser.
   *
   * @param sink receives each complete event
   */
  public SseParser(Consumer<SseEvent> sink) {
    this.sink = sink;
  }

  /**
   * Parses the next bytes.
   *
   * @throws EbonypondException {@code upstream-failed} if a line is longer than 1 MiB, or if 2 MiB
   *     contain no complete event
   */
  public void feed(byte[] bytes) {
    for (byte b : bytes) {
      bytesSinceEvent++;
      if (bytesSinceEvent > MAX_EVENT_BYTES) {
        throw new EbonypondException(ErrorCode.UPSTREAM_FAILED, "no complete event within 2 MiB");
      }
      if (b == '\n' && lastWasCarriageReturn) {
        lastWasCarriageReturn = false;
        continue;
      }
      lastWasCarriageReturn = b == '\r';
      if (b == '\n' || b == '\r') {
        endLine();
        continue;
      }
      if (line.size() >= MAX_LINE_BYTES) {
        throw new EbonypondException(ErrorCode.UPSTREAM_FAILED, "event line longer than 1 MiB");
      }
      line.write(b);
    }
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      endEvent();
      return;
    }
    int colon = text.indexOf(':');
    if (colon == 0) {
      return;
    }
    String field = colon < 0 ? text : text.substring(0, colon);
    String value = colon < 0 ? "" : text.substring(colon + 1);
    value = value.startsWith(" ") ? value.substring(1) : value;
    switch (field) {
      case "event" -> type = value;
      case "id" -> id = value;
      case "data" -> {
        if (hasData) {
          data.append('\n');
        }
        data.append(value);
        hasData = true;
      }
      default -> {
        // Other fields are ignored, as the specification requires.
      }
    }
  }

  private void endEvent() {
    if (hasData) {
      bytesSinceEvent = 0;
      sink.accept(new SseEvent(type, id, data.toString()));
    }
    type = "";
    data.setLength(0);
    hasData = false;
  }
}
