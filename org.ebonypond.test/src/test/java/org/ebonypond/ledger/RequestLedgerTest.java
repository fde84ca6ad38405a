package org.ebonypond.ledger;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.UUID;
import org.ebonypond.ledger.LedgerResult.Kind;
import org.ebonypond.wire.MessagePackCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RequestLedgerTest {
  private static final long START = 1_790_000_000_000L;
  private static final StoredAnswer ANSWER =
      new StoredAnswer(201, List.of(new AnswerHeader("ETag", "1")), new byte[] {1, 2}, true);

  private final RequestLedger ledger = new RequestLedger(100, 1_000_000);
  private long now = START;

  private static AttemptId attempt(String entry, long number) {
    return new AttemptId(entry, 1, number);
  }

  private LedgerResult intent(String key, AttemptId attempt) {
    return ledger.execute(new LedgerCommand.RecordIntent("w", key, "d", attempt, now));
  }

  private LedgerResult outcome(String key, AttemptId attempt) {
    return ledger.execute(new LedgerCommand.RecordOutcome("w", key, attempt, ANSWER, now));
  }

  private LedgerResult notRun(String key, AttemptId attempt) {
    return ledger.execute(new LedgerCommand.RecordNotRun("w", key, "d", attempt, now));
  }

  private LedgerResult restarted(String entry, long incarnation) {
    return ledger.execute(new LedgerCommand.EntryRestarted(entry, incarnation, now));
  }

  /** Guards against a second owner, and against a different result for a repeated proposal. */
  @Test
  void oneAttemptOwnsTheRun() {
    assertEquals(Kind.RUN, intent("k", attempt("a", 1)).kind());
    assertEquals(Kind.JOIN, intent("k", attempt("b", 1)).kind());
    assertEquals(Kind.RUN, intent("k", attempt("a", 1)).kind());
    assertEquals(Kind.FENCED, outcome("k", attempt("b", 1)).kind());
    assertEquals(Kind.RECORDED, outcome("k", attempt("a", 1)).kind());
    LedgerResult done = intent("k", attempt("b", 1));
    assertEquals(Kind.DONE, done.kind());
    assertEquals(ANSWER, done.answer());
    assertEquals(Kind.CONFLICT, notRun("k", attempt("a", 1)).kind());
  }

  /** Guards against a run under a key that was first used with another body. */
  @Test
  void otherBodyIsMismatch() {
    intent("k", attempt("a", 1));
    LedgerCommand other = new LedgerCommand.RecordIntent("w", "k", "x", attempt("a", 2), now);
    assertEquals(Kind.MISMATCH, ledger.execute(other).kind());
    String digest = RequestDigest.of("POST", "/a", new byte[] {'b'});
    assertTrue(!digest.equals(RequestDigest.of("POST", "/ab", new byte[0])));
  }

  /** Guards against a run by an attempt whose intent commits after its release. */
  @Test
  void intentAfterItsReleaseIsFenced() {
    notRun("k", attempt("a", 1));
    assertEquals(Kind.FENCED, intent("k", attempt("a", 1)).kind());
    assertEquals(Kind.RUN, intent("k", attempt("b", 1)).kind());
    notRun("k", attempt("a", 1));
    assertEquals(Kind.JOIN, intent("k", attempt("c", 1)).kind());
  }

  /** Guards against calls of a restarted owner that block their keys or run again. */
  @Test
  void restartMakesOlderRunsUnknown() {
    intent("k", attempt("a", 1));
    assertEquals(Kind.RECORDED, restarted("a", 5).kind());
    assertEquals(Kind.UNKNOWN, intent("k", attempt("b", 1)).kind());
    assertEquals(Kind.FENCED, intent("k2", attempt("a", 2)).kind());
    LedgerResult old = restarted("a", 4);
    assertEquals(Kind.FENCED, old.kind());
    assertEquals(5, old.incarnation());
    assertEquals(Kind.RECORDED, outcome("k", attempt("a", 1)).kind());
    assertEquals(Kind.DONE, intent("k", attempt("b", 1)).kind());
  }

  /** Guards against a key that expires early, and against records that are kept forever. */
  @Test
  void keysAreKeptForTheRetention() {
    intent("k", attempt("a", 1));
    outcome("k", attempt("a", 1));
    now += RequestLedger.RETENTION_MILLIS;
    assertEquals(Kind.DONE, intent("k", attempt("a", 2)).kind());
    now += 3_600_000;
    intent("other", attempt("a", 3));
    assertEquals(Kind.ABSENT, ledger.lookup("w", "k").kind());
  }

  /** Guards against an entry whose wrong clock makes all keys expire. */
  @Test
  void wrongClockOfOneEntryDoesNotExpireKeys() {
    intent("k", attempt("a", 1));
    outcome("k", attempt("a", 1));
    intent("k2", attempt("b", 1));
    now += 10 * RequestLedger.RETENTION_MILLIS;
    for (int i = 0; i < 500; i++) {
      intent("k3", attempt("fast", i));
    }
    now = START;
    assertEquals(Kind.DONE, intent("k", attempt("a", 2)).kind());
  }

  /** Guards against records that block expiry because the first entry had a wrong clock. */
  @Test
  void wrongFirstClockIsCorrected() {
    now = START + 100 * RequestLedger.RETENTION_MILLIS;
    intent("k", attempt("fast", 1));
    now = START;
    intent("k2", attempt("a", 1));
    assertEquals(Kind.RUN, intent(uuidVersion7(START), attempt("b", 1)).kind());
    now += 2 * RequestLedger.RETENTION_MILLIS;
    for (int i = 0; i < 64; i++) {
      intent("k3", attempt("a", 2));
      intent("k3", attempt("b", 2));
    }
    assertEquals(Kind.ABSENT, ledger.lookup("w", "k").kind());
    assertEquals(1, ledger.size());
  }

  /** Guards against the eviction of a key within the retention time to free space. */
  @Test
  void fullLedgerRefusesNewKeys() {
    for (int i = 0; i < 100; i++) {
      assertEquals(Kind.RUN, intent("k" + i, attempt("a", i)).kind());
    }
    assertEquals(Kind.FULL, intent("new", attempt("a", 200)).kind());
    assertEquals(Kind.JOIN, intent("k0", attempt("a", 201)).kind());
    now += 2 * RequestLedger.RETENTION_MILLIS;
    for (int i = 0; i < 64; i++) {
      intent("new", attempt("a", 201));
    }
    assertEquals(1, ledger.size());
  }

  /** Guards against a second run by a late retry whose record has expired. */
  @Test
  void keyWithOldTimeIsRefused() {
    long old = START - RequestLedger.RETENTION_MILLIS - 1_000;
    intent("k", attempt("a", 1));
    assertEquals(Kind.KEY_EXPIRED, intent(uuidVersion7(old), attempt("a", 2)).kind());
    assertEquals(Kind.RUN, intent(uuidVersion7(START - 1_000), attempt("a", 3)).kind());
  }

  private static String uuidVersion7(long millis) {
    return new UUID(millis << 16 | 0x7abc, 0x8000_0000_0000_0001L).toString();
  }

  /** Guards against large answers that exceed the memory limit. */
  @Test
  void largeAnswersAreNotKept() {
    StoredAnswer large =
        new StoredAnswer(200, List.of(), new byte[StoredAnswer.MAX_BODY_BYTES + 1], true);
    intent("k", attempt("a", 1));
    ledger.execute(new LedgerCommand.RecordOutcome("w", "k", attempt("a", 1), large, now));
    StoredAnswer kept = intent("k", attempt("b", 1)).answer();
    assertEquals(large.withoutBody(), kept);
  }

  /** Guards against commands that other replicas or entries cannot read. */
  @ParameterizedTest
  @MethodSource("commands")
  void commandsRoundTrip(LedgerCommand command) {
    byte[] encoded = MessagePackCodec.encode(command);
    assertEquals(command, MessagePackCodec.decode(encoded, LedgerCommand.class));
  }

  static List<LedgerCommand> commands() {
    AttemptId a = attempt("a", 1);
    return List.of(
        new LedgerCommand.RecordIntent("w", "k", "d", a, 1),
        new LedgerCommand.RecordOutcome("w", "k", a, ANSWER, 2),
        new LedgerCommand.RecordNotRun("w", "k", "d", a, 3),
        new LedgerCommand.RecordUnknown("w", "k", a, 4),
        new LedgerCommand.EntryRestarted("a", 2, 5));
  }

  /** Guards against a restored replica that answers differently from its source. */
  @Test
  void restoredSnapshotIsEqual() {
    intent("k1", attempt("a", 1));
    intent("k2", attempt("a", 2));
    outcome("k2", attempt("a", 2));
    notRun("k3", attempt("b", 1));
    RequestLedger copy = new RequestLedger(100, 1_000_000);
    copy.restore(ledger.snapshot());
    assertArrayEquals(ledger.snapshot(), copy.snapshot());
    assertEquals(ledger.bytes(), copy.bytes());
    assertEquals(ANSWER, copy.lookup("w", "k2").answer());
    copy.execute(new LedgerCommand.EntryRestarted("a", 2, now));
    assertEquals(Kind.UNKNOWN, copy.lookup("w", "k1").kind());
  }

  /** Guards against shard numbers that differ between processes, and against uneven shards. */
  @Test
  void shardsAreStableAndEven() {
    LedgerSharding sharding = new LedgerSharding(8);
    int[] counts = new int[8];
    for (int i = 0; i < 8_000; i++) {
      counts[sharding.shardOf("surabaya", "key-" + i)]++;
    }
    for (int n : counts) {
      assertTrue(n > 850 && n < 1_150, "keys in a shard: " + n);
    }
    assertEquals(4, sharding.shardOf("surabaya", "order-1"));
  }
}
