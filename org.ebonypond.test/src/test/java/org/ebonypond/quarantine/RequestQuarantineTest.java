package org.ebonypond.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.ebonypond.junit.Seeds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which requests one entry blocks; several entries are in QuarantineGossipTest. */
class RequestQuarantineTest {
  private static final long SHARED = 1;
  private static final long POISON_PART = 0xBAD;
  private static final RequestTraits HARMFUL = new RequestTraits(0xDEAD, List.of(SHARED));
  private static final RequestTraits SECOND = new RequestTraits(0xDEAD2, List.of(SHARED));

  /** The crashes until a request must be blocked: the third, and three more later. */
  private static final int TOLERATED_CRASHES = SuspicionTable.MIN_CRASHES + 3;

  private final Recorder recorder = new Recorder();
  private final PartQuarantine quarantine = new PartQuarantine(recorder);
  private int crashes;
  private long requests = 1_000_000;
  private long now = 1_000;

  static LongStream seeds() {
    return Seeds.all();
  }

  /** Counts the decisions. */
  private static final class Recorder implements QuarantineListener {
    int decisions;

    @Override
    public void blocked(Set<Long> parts, int crashes, long begun) {
      decisions++;
    }

    @Override
    public void unblocked(Set<Long> parts) {}
  }

  /** Returns a request that is never repeated. */
  private RequestTraits request(Long... parts) {
    return new RequestTraits(requests++, List.of(parts));
  }

  private void crash(List<RequestTraits> ended) {
    crashes++;
    ended.forEach(r -> quarantine.crashed("i-" + crashes, crashes, r, now));
  }

  /** Ends an instance by a request, with others beside it. */
  private void crashBeside(int others, RequestTraits... harmful) {
    List<RequestTraits> ended = new ArrayList<>(List.of(harmful));
    for (int i = 0; i < others; i++) {
      ended.add(request(SHARED));
    }
    crash(ended);
  }

  private void answer(int count, Long... parts) {
    for (int i = 0; i < count; i++) {
      quarantine.began(request(parts), now);
    }
  }

  private boolean isBlocked(RequestTraits r) {
    return quarantine.quarantined(r, now) != null;
  }

  /** Guards against a suspicion that is forgotten between two requests. */
  @ParameterizedTest
  @ValueSource(longs = {200, 1_000, 10_000, 60_000, 300_000})
  void requestThatComesRarelyIsBlocked(long pauseMillis) {
    for (int i = 0; i < TOLERATED_CRASHES && !isBlocked(HARMFUL); i++) {
      answer(100, SHARED);
      crashBeside(5, HARMFUL);
      // Other instances end for reasons of their own.
      for (int other = 0; other < 10; other++) {
        now += pauseMillis / 10;
        crashBeside(10);
      }
      answer(100, SHARED);
    }
    assertTrue(isBlocked(HARMFUL));
    assertFalse(isBlocked(request(SHARED)), "another request with the same part");
  }

  /** Guards against a request that is taken for a victim because many others are ended with it. */
  @Test
  void requestIsBlockedWhereMostRequestsAreEnded() {
    for (int i = 0; i < PartQuarantine.CERTAIN_CRASHES; i++) {
      answer(2);
      crashBeside(20, HARMFUL);
      now += 3_000;
    }
    assertTrue(PartQuarantine.CERTAIN_CRASHES < TOLERATED_CRASHES);
    assertTrue(isBlocked(HARMFUL));
  }

