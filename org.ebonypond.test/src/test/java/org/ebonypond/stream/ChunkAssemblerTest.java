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

  /** Guards against a mix of the texts of two attempts that run at the same time. */
  @ParameterizedTest
  @MethodSource("seeds")
  void firstAttemptThatDeliversContinuesTheAnswer(long seed) {
    Random random = new Random(seed);
    final int length = 20;
    ChunkAssembler a = new ChunkAssembler("r", 1_000);
    List<Integer> running = new ArrayList<>(List.of(a.startAttempt()));
    List<Chunk> delivered = new ArrayList<>();
    while (!a.isComplete()) {
      if (running.size() < 3 && random.nextInt(4) == 0) {
        running.add(a.addAttempt());
      }
      int attempt = running.get(random.nextInt(running.size()));
      int offset = Math.min(length - 1, (int) a.resumeOffset() + random.nextInt(3));
      ChunkResult r = a.add(chunk(attempt, offset, attempt + "/" + offset, offset == length - 1));
      if (r.kind() != ChunkResult.Kind.DELIVERED) {
        assertEquals(List.of(), r.deliver());
        continue;
      }
      for (Chunk c : r.deliver()) {
        assertEquals(delivered.size(), c.offset());
        assertEquals(attempt + "/" + c.offset(), c.data());
        delivered.add(c);
      }
      for (int other : running) {
        if (other != attempt) {
          Chunk late = chunk(other, (int) a.resumeOffset(), "late", false);
          assertEquals(ChunkResult.Kind.STALE, a.add(late).kind());
        }
      }
      running.retainAll(List.of(attempt));
    }
    assertEquals(length, delivered.size());
  }

  /** Guards against an answer that ends where an attempt that was dropped would have ended it. */
  @Test
  void endOfAnotherAttemptIsNotTheEndOfTheAnswer() {
    assembler.startAttempt();
    assembler.addAttempt();
    assembler.add(chunk(1, 1, "end", true));
    assertEquals(ChunkResult.Kind.DELIVERED, add(2, 0, "a"));
    assertEquals(ChunkResult.Kind.DELIVERED, add(2, 1, "b"));
    assertFalse(assembler.isComplete());
    assertEquals(ChunkResult.Kind.DELIVERED, assembler.add(chunk(2, 2, "c", true)).kind());
    assertTrue(assembler.isComplete());
  }

  /** Guards against memory for the chunks of an attempt that has failed beside another one. */
  @Test
  void chunksOfEndedAttemptAreDropped() {
    assembler.startAttempt();
    assembler.addAttempt();
    add(1, 1, "12345678");
    add(2, 1, "1234");
    assertEquals(12, assembler.bufferedBytes());
    assembler.dropAttempt(2);
    assertEquals(8, assembler.bufferedBytes());
    assertEquals(ChunkResult.Kind.STALE, add(2, 0, "a"));
    assertEquals(ChunkResult.Kind.DELIVERED, add(1, 0, "a"));
  }

  /** Guards against a stream that waits for a stalled group, or restarts from the beginning. */
  @Test
  void stalledStreamResumesFromItsOffset() {
    StreamResume r = stalled();
    assertEquals(List.of(), r.onTimer(YES, 1_899));
    assertEquals(List.of(new StreamAction.Dispatch(2, 1)), r.onTimer(YES, 1_900));
    add(2, 1, "b");
    assertEquals(List.of(new StreamAction.Cancel(1)), r.onProgress(2, 1_940));
    assertEquals(List.of(), r.onFailed(1, false, YES, 1_950));
    assertEquals(List.of(new StreamAction.Dispatch(3, 2)), r.onFailed(2, false, YES, 1_960));
  }

  /** Guards against two attempts that go on at the same time. */
  @Test
  void secondAttemptIsCancelledOnceTheStalledOneGoesOn() {
    StreamResume r = stalled();
    r.onTimer(YES, 1_900);
    add(1, 1, "b");
    assertEquals(List.of(new StreamAction.Cancel(2)), r.onProgress(1, 1_940));
    assertEquals(List.of(), r.onFailed(2, false, YES, 1_950));
  }

  /** Guards against a stream that ends although its stalled attempt may still go on. */
  @Test
  void stalledAttemptGoesOnWhileNoOtherGroupAcceptsTheRequest() {
    StreamResume r = stalled();
    assertEquals(List.of(), r.onTimer(new StreamResume.ResumeConditions(false, true), 1_900));
    assertEquals(List.of(), r.onTimer(new StreamResume.ResumeConditions(true, false), 2_900));
    assertTrue(r.wantsAnother(3_900));
    r.onAsked();
    assertFalse(r.wantsAnother(20_000));
    r.onRefused(20_000);
    assertFalse(r.wantsAnother(20_999));
    assertTrue(r.wantsAnother(21_000));
    r.onAsked();
    assertEquals(List.of(new StreamAction.Dispatch(2, 1)), r.onAccepted(21_010));
    assertEquals(List.of(), r.onFailed(2, true, YES, 21_020));
    assertFalse(r.isEnded());
    add(1, 1, "b");
    assertEquals(List.of(), r.onProgress(1, 21_030));
  }

  /** Guards against attempts beyond the limits, and against an end before the deadline. */
  @Test
  void stalledStreamEndsAtItsDeadlineAfterTheLastAttempt() {
    StreamResume r = stalled();
    assertEquals(List.of(new StreamAction.Dispatch(2, 1)), r.onTimer(YES, 1_900));
    assertEquals(List.of(new StreamAction.Dispatch(3, 1)), r.onTimer(YES, 2_900));
    assertEquals(List.of(), r.onTimer(YES, 3_900));
    assertEquals(List.of(), r.onTimer(YES, 29_999));
    assertEquals(30_000, r.nextWakeMillis());
    List<StreamAction> actions = r.onTimer(YES, 30_000);
    assertEquals(
        List.of(new StreamAction.Cancel(1), new StreamAction.Cancel(2), new StreamAction.Cancel(3)),
        actions.subList(0, 3));
    StreamAction.Fail fail = (StreamAction.Fail) actions.get(3);
    assertEquals(ErrorCode.DEADLINE_TOO_CLOSE, fail.code());
    assertFalse(fail.notRun());
    assertEquals(4, actions.size());
  }

  /** Guards against another attempt that the deadline leaves no time for. */
  @Test
  void noGroupIsAskedShortlyBeforeTheDeadline() {
    StreamResume r = stalled();
    assertTrue(r.wantsAnother(29_500));
    assertFalse(r.wantsAnother(29_501));
    assertEquals(List.of(), r.onTimer(YES, 29_501));
    assertFalse(r.isEnded());
  }

  private StreamResume stalled() {
    StreamResume r = new StreamResume(assembler, new StreamResume.Limits(30_000, 1_000, 500, 3));
    assertEquals(List.of(new StreamAction.Dispatch(1, 0)), r.start(0));
    add(1, 0, "a");
    assertEquals(List.of(), r.onProgress(1, 900));
    return r;
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
