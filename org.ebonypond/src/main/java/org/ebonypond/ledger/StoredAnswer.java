package org.ebonypond.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The answer of a backend server as stored in the ledger.
 *
 * @param status the HTTP status
 * @param headers the headers, in order; empty if the answer is not kept
 * @param body the body; empty if the answer is not kept. Callers must not change the array.
 * @param kept whether headers and body are kept; otherwise only the completion and status are
 */
public record StoredAnswer(int status, List<AnswerHeader> headers, byte[] body, boolean kept) {
  /** Maximum size of body and headers, in bytes; bounds the size of log entries and snapshots. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  /** Copies the header list. */
  public StoredAnswer {
    headers = List.copyOf(headers);
  }

  /** Returns the answer, without headers and body if it is too large to store. */
  public StoredAnswer bounded() {
    return size() <= MAX_BODY_BYTES ? this : withoutBody();
  }

  /** Returns the answer without headers and body. */
  public StoredAnswer withoutBody() {
    return new StoredAnswer(status, List.of(), new byte[0], false);
  }

  /** Returns the size of body and headers, in bytes (one byte per header character). */
  @JsonIgnore
  public int size() {
    int n = body.length;
    for (AnswerHeader h : headers) {
      n += h.name().length() + h.value().length();
    }
    return n;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredAnswer a
        && status == a.status
        && kept == a.kept
        && headers.equals(a.headers)
        && Arrays.equals(body, a.body);
  }

  @Override
  public int hashCode() {
    return Objects.hash(status, kept, headers, Arrays.hashCode(body));
  }

  @Override
  public String toString() {
    return "StoredAnswer[status=" + status + ", bytes=" + body.length + ", kept=" + kept + "]";
  }
}
