package org.ebonypond.quarantine;

import java.util.List;
import java.util.stream.Stream;

/**
 * What a request has in common with others: with its repetitions, and with requests whose prompts
 * share parts.
 *
 * @param request identifies the request and its repetitions, {@link #UNKNOWN} if they cannot be
 *     recognized
 * @param parts the identifiers of the parts of the prompt that other requests may share
 */
public record RequestTraits(long request, List<Long> parts) {
  /** Identifies no request. */
  public static final long UNKNOWN = 0;

  /** Copies the parts. */
  public RequestTraits {
    parts = List.copyOf(parts);
  }

  /** Returns the traits of a request whose repetitions cannot be recognized. */
  public static RequestTraits ofParts(List<Long> parts) {
    return new RequestTraits(UNKNOWN, parts);
  }

  /** Returns whether the request has any trait. */
  boolean isEmpty() {
    return request == UNKNOWN && parts.isEmpty();
  }

  /** Returns the identifiers of the request and of the parts. */
  List<Long> ids() {
    return request == UNKNOWN ? parts : Stream.concat(Stream.of(request), parts.stream()).toList();
  }
}
