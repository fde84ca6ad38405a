package org.ebonypond.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/** Reads a trace. An invalid line is an error; no line is skipped. */
public final class TraceReader {
  private TraceReader() {}

  /**
   * Reads a trace.
   *
   * @param text the text of the trace; every line ends with a line feed
   * @throws EbonypondException {@code trace-invalid} with the line's number, from 1
   */
  public static Trace read(String text) {
    List<String> lines = text.lines().toList();
    if (lines.isEmpty()) {
      throw invalid(1, "the header is missing");
    }
    if (!text.endsWith("\n")) {
      throw invalid(lines.size(), "the line has no end; the trace is truncated");
    }
    TraceHeader header = parse(1, lines.get(0), TraceHeader.class);
    if (!header.format().equals(TraceHeader.FORMAT)) {
      throw invalid(1, "format \"" + header.format() + "\" is not " + TraceHeader.FORMAT);
    }
    if (header.formatVersion() != TraceHeader.VERSION) {
      throw invalid(
          1, "format version " + header.formatVersion() + " is not " + TraceHeader.VERSION);
    }
    List<TraceRecord> records = new ArrayList<>();
    for (int i = 1; i < lines.size(); i++) {
      TraceRecord r = parse(i + 1, lines.get(i), TraceRecord.class);
      if (!records.isEmpty() && r.at() < records.get(records.size() - 1).at()) {
        throw invalid(i + 1, "the time " + r.at() + " is before that of the previous line");
      }
      records.add(r);
    }
    return new Trace(header, records);
  }

  private static <T> T parse(int number, String line, Class<T> type) {
    try {
      T value = TraceJson.MAPPER.readValue(line, type);
      if (value == null) {
        throw invalid(number, "the line is null");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw invalid(number, e.getOriginalMessage());
    }
  }

  private static EbonypondException invalid(int line, String problem) {
    return new EbonypondException(ErrorCode.TRACE_INVALID, String.valueOf(line), problem);
  }
}
