package org.ebonypond.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.junit.Seeds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which prompt parts one entry blocks; several entries are in QuarantineGossipTest. */
class PartQuarantineTest {
  private static final long SHARED = 1;
  private static final long POISON = 0xBAD;
  private static final long SECOND_POISON = 0xBAD2;
  private static final long FIRST_SUBJECT = 100;

  private final Recorder recorder = new Recorder();
  private final PartQuarantine quarantine = new PartQuarantine(recorder);
  private int crashes;
  private long now = 1_000;

  static LongStream seeds() {
    return Seeds.all();
  }

  /** Records the decisions. */
  private static final class Recorder implements QuarantineListener {
    final Set<Set<Long>> blocked = new HashSet<>();
    int decisions;

    @Override
    public void blocked(Set<Long> parts, int crashes, long begun) {
      decisions++;
      blocked.add(parts);
    }

    @Override
    public void unblocked(Set<Long> parts) {
      blocked.remove(parts);
    }
  }

  /** Ends an instance that had not begun to write answers to these requests. */
  @SafeVarargs
  private void crash(List<Long>... requests) {
    crashes++;
    for (List<Long> parts : requests) {
      quarantine.crashed("i-" + crashes, crashes, RequestTraits.ofParts(parts), now);
    }
  }

  private boolean isBlocked(Long... parts) {
    return quarantine.quarantined(RequestTraits.ofParts(List.of(parts)), now) != null;
  }

  private void answer(int count, Long... parts) {
    for (int i = 0; i < count; i++) {
      quarantine.began(RequestTraits.ofParts(List.of(parts)), now);
    }
  }

  /** Crashes instances by requests with a part, half a second apart. */
  private void crashSeries(int count, long poison) {
    for (int i = 0; i < count; i++) {
      now += 500;
      crash(List.of(SHARED, poison), List.of(SHARED, FIRST_SUBJECT + crashes));
      answer(50, SHARED);
    }
  }

  /** Guards against requests that end one instance after the other without an end. */
  @Test
  void partThatRecursInCrashesIsBlocked() {
    answer(20, SHARED);
    crashSeries(SuspicionTable.MIN_CRASHES, POISON);
    assertTrue(isBlocked(SHARED, POISON));
    assertFalse(isBlocked(SHARED));
    assertFalse(isBlocked(SHARED, FIRST_SUBJECT));
    assertEquals(Set.of(Set.of(POISON)), recorder.blocked);
  }

  /**
   * Guards against blame for crashes while many instances crashed, once they have stopped: by this
   * entry, and by one that was not there and knows only the reports.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void crashesOfTroubledTimesAreNotJudgedByCalmOnes(long seed) {
    Random random = new Random(seed);
    for (int step = 0; step < 1_000; step++) {
      now += 20;
      long subject = 1_000 + random.nextInt(300);
      if (random.nextInt(8) == 0) {
        crash(List.of(SHARED, subject));
      } else {
        answer(1, SHARED, subject);
      }
    }
    for (int i = 0; i < 120; i++) {
      now += 1_000;
      answer(50, SHARED);
      isBlocked(SHARED);
    }
    assertEquals(0, recorder.decisions);
    Recorder restarted = new Recorder();
    PartQuarantine late = new PartQuarantine(restarted);
    late.merge(quarantine.report(now), now);
    late.quarantined(RequestTraits.ofParts(List.of(SHARED)), now + PartQuarantine.CONSULT_MILLIS);
    assertEquals(0, restarted.decisions);
  }

  /** Guards against the blame of a popular part that every request of the crashed instances has. */
  @Test
  void popularPartThatIsInEveryCrashIsNotBlocked() {
    answer(3_000, SHARED);
    crashSeries(SuspicionTable.MAX_CRASHES + 4, POISON);
    assertFalse(isBlocked(SHARED));
    assertFalse(quarantine.isSuspected(RequestTraits.ofParts(List.of(SHARED)), now));
  }

