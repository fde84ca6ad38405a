package org.ebonypond.trace;

import java.io.Closeable;
import java.io.IOException;
import java.io.Writer;

/** Writes a trace: a header line and one JSON object per line. Not thread-safe. */
public final class TraceWriter implements Closeable {
  private final Writer out;
  private long written;

  /**
   * Creates a writer and writes the header.
   *
   * @throws IOException if it cannot be written
   */
  public TraceWriter(Writer out, TraceHeader header) throws IOException {
    this.out = out;
    append(header);
  }

  /**
   * Writes a record.
   *
   * @throws IOException if it cannot be written
   */
  public void write(TraceRecord r) throws IOException {
    append(r);
  }

  /** Returns the number of characters written so far. */
  public long written() {
    return written;
  }

  /**
   * Flushes buffered output.
   *
   * @throws IOException if it cannot be written
   */
  public void flush() throws IOException {
    out.flush();
  }

  private void append(Object o) throws IOException {
    String line = TraceJson.MAPPER.writeValueAsString(o) + '\n';
    out.write(line);
    written += line.length();
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
