package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Checks the head of an answer line by line against RFC 9112. The decoder repairs or skips much of
 * what the RFC forbids or leaves to the reader; a backend server that sends such a head is in
 * trouble, and what follows may not be its answer.
 */
final class ResponseHeadCheck implements HeadScanner.LineCheck {
  private static final String VERSION = "HTTP/1.";
  private static final int STATUS_START = 9;
  private static final int STATUS_END = 12;
  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final int MAX_LENGTH_DIGITS = 18;
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  /** The only status that ends HTTP on a connection; no request asks for that. */
  private static final String SWITCHING_PROTOCOLS = "101";

  private @Nullable String problem;
  private boolean hasStatusLine;
  private boolean isVersion10;
  private boolean hasLength;
  private boolean isChunked;

  /** Returns why the head is invalid, or null if it is valid so far. */
  @Nullable String problem() {
    return problem;
  }

  /** Begins with the next head. */
  void reset() {
    problem = null;
    hasStatusLine = false;
    isVersion10 = false;
    hasLength = false;
    isChunked = false;
  }

  @Override
  public void line(ByteBuf in, int start, int end) {
    if (problem != null) {
      return;
    }
    if (in.getByte(end) != '\r') {
      problem = "a line without a carriage return";
    } else if (!hasStatusLine) {
      hasStatusLine = true;
      checkStatusLine(in.toString(start, end - start, StandardCharsets.ISO_8859_1));
    } else {
      checkField(in, start, end);
    }
  }

  private void checkStatusLine(String line) {
    if (line.length() < STATUS_END || !line.startsWith(VERSION) || line.charAt(8) != ' ') {
      problem = "no status line";
      return;
    }
    char minor = line.charAt(VERSION.length());
    String status = line.substring(STATUS_START, STATUS_END);
    char first = status.charAt(0);
    if (minor != '0' && minor != '1') {
      problem = "a version other than HTTP/1.0 and HTTP/1.1";
    } else if (!status.chars().allMatch(c -> isDigit((char) c)) || first < '1' || first > '5') {
      problem = "a status that is not from 100 to 599";
    } else if (status.equals(SWITCHING_PROTOCOLS)) {
      problem = "a change of the protocol";
    } else if (line.length() > STATUS_END && line.charAt(STATUS_END) != ' ') {
      problem = "a status of more than three digits";
    } else if (!line.substring(STATUS_END).chars().allMatch(ResponseHeadCheck::isText)) {
      problem = "a control character in the reason";
    }
    isVersion10 = minor == '0';
  }

  private void checkField(ByteBuf in, int start, int end) {
    int colon = in.indexOf(start, end, (byte) ':');
    if (colon <= start) {
      problem = "a line without the name of a field";
      return;
    }
    for (int i = start; i < colon; i++) {
      if (!isTokenCharacter(in.getByte(i))) {
        problem = "a character that names of fields may not have";
        return;
      }
    }
    for (int i = colon + 1; i < end; i++) {
      if (!isText(in.getUnsignedByte(i))) {
        problem = "a control character in a field";
        return;
      }
    }
    checkFraming(in, start, colon, end);
  }

  /** Checks the fields that determine where the body ends. */
  private void checkFraming(ByteBuf in, int start, int colon, int end) {
    if (isName(in, start, colon, CONTENT_LENGTH)) {
      String v = value(in, colon, end);
      if (hasLength || isChunked) {
        problem = "more than one length";
      } else if (v.isEmpty()
          || v.length() > MAX_LENGTH_DIGITS
          || !v.chars().allMatch(c -> isDigit((char) c))) {
        problem = "a length that is no number";
      }
      hasLength = true;
    } else if (isName(in, start, colon, TRANSFER_ENCODING)) {
      if (hasLength || isChunked) {
        problem = "more than one length";
      } else if (isVersion10 || !value(in, colon, end).equalsIgnoreCase("chunked")) {
        problem = "an unknown transfer coding";
      }
      isChunked = true;
    }
  }

  private static boolean isName(ByteBuf in, int start, int colon, String name) {
    if (colon - start != name.length()) {
      return false;
    }
    for (int i = 0; i < name.length(); i++) {
      if (Character.toLowerCase((char) in.getByte(start + i)) != name.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  private static String value(ByteBuf in, int colon, int end) {
    return in.toString(colon + 1, end - colon - 1, StandardCharsets.ISO_8859_1).strip();
  }

  private static boolean isDigit(char c) {
    return c >= '0' && c <= '9';
  }

  private static boolean isTokenCharacter(byte b) {
    char c = (char) (b & 0xff);
    return (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || isDigit(c)
        || TOKEN_SYMBOLS.indexOf(c) >= 0;
  }

  /** Returns whether a value or a reason may have a character. */
  private static boolean isText(int c) {
    return c == '\t' || (c >= ' ' && c != 0x7f);
  }
}
