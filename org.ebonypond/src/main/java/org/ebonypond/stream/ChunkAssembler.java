package org.ebonypond.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Reassembles the answer of one request from its chunks, in order. Not thread-safe.
 *
 * <p>Attempts that run at the same time are buffered separately. The first of them that delivers a
 * chunk continues the answer; chunks of the others would not match its text and are dropped.
 */
public final class ChunkAssembler {
  private final String request;
  private final int maxBufferedBytes;
  private final Map<Integer, Attempt> running = new HashMap<>();
  private long[] fingerprints = new long[16];
  // The offset of the next chunk to deliver.
  private int next;
  // The number of chunks of the answer; Long.MAX_VALUE until its last chunk is delivered.
  private long total = Long.MAX_VALUE;
  private int attempts;

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
   * Starts an attempt in place of the running ones, whose buffered chunks are dropped.
   *
   * @return the number of the attempt, which its chunks carry
   */
  public int startAttempt() {
    running.clear();
    return addAttempt();
  }

  /**
   * Starts an attempt beside the running ones.
   *
   * @return the number of the attempt, which its chunks carry
   */
  public int addAttempt() {
    attempts++;
    running.put(attempts, new Attempt(total));
    return attempts;
  }

  /** Drops an attempt that has ended, with its buffered chunks. */
  public void dropAttempt(int attempt) {
    running.remove(attempt);
  }

  /** Adds a chunk. */
  public ChunkResult add(Chunk c) {
    if (!c.request().equals(request)) {
      return ChunkResult.dropped(ChunkResult.Kind.FOREIGN);
    }
    Attempt a = running.get(c.attempt());
    if (a == null) {
      return ChunkResult.dropped(ChunkResult.Kind.STALE);
    }
    if (a.contradicted || contradicts(a, c)) {
      a.contradicted = true;
      return ChunkResult.dropped(ChunkResult.Kind.CONTRADICTION);
    }
    if (c.offset() < next || a.buffered.containsKey(c.offset())) {
      return ChunkResult.dropped(ChunkResult.Kind.DUPLICATE);
    }
    if (c.offset() > next && a.bufferedBytes + size(c) > maxBufferedBytes) {
      return ChunkResult.dropped(ChunkResult.Kind.NO_ROOM);
    }
    if (c.last()) {
      a.total = c.offset() + 1;
    }
    a.buffered.put(c.offset(), c);
    a.bufferedBytes += size(c);
    if (c.offset() > next) {
      return ChunkResult.dropped(ChunkResult.Kind.BUFFERED);
    }
    if (running.size() > 1) {
      running.keySet().retainAll(Set.of(c.attempt()));
    }
    List<Chunk> ready = takeReady(a);
    if (next == a.total) {
      total = next;
    }
    return new ChunkResult(ChunkResult.Kind.DELIVERED, ready);
  }

  /** Returns the offset from which the next attempt must resume: the number of delivered chunks. */
  public long resumeOffset() {
    return next;
  }

  /** Returns whether the complete answer has been delivered. */
  public boolean isComplete() {
    return next == total;
  }

  /** Returns the size of the buffered chunks of all attempts in bytes of UTF-8. */
  public int bufferedBytes() {
    return running.values().stream().mapToInt(a -> a.bufferedBytes).sum();
  }

  private boolean contradicts(Attempt a, Chunk c) {
    if (c.offset() < 0 || c.offset() >= a.total) {
      return true;
    }
    if (c.offset() < next) {
      return fingerprints[(int) c.offset()] != fingerprint(c);
    }
    Chunk existing = a.buffered.get(c.offset());
    if (existing != null) {
      return !existing.equals(c);
    }
    boolean endsTooEarly = !a.buffered.isEmpty() && a.buffered.lastKey() > c.offset();
    return c.last() && (a.total != Long.MAX_VALUE || endsTooEarly);
  }

  private List<Chunk> takeReady(Attempt a) {
    List<Chunk> ready = new ArrayList<>();
    for (@Nullable Chunk c = a.buffered.remove((long) next);
        c != null;
        c = a.buffered.remove((long) next)) {
      if (c.offset() != next || !c.request().equals(request)) {
        throw new EbonypondException(
            ErrorCode.INVARIANT_VIOLATED,
            "chunk " + c.offset() + " would be delivered at offset " + next);
      }
      a.bufferedBytes -= size(c);
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

  /** A running attempt. */
  private static final class Attempt {
    final TreeMap<Long, Chunk> buffered = new TreeMap<>();
    // The number of chunks of the answer; Long.MAX_VALUE until its last chunk is known.
    long total;
    int bufferedBytes;
    boolean contradicted;

    Attempt(long total) {
      this.total = total;
    }
  }
}