  /** Guards against one harmful request that hides another one. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void requestsThatComeTogetherAreBothBlocked(int headStart) {
    answer(100, SHARED);
    for (int i = 0; i < headStart; i++) {
      crashBeside(3, HARMFUL);
      now += 10_000;
      answer(100, SHARED);
    }
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      crashBeside(3, HARMFUL, SECOND);
      now += 10_000;
      answer(100, SHARED);
    }
    assertTrue(isBlocked(HARMFUL));
    assertTrue(isBlocked(SECOND));
    assertFalse(isBlocked(request(SHARED)));
  }

  /** Guards against answers of calmer times that acquit a request. */
  @Test
  void requestThatWasAnsweredBeforeIsBlocked() {
    for (int i = 0; i < 200; i++) {
      quarantine.began(HARMFUL, now);
    }
    answer(500, SHARED);
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      crashBeside(3, HARMFUL);
      now += 1_000;
    }
    assertTrue(isBlocked(HARMFUL));
  }

  /**
   * Guards against sound requests that are refused because they share a part with a harmful one.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3})
  void partOfHarmfulRequestIsNotBlocked(int answersPerCrash) {
    answer(100);
    for (int i = 0; i < 2 * SuspicionTable.MIN_CRASHES; i++) {
      crashBeside(0, HARMFUL);
      answer(answersPerCrash, SHARED);
      now += 500;
      assertFalse(isBlocked(request(SHARED)), "after " + crashes + " crashes");
    }
    assertTrue(isBlocked(HARMFUL));
    assertFalse(quarantine.isSuspected(request(SHARED), now));
  }

  /** Guards against requests with a harmful part that are each taken for a cause of their own. */
  @Test
  void harmfulPartIsFoundAmongRequestsThatComeAgain() {
    answer(100, SHARED);
    int sent = 0;
    for (int i = 0; i < 10; i++) {
      RequestTraits r = request(SHARED, POISON_PART);
      for (int attempt = 0; attempt < 4 && !isBlocked(r); attempt++) {
        sent++;
        crash(List.of(r));
        now += 500;
        answer(20, SHARED);
      }
    }
    assertTrue(sent <= 8, sent + " crashes");
    assertTrue(isBlocked(request(SHARED, POISON_PART)));
    assertFalse(isBlocked(request(SHARED)));
  }

  /** Guards against the refusal of a request that was at crashed instances by chance. */
  @Test
  void requestBesideCrashesIsServed() {
    RequestTraits beside = new RequestTraits(7, List.of(SHARED));
    answer(100, SHARED);
    crashBeside(3, HARMFUL, beside);
    now += 1_000;
    assertFalse(isBlocked(beside));
    assertFalse(quarantine.isSuspected(beside, now), "after one crash");
    crashBeside(3, HARMFUL, beside);
    now += 1_000;
    assertFalse(isBlocked(beside), "after two crashes");
    for (int i = 0; i < 20; i++) {
      quarantine.began(beside, now);
      crashBeside(3, beside);
      quarantine.began(beside, now);
      quarantine.began(beside, now);
      quarantine.began(beside, now);
      now += 1_000;
      assertFalse(isBlocked(beside), "answered, after " + crashes + " crashes");
    }
  }

  /** Guards against blame for ordinary crashes, for requests that are popular or sent again. */
  @ParameterizedTest
  @MethodSource("seeds")
  void ordinaryCrashesBlockNoRequest(long seed) {
    Random random = new Random(seed);
    List<RequestTraits> again = new ArrayList<>();
    for (int step = 0; step < 5_000; step++) {
      now += 20;
      long popular = 1 + Math.min(random.nextInt(200), random.nextInt(200));
      RequestTraits r =
          random.nextBoolean() ? new RequestTraits(popular, List.of(SHARED)) : request(SHARED);
      if (!again.isEmpty() && random.nextInt(4) == 0) {
        r = again.remove(0);
      }
      assertNull(quarantine.quarantined(r, now));
      if (random.nextInt(20) == 0) {
        crash(List.of(r));
        again.add(r);
      } else {
        quarantine.began(r, now);
      }
    }
    assertEquals(0, recorder.decisions);
  }

  /** Guards against a block that ends once the log returns it to replicas that know its crashes. */
  @ParameterizedTest
  @MethodSource("seeds")
  void blockOutlastsItsReturnFromTheLog(long seed) {
    // The log sorts crashes by identifiers, which do not follow their times.
    crashes = (int) seed * SuspicionTable.MIN_CRASHES;
    answer(500, SHARED);
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      now += SuspicionTable.SIMULTANEOUS_MILLIS + 50;
      crashBeside(0, HARMFUL);
    }
    for (int i = 0; i < PartQuarantine.CONSULTED_REPORTS; i++) {
      quarantine.merge(List.of(), now);
    }
    now += SuspicionTable.SIMULTANEOUS_MILLIS / 2;
    assertTrue(isBlocked(HARMFUL));
    SuspicionTable replica = new SuspicionTable();
    replica.merge("entry", quarantine.report(now), now);
    replica.restore(replica.blockedParts(now), now);
    quarantine.merge(replica.report(r -> true, now), now);
    assertTrue(isBlocked(HARMFUL));
  }

  /** Guards against a restored block that ends because a replica already knows a new crash. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void blockIsRestoredBesideKnownCrash(int known) {
    List<Long> kept = List.of(1L, 2L, 3L);
    PartSuspicion.Crash crash = new PartSuspicion.Crash(kept.get(known), 100, 0.5);
    SuspicionTable replica = new SuspicionTable();
    replica.merge(
        "entry",
        List.of(new PartSuspicion(HARMFUL.request(), 0, List.of(crash), 0, false, true)),
        now);
    replica.restore(List.of(new BlockedPart(HARMFUL.request(), true, kept)), now);
    quarantine.merge(replica.report(r -> true, now), now);
    assertTrue(isBlocked(HARMFUL));
  }

  /** Guards against a block that ends while the request comes, and one that never ends. */
  @Test
  void blockLastsAsLongAsTheRequestComes() {
    answer(100, SHARED);
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      crashBeside(3, HARMFUL);
      now += 1_000;
    }
    for (int i = 0; i < 20; i++) {
      assertTrue(isBlocked(HARMFUL));
      now += SuspicionTable.EXPIRY_MILLIS - 1;
    }
    now += 2;
    assertFalse(isBlocked(HARMFUL));
  }

  /** Guards against a new series of crashes after all processes stopped at the same time. */
  @Test
  void blockedRequestsAreRestoredFromTheLog() {
    answer(100, SHARED);
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      crashBeside(0, HARMFUL, SECOND);
      now += 1_000;
    }
    assertTrue(isBlocked(HARMFUL));
    SuspicionTable replica = new SuspicionTable();
    replica.merge("entry", quarantine.report(now), now);
    List<String> kept = replica.blockedParts(now).stream().map(BlockedPart::encode).toList();

    now += 60_000;
    SuspicionTable restarted = new SuspicionTable();
    restarted.restore(kept.stream().map(BlockedPart::decode).toList(), now);
    PartQuarantine entry = new PartQuarantine(new Recorder());
    entry.merge(restarted.report(r -> true, now), now);
    assertNotNull(entry.quarantined(HARMFUL, now));
    assertNotNull(entry.quarantined(SECOND, now));
    assertNull(entry.quarantined(request(SHARED), now));
  }

  /** Guards against memory that grows with the number of requests, and evidence that is lost. */
  @Test
  void memoryIsBoundedForThousandsOfEndedRequests() {
    answer(5_000, SHARED);
    crashBeside(3, HARMFUL);
    for (int i = 0; i < 20; i++) {
      now += 1_000;
      crashBeside(10);
    }
    crashBeside(3, HARMFUL);
    for (int i = 0; i < 100; i++) {
      now += 1_000;
      answer(200, SHARED);
      crashBeside(100);
    }
    for (int i = 2; i < TOLERATED_CRASHES && !isBlocked(HARMFUL); i++) {
      crashBeside(3, HARMFUL);
      now += PartQuarantine.CONSULT_MILLIS;
    }
    assertTrue(isBlocked(HARMFUL));
    assertTrue(
        quarantine.report(now).size() <= SuspicionTable.MAX_REPORTED + SuspicionTable.MAX_RECENT);
  }
}