  /** Guards against blocking sound requests that share all other parts with the harmful ones. */
  @Test
  void rarePartThatAccompaniesTheCauseIsAcquittedByItsSoundRequests() {
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      now += 500;
      crash(List.of(SHARED, POISON));
    }
    assertTrue(isBlocked(SHARED, POISON));
    assertFalse(isBlocked(SHARED), "the shared part was never seen without the other one");
    answer(1, SHARED);
    assertTrue(isBlocked(POISON));
    assertEquals(Set.of(Set.of(POISON)), recorder.blocked);
  }

  /** Guards against a group of parts that only the harmless half of the requests has in common. */
  @Test
  void causeInGroupIsFoundByTheNextRequestWithoutTheOthers() {
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      now += 500;
      crash(List.of(SHARED, POISON));
    }
    assertFalse(isBlocked(POISON));
    now += 500;
    crash(List.of(POISON));
    assertTrue(isBlocked(POISON));
    assertFalse(isBlocked(SHARED));
  }

  /** Guards against blame for ordinary crashes, which have no part in common. */
  @ParameterizedTest
  @MethodSource("seeds")
  void ordinaryCrashesBlockNothing(long seed) {
    Random random = new Random(seed);
    long[] subjects = random.longs(200, 1_000, 2_000).toArray();
    for (int step = 0; step < 3_000; step++) {
      now += 20;
      long subject = subjects[Math.min(random.nextInt(200), random.nextInt(200))];
      answer(1, SHARED, subject);
      if (step % 50 == 0) {
        for (int i = 0; i < 4; i++) {
          crash(List.of(SHARED, subjects[Math.min(random.nextInt(200), random.nextInt(200))]));
        }
      }
    }
    isBlocked(SHARED);
    assertEquals(0, recorder.decisions);
  }

  /**
   * Guards against a part that is not blocked because its requests are so many that they end
   * several instances at the same time, with many others beside them.
   */
  @Test
  void frequentRequestsThatEndManyInstancesAtOnceAreBlocked() {
    answer(100, SHARED);
    for (int i = 0; i < 6; i++) {
      now += 250;
      answer(20, SHARED);
      for (int n = 0; n < 4; n++) {
        long bystander = 5_000 + 10 * i + n;
        crash(List.of(SHARED, POISON), List.of(SHARED, bystander), List.of(SHARED, bystander + 5));
      }
    }
    now += PartQuarantine.CONSULT_MILLIS;
    assertTrue(isBlocked(SHARED, POISON));
    assertFalse(isBlocked(SHARED));
  }

  /**
   * Guards against blame for a rare part that the harmful requests have in common with a few sound
   * ones. It may be in more crashes than the cause, because this entry learns later from others
   * which request ended the instance.
   */
  @Test
  void rarePartOfSoundRequestsIsNotTakenForTheCause() {
    long rare = FIRST_SUBJECT;
    PartQuarantine other = new PartQuarantine(new Recorder());
    answer(100, SHARED);
    answer(2, rare);
    for (int i = 0; i < 2 * SuspicionTable.MAX_CRASHES; i++) {
      now += 220;
      answer(20, SHARED);
      crash(List.of(rare));
      other.crashed("i-" + crashes, crashes, RequestTraits.ofParts(List.of(rare, POISON)), now);
      if (i % 3 == 2) {
        quarantine.merge(other.report(now), now);
      }
      assertFalse(isBlocked(rare), "after " + crashes + " crashes");
    }
    assertTrue(isBlocked(rare, POISON));
  }

  /** Guards against blame for the loss of a zone, which ends many instances at the same time. */
  @Test
  void instancesThatAreLostTogetherBlockNothing() {
    for (int i = 0; i < 16; i++) {
      now += 10;
      crash(List.of(SHARED, FIRST_SUBJECT));
    }
    now += 5_000;
    assertFalse(isBlocked(SHARED, FIRST_SUBJECT));
    assertFalse(quarantine.isSuspected(RequestTraits.ofParts(List.of(SHARED, FIRST_SUBJECT)), now));
  }

  /** Guards against one harmful part that hides another one. */
  @Test
  void twoHarmfulPartsAreBothBlocked() {
    answer(20, SHARED);
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      crashSeries(1, POISON);
      crashSeries(1, SECOND_POISON);
    }
    assertTrue(isBlocked(SHARED, POISON));
    assertTrue(isBlocked(SHARED, SECOND_POISON));
    assertFalse(isBlocked(SHARED));
  }

  /** Guards against a part that is taken for harmless because some instances can answer it. */
  @Test
  void partThatCrashesOnlySomeInstancesIsBlocked() {
    answer(20, SHARED);
    for (int i = 0; i < 4; i++) {
      crashSeries(1, POISON);
      answer(2, SHARED, POISON);
    }
    now += PartQuarantine.CONSULT_MILLIS;
    assertTrue(isBlocked(SHARED, POISON));
    assertFalse(isBlocked(SHARED));
  }

  /**
   * Guards against innocent requests that are refused because many of them were at the crashed
   * instances: the crashes are explained by the harmful part.
   */
  @Test
  void crashesThatTheCauseExplainsDoNotCountAgainstOthers() {
    for (int i = 0; i < 6; i++) {
      now += 500;
      if (i % 2 == 0) {
        crash(List.of(SHARED, POISON), List.of(FIRST_SUBJECT));
      } else {
        crash(List.of(SHARED, POISON));
      }
      answer(20, SHARED);
    }
    assertTrue(isBlocked(SHARED, POISON));
    assertFalse(isBlocked(FIRST_SUBJECT));
    assertFalse(quarantine.isSuspected(RequestTraits.ofParts(List.of(FIRST_SUBJECT)), now));
  }

  /** Guards against a request that is sent on after it has probably ended two instances. */
  @Test
  void suspectedRequestIsNotSentAgain() {
    now += 500;
    crash(List.of(SHARED, POISON));
    assertFalse(quarantine.isSuspected(RequestTraits.ofParts(List.of(POISON)), now));
    now += 500;
    crash(List.of(SHARED, POISON));
    assertTrue(quarantine.isSuspected(RequestTraits.ofParts(List.of(POISON)), now));
    assertFalse(isBlocked(POISON));
  }

  /**
   * Guards against a verdict without the answers that other entries know, and against one that is
   * never given because no further crash follows.
   */
  @Test
  void partIsBlockedOnlyAfterOtherEntriesCouldReport() {
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      now += SuspicionTable.SIMULTANEOUS_MILLIS;
      crash(List.of(POISON));
    }
    assertFalse(isBlocked(POISON));
    now += PartQuarantine.CONSULT_MILLIS;
    assertTrue(isBlocked(POISON));
  }

  /** Guards against a block that ends while requests with the part still come. */
  @Test
  void blockLastsWhileRequestsWithThePartCome() {
    crashSeries(SuspicionTable.MIN_CRASHES, POISON);
    now += PartQuarantine.CONSULT_MILLIS;
    for (int i = 0; i < 20; i++) {
      assertTrue(isBlocked(POISON));
      now += SuspicionTable.EXPIRY_MILLIS - 1;
    }
    assertEquals(1, recorder.decisions);
  }

  /**
   * Guards against a block that never ends. It ends without any request that tries whether the part
   * still crashes instances.
   */
  @Test
  void blockEndsAfterRequestsWithThePartHaveStopped() {
    crashSeries(SuspicionTable.MIN_CRASHES, POISON);
    now += PartQuarantine.CONSULT_MILLIS;
    assertTrue(isBlocked(POISON));
    now += SuspicionTable.EXPIRY_MILLIS + 1;
    assertFalse(isBlocked(POISON));
    assertTrue(recorder.blocked.isEmpty());
    assertTrue(quarantine.report(now).isEmpty());
  }

  /**
   * Guards against reports that grow and never shrink again: popular parts are at many crashed
   * instances, and requests with them never stop.
   */
  @Test
  void answeredPartsLeaveTheReports() {
    crashSeries(SuspicionTable.MIN_CRASHES, POISON);
    now += PartQuarantine.CONSULT_MILLIS;
    assertTrue(isBlocked(POISON));
    for (int i = 0; i < 100; i++) {
      now += 1_000;
      answer(20, SHARED);
      assertFalse(isBlocked(SHARED));
    }
    assertFalse(
        quarantine.report(now).stream().anyMatch(s -> s.part() == SHARED),
        "still reported although it is answered");
    assertTrue(isBlocked(POISON));
  }

  /** Guards against memory that grows with the number of distinct parts. */
  @Test
  void memoryIsBoundedForThousandsOfDistinctParts() {
    RecentParts recent = new RecentParts();
    long part = 1_000_000;
    for (int second = 0; second < 30; second++) {
      for (int i = 0; i < 5_000; i++) {
        recent.add(List.of(SHARED, part), now);
        answer(1, SHARED, part++);
        if (i % 1_000 == 0) {
          crash(List.of(SHARED, part));
        }
      }
      now += 1_000;
      assertTrue(recent.size() <= 2 * RecentParts.MAX_PARTS);
    }
    assertTrue(recent.count(SHARED, now) > RecentParts.MAX_PARTS / 2);
    assertTrue(quarantine.report(now).size() <= SuspicionTable.MAX_REPORTED);
    // The part that recurs is found among the many that do not.
    crashSeries(SuspicionTable.MIN_CRASHES, POISON);
    now += PartQuarantine.CONSULT_MILLIS;
    assertTrue(isBlocked(SHARED, POISON));
    assertNotNull(quarantine.quarantined(RequestTraits.ofParts(List.of(POISON)), now));
  }

  /**
   * Guards against a block that comes and goes, or that some entries do not share, because more
   * requests without the part are ended there.
   */
  @Test
  void blockLastsWhenOtherRequestsAreEndedMoreOften() {
    crashSeries(SuspicionTable.MIN_CRASHES, POISON);
    now += PartQuarantine.CONSULT_MILLIS;
    assertTrue(isBlocked(POISON));
    PartQuarantine unlucky = new PartQuarantine(new Recorder());
    for (int i = 0; i < 100; i++) {
      RequestTraits other = RequestTraits.ofParts(List.of(FIRST_SUBJECT + 1_000 + i));
      quarantine.crashed("i-unlucky", 1, other, now);
      unlucky.crashed("i-unlucky", 1, other, now);
    }
    assertTrue(isBlocked(POISON));
    unlucky.merge(quarantine.report(now), now);
    assertNotNull(unlucky.quarantined(RequestTraits.ofParts(List.of(POISON)), now));
    assertEquals(1, recorder.decisions);
  }

  /** Guards against crashes that go on while the verdict waits longer than the entries need. */
  @Test
  void partIsBlockedEarlierOnceTheOtherEntriesHaveReported() {
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      crash(List.of(POISON));
      now += SuspicionTable.SIMULTANEOUS_MILLIS;
    }
    assertFalse(isBlocked(POISON));
    for (int i = 0; i < PartQuarantine.CONSULTED_REPORTS; i++) {
      quarantine.merge(List.of(), now);
    }
    assertTrue(isBlocked(POISON));
  }

  /** Guards against a new series of crashes after all processes stopped at the same time. */
  @Test
  void blockedPartsAreRestoredFromTheLog() {
    answer(200, FIRST_SUBJECT);
    for (int i = 0; i < SuspicionTable.MIN_CRASHES; i++) {
      now += 500;
      crash(List.of(SHARED, POISON));
    }
    crashSeries(SuspicionTable.MIN_CRASHES, SECOND_POISON);
    now += PartQuarantine.CONSULT_MILLIS;
    assertTrue(isBlocked(SHARED, POISON));
    SuspicionTable replica = new SuspicionTable();
    replica.merge("entry", quarantine.report(now), now);
    List<String> kept = replica.blockedParts(now).stream().map(BlockedPart::encode).toList();

    now += 60_000;
    SuspicionTable restarted = new SuspicionTable();
    restarted.restore(kept.stream().map(BlockedPart::decode).toList(), now);
    assertEquals(kept, restarted.blockedParts(now).stream().map(BlockedPart::encode).toList());
    PartQuarantine entry = new PartQuarantine(new Recorder());
    entry.merge(restarted.report(r -> true, now), now + 5);
    assertNotNull(entry.quarantined(RequestTraits.ofParts(List.of(SHARED, POISON)), now + 5));
    assertNotNull(entry.quarantined(RequestTraits.ofParts(List.of(SECOND_POISON)), now + 5));
    assertNull(entry.quarantined(RequestTraits.ofParts(List.of(SHARED)), now + 5));
  }

  /** Guards against a replica that fails on a malformed record of its log. */
  @ParameterizedTest
  @ValueSource(strings = {"", "1", "x:1", "1:", ":1", "1:12345678901234567"})
  void malformedBlockedPartIsRejected(String text) {
    assertThrows(EbonypondException.class, () -> BlockedPart.decode(text));
  }

  /** Guards against evidence that counts twice because it comes back from other processes. */
  @Test
  void evidenceThatReturnsDoesNotCountTwice() {
    crash(List.of(POISON));
    now += 500;
    crash(List.of(POISON));
    for (int i = 0; i < 10; i++) {
      now += 500;
      quarantine.merge(quarantine.report(now), now);
    }
    assertFalse(isBlocked(POISON));
    assertNull(quarantine.quarantined(RequestTraits.ofParts(List.of()), now));
  }

  /** Guards against suspicions that never expire because they circulate between processes. */
  @Test
  void circulatingEvidenceExpires() {
    PartQuarantine other = new PartQuarantine(new Recorder());
    crashSeries(SuspicionTable.MIN_CRASHES, POISON);
    long end = now + SuspicionTable.EXPIRY_MILLIS + 10_000;
    while (now < end) {
      List<PartSuspicion> report = quarantine.report(now);
      now += 150;
      other.merge(report, now);
      report = other.report(now);
      now += 150;
      quarantine.merge(report, now);
    }
    assertTrue(quarantine.report(now).isEmpty());
    assertTrue(other.report(now).isEmpty());
  }
}
