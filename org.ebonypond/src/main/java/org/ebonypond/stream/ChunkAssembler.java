package org.ebonypond.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Reassembles the answer of one request from its chunks, in order. Not thread-safe.
 *
 * <p>Only chunks of the latest attempt are used. A resumed attempt continues the text that was
 * delivered, so a late chunk of the previous attempt would not match its text.
 */
public final class ChunkAssembler {
  private final String request;
  private final int maxBufferedBytes;
  private final TreeMap<Long, Chunk> buffered = new TreeMap<>();
  private long[] fingerprints = new long[16];
  // The offset of the next chunk to deliver.
  private int next;
  // The number of chunks of the answer; Long.MAX_VALUE until its last chunk is known.
  private long total = Long.MAX_VALUE;
  private int bufferedBytes;
  private int attempt;
  private boolean contradicted;

  /**
   * Creates an assembler without delivered chunks.
   *
   * @param request the identity of the request
   * @param maxBufferedBytes the maximum size of the buffered chunks, in bytes of UTF-8
   */
  public ChunkAssembler(String request, int maxBufferedBytes) {
    this.request = request;
    this.maxBufferedBytes = maxBufferedBytes;
  }

  /**
   * Starts an attempt. Buffered chunks of the previous attempt are dropped.
   *
   * @return the number of the attempt, which its chunks carry
   */
  public int startAttempt() {
    attempt++;
    contradicted = false;
    buffered.clear();
    bufferedBytes = 0;
    if (!isComplete()) {
      total = Long.MAX_VALUE;
    }
    return attempt;
  }

  /** Adds a chunk. */
  public ChunkResult add(Chunk c) {
    if (!c.request().equals(request)) {
      return ChunkResult.dropped(ChunkResult.Kind.FOREIGN);
    }
    if (c.attempt() != attempt) {
      return ChunkResult.dropped(ChunkResult.Kind.STALE);
    }
    if (contradicted || contradicts(c)) {
      contradicted = true;
      return ChunkResult.dropped(ChunkResult.Kind.CONTRADICTION);
    }
    if (c.offset() < next || buffered.containsKey(c.offset())) {
      return ChunkResult.dropped(ChunkResult.Kind.DUPLICATE);
    }
    if (c.offset() > next && bufferedBytes + size(c) > maxBufferedBytes) {
      return ChunkResult.dropped(ChunkResult.Kind.NO_ROOM);
    }
    if (c.last()) {
      total = c.offset() + 1;
    }
    buffered.put(c.offset(), c);
    bufferedBytes += size(c);
    if (c.offset() > next) {
      return ChunkResult.dropped(ChunkResult.Kind.BUFFERED);
    }
    return new ChunkResult(ChunkResult.Kind.DELIVERED, takeReady());
  }

  /** Returns the offset from which the next attempt must resume: the number of delivered chunks. */
  public long resumeOffset() {
    return next;
  }

  /** Returns whether the complete answer has been delivered. */
  public boolean isComplete() {
    return next == total;
  }

  /** Returns the size of the buffered chunks in bytes of UTF-8. */
  public int bufferedBytes() {
    return bufferedBytes;
  }

  private boolean contradicts(Chunk c) {
    if (c.offset() < 0 || c.offset() >= total) {
      return true;
    }
    if (c.offset() < next) {
      return fingerprints[(int) c.offset()] != fingerprint(c);
    }
    Chunk existing = buffered.get(c.offset());
    if (existing != null) {
      return !existing.equals(c);
    }
    boolean endsTooEarly = !buffered.isEmpty() && buffered.lastKey() > c.offset();
    return c.last() && (total != Long.MAX_VALUE || endsTooEarly);
  }

  private List<Chunk> takeReady() {
    List<Chunk> ready = new ArrayList<>();
    for (@Nullable Chunk c = buffered.remove((long) next);
        c != null;
        c = buffered.remove((long) next)) {
      if (c.offset() != next || !c.request().equals(request)) {
        throw new EbonypondException(
            ErrorCode.INVARIANT_VIOLATED,
            "chunk " + c.offset() + " would be delivered at offset " + next);
      }
      bufferedBytes -= size(c);
      if (next == fingerprints.length) {
        fingerprints = Arrays.copyOf(fingerprints, next * 2);
      }
      fingerprints[next++] = fingerprint(c);
      ready.add(c);
    }
    return ready;
  }

  private static int size(Chunk c) {
    return c.data().getBytes(StandardCharsets.UTF_8).length;
  }

  /** Returns a hash of a delivered chunk, which takes eight bytes; collisions are unlikely. */
  private static long fingerprint(Chunk c) {
    long h = c.last() ? 1 : 0;
    for (int i = 0; i < c.data().length(); i++) {
      h = (h ^ c.data().charAt(i)) * 0x9e3779b97f4a7c15L;
      h ^= h >>> 29;
    }
    return h + c.data().length();
  }
}
