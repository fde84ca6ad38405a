package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of a message's head in the bytes received so far, and measures the head before it
 * is decoded. No byte is looked at twice, however small the parts in which they arrive.
 */
final class HeadScanner {
  private static final byte LF = '\n';
  private static final byte CR = '\r';

  /** Receives the lines of a head, one by one. */
  interface LineCheck {
    /**
     * Checks a line.
     *
     * @param in the bytes received
     * @param start the index of the first byte of the line
     * @param end the index behind its last byte; its terminator follows
     */
    void line(ByteBuf in, int start, int end);
  }

  private final LineCheck check;
  private int bytes;
  private int lineStart;
  private int lines;
  private int longestLine;
  private boolean complete;

  HeadScanner(LineCheck check) {
    this.check = check;
  }

  /** Returns the number of bytes that were looked at; the size of the head once it is complete. */
  int bytes() {
    return bytes;
  }

  /** Returns the number of lines, the first one included. */
  int lines() {
    return lines;
  }

  /** Returns the length of the longest line in bytes. */
  int longestLine() {
    return longestLine;
  }

  /**
   * Scans the bytes that have arrived since the last call; the head begins at the reader index.
   *
   * @return whether the head is complete
   */
  boolean scan(ByteBuf in) {
    int head = in.readerIndex();
    while (!complete) {
      int lf = in.indexOf(head + bytes, in.writerIndex(), LF);
      if (lf < 0) {
        bytes = in.readableBytes();
        longestLine = Math.max(longestLine, bytes - lineStart);
        return false;
      }
      int start = head + lineStart;
      int end = lf > start && in.getByte(lf - 1) == CR ? lf - 1 : lf;
      bytes = lf + 1 - head;
      lineStart = bytes;
      complete = end == start;
      if (!complete) {
        lines++;
        longestLine = Math.max(longestLine, end - start);
        check.line(in, start, end);
      }
    }
    return true;
  }

  /** Begins with the next head. */
  void reset() {
    bytes = 0;
    lineStart = 0;
    lines = 0;
    longestLine = 0;
    complete = false;
  }
}
