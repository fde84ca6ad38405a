package org.ebonypond.stream;

import java.util.List;

/**
 * The result of adding a chunk to an answer.
 *
 * @param kind whether the chunk was delivered, buffered or dropped
 * @param deliver the chunks to forward to the caller now, in order; empty unless {@code DELIVERED}
 */
public record ChunkResult(Kind kind, List<Chunk> deliver) {
  /** Copies the list of chunks. */
  public ChunkResult {
    deliver = List.copyOf(deliver);
  }

  /** The kinds of results. */
  public enum Kind {
    /** The chunk is the next one; it is delivered with the buffered chunks that follow it. */
    DELIVERED,
    /** An earlier chunk is missing; buffered. */
    BUFFERED,
    /** The same chunk was added before; dropped. */
    DUPLICATE,
    /** The chunk belongs to another request; dropped. */
    FOREIGN,
    /** The chunk belongs to an attempt that was replaced; dropped. */
    STALE,
    /** The buffer is full; dropped, and a new attempt must resume from the offset. */
    NO_ROOM,
    /** The chunk is inconsistent with the answer so far; dropped with the rest of its attempt. */
    CONTRADICTION
  }

  static ChunkResult dropped(Kind kind) {
    return new ChunkResult(kind, List.of());
  }
}
