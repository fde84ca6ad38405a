package org.ebonypond.stream;

import java.util.List;

/**
 * What became of a chunk.
 *
 * @param kind what became of it
 * @param deliver the chunks to send to the caller now, in order; empty unless {@code DELIVERED}
 */
public record Placement(Kind kind, List<Chunk> deliver) {
  /** Copies the list. */
  public Placement {
    deliver = List.copyOf(deliver);
  }

  /** The kinds of placement. */
  public enum Kind {
    /** The chunk was next; it and buffered chunks behind it go to the caller. */
    DELIVERED,
    /** The chunk waits for an earlier one. */
    BUFFERED,
    /** The same chunk was taken before; dropped. */
    DUPLICATE,
    /** The chunk belongs to another request; dropped. */
    FOREIGN,
    /** The chunk belongs to an attempt that was replaced; dropped. */
    STALE,
    /** The buffer is full; dropped, and the attempt must be resumed from the offset. */
    NO_ROOM,
    /** The chunk contradicts the answer so far; dropped, and so is the rest of its attempt. */
    CONTRADICTION
  }

  static Placement dropped(Kind kind) {
    return new Placement(kind, List.of());
  }
}
