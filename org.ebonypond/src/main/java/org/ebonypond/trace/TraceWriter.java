package org.ebonypond.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.Closeable;
import java.io.IOException;
import java.io.Writer;

/** Writes a trace: a header line and one JSON object per line. Not thread-safe. */
public final class TraceWriter implements Closeable {
  private final Writer out;

  /**
   * Writes the header.
   *
   * @throws IOException if it cannot be written
   */
  public TraceWriter(Writer out, TraceHeader header) throws IOException {
    this.out = out;
    out.write(line(header));
  }

  /**
   * Writes a record.
   *
   * @throws IOException if it cannot be written
   */
  public void write(TraceRecord r) throws IOException {
    out.write(line(r));
  }

  private static String line(Object o) throws JsonProcessingException {
    return TraceJson.MAPPER.writeValueAsString(o) + '\n';
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
