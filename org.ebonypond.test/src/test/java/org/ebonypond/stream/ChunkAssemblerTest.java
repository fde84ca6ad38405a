package org.ebonypond.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.junit.Seeds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ChunkAssemblerTest {
  private static final StreamResume.ResumeConditions YES =
      new StreamResume.ResumeConditions(true, true);

  private final ChunkAssembler assembler = new ChunkAssembler("r", 10);

  static LongStream seeds() {
    return Seeds.all();
  }

  private static Chunk chunk(int attempt, int offset, String data, boolean last) {
    return new Chunk("r", attempt, offset, data, last);
  }

  private ChunkResult.Kind add(int attempt, int offset, String data) {
    return assembler.add(chunk(attempt, offset, data, false)).kind();
  }

  /** Guards against an answer with missing, duplicate, reordered or foreign chunks. */
  @ParameterizedTest
  @MethodSource("seeds")
  void answerIsDeliveredCompletelyAndInOrder(long seed) {
    Random random = new Random(seed);
    int length = 5 + random.nextInt(200);
    ChunkAssembler a = new ChunkAssembler("r", 60);
    List<Chunk> delivered = new ArrayList<>();
    while (!a.isComplete()) {
      int attempt = a.startAttempt();
      List<Chunk> sent = new ArrayList<>();
      for (long i = a.resumeOffset(); i < length; i++) {
        sent.add(chunk(attempt, (int) i, "t" + i, i == length - 1));
        if (random.nextInt(4) == 0) {
          sent.add(sent.get(random.nextInt(sent.size())));
        }
        if (random.nextInt(8) == 0) {
          sent.add(new Chunk("other", attempt, i, "x", random.nextBoolean()));
          sent.add(chunk(attempt - 1, (int) i, "late", false));
        }
      }
      for (int i = 0; i + 5 < sent.size(); i++) {
        Collections.swap(sent, i, i + random.nextInt(5));
      }
      int cut = random.nextInt(3) == 0 ? random.nextInt(sent.size()) : sent.size();
      sent.subList(0, cut).forEach(c -> delivered.addAll(a.add(c).deliver()));
    }
    assertEquals(length, delivered.size());
    for (int i = 0; i < length; i++) {
      assertEquals("t" + i, delivered.get(i).data());
    }
  }

  /** Guards against unbounded memory for buffered chunks; a new attempt resumes instead. */
  @Test
  void chunksBeyondTheBufferAreDropped() {
    assembler.startAttempt();
    assertEquals(ChunkResult.Kind.BUFFERED, add(1, 1, "12345678"));
    assertEquals(ChunkResult.Kind.NO_ROOM, add(1, 2, "123"));
    assertEquals(ChunkResult.Kind.DELIVERED, add(1, 0, "a long chunk that is next"));
    assertEquals(2, assembler.resumeOffset());
    assertEquals(0, assembler.bufferedBytes());
  }

  /** Guards against a change of delivered text, and against a mix of the texts of two attempts. */
  @Test
  void inconsistentAttemptIsRejected() {
    assembler.startAttempt();
    add(1, 0, "a");
    add(1, 1, "b");
    assertEquals(ChunkResult.Kind.DUPLICATE, add(1, 1, "b"));
    assertEquals(2, assembler.startAttempt());
    assertEquals(ChunkResult.Kind.STALE, add(1, 2, "c"));
    assertEquals(ChunkResult.Kind.CONTRADICTION, add(2, 1, "x"));
    assertEquals(ChunkResult.Kind.CONTRADICTION, add(2, 2, "y"));
    assembler.startAttempt();
    assertTrue(assembler.add(chunk(3, 2, "c", true)).deliver().size() == 1);
    assertTrue(assembler.isComplete());
    assertEquals(ChunkResult.Kind.CONTRADICTION, add(3, 3, "d"));
  }

  /** Guards against a stream that waits for a stalled group, or restarts from the beginning. */
  @Test
  void stalledStreamResumesFromItsOffset() {
    StreamResume r = new StreamResume(assembler, new StreamResume.Limits(30_000, 1_000, 500, 3));
    assertEquals(List.of(new StreamAction.Dispatch(1, 0)), r.start(0));
    add(1, 0, "a");
    r.onProgress(900);
    assertEquals(List.of(), r.onTimer(YES, 1_899));
    assertEquals(
        List.of(new StreamAction.Cancel(1), new StreamAction.Dispatch(2, 1)),
        r.onTimer(YES, 1_900));
    assertEquals(List.of(), r.onFailed(1, false, YES, 1_950));
  }

  /** Guards against a delayed final answer when no further attempt is possible. */
  @Test
  void finalAnswerIsNotDelayed() {
    assertEquals(
        ErrorCode.NO_CAPACITY, failure(new StreamResume.ResumeConditions(false, true), 10).code());
    StreamAction.Fail budget = failure(new StreamResume.ResumeConditions(true, false), 10);
    assertEquals(ErrorCode.RETRY_BUDGET_EXHAUSTED, budget.code());
    assertTrue(budget.notRun());
    assertEquals(ErrorCode.DEADLINE_TOO_CLOSE, failure(YES, 29_600).code());
  }

  private static StreamAction.Fail failure(StreamResume.ResumeConditions conditions, long now) {
    ChunkAssembler a = new ChunkAssembler("r", 10);
    StreamResume r = new StreamResume(a, new StreamResume.Limits(30_000, 60_000, 500, 3));
    r.start(0);
    StreamAction.Fail fail = (StreamAction.Fail) r.onFailed(1, true, conditions, now).get(0);
    assertTrue(r.isEnded());
    return fail;
  }

  /** Guards against an answer {@code not-run} after one of the attempts may have run. */
  @Test
  void notRunIsReportedOnlyIfNoAttemptReachedGroups() {
    StreamResume r = new StreamResume(assembler, new StreamResume.Limits(30_000, 1_000, 500, 2));
    r.start(0);
    r.onFailed(1, false, YES, 10);
    StreamAction.Fail fail = (StreamAction.Fail) r.onFailed(2, true, YES, 20).get(0);
    assertFalse(fail.notRun());
  }
}
