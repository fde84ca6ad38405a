package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.ebonypond.quarantine.PartQuarantine;
import org.ebonypond.quarantine.RequestTraits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that entries learn of each other's crashes and answers, over a simulated network. No entry
 * sees enough by itself.
 */
class QuarantineGossipTest {
  private static final long SHARED = 1;
  private static final long POISON = 0xBAD;
  private static final RequestTraits HARMFUL = RequestTraits.ofParts(List.of(SHARED, POISON));

  private static final RequestTraits REPEATED = new RequestTraits(0xDEAD, List.of(SHARED));

  /** The crashes of a request until it must be blocked: the third, and three more later. */
  private static final int MAX_REQUEST_CRASHES = 6;

  /** The time within which all processes in touch must act on new facts. */
  private static final long CONTACT_MILLIS = 3_000;

  private long nextRequest = 1L << 32;
  private int crashes;

  private static PollNetwork network(int entries) {
    PollNetwork net = new PollNetwork(3, entries, 10);
    net.timers.advance(5_000);
    return net;
  }

  /** Crashes an instance by a request at each of some entries, half a second apart. */
  private static void crash(PollNetwork net, int... entries) {
    for (int e : entries) {
      net.entries.get(e).quarantine.crashed("i-" + e, 1, HARMFUL, net.timers.nowMillis());
      net.timers.advance(500);
    }
  }

  private static long blocking(PollNetwork net, RequestTraits request) {
    long now = net.timers.nowMillis();
    return net.entries.stream().filter(e -> e.quarantine.quarantined(request, now) != null).count();
  }

  /** Guards against entries that let harmful requests pass because they saw too few crashes. */
  @ParameterizedTest
  @ValueSource(ints = {9, 77})
  void crashesAtDifferentEntriesBlockThePartAtAll(int entries) {
    PollNetwork net = network(entries);
    net.entries
        .get(5)
        .quarantine
        .began(RequestTraits.ofParts(List.of(SHARED)), net.timers.nowMillis());
    crash(net, 0, 1, 2);
    net.timers.advance(CONTACT_MILLIS);
    assertEquals(entries, blocking(net, HARMFUL));
    assertEquals(0, blocking(net, RequestTraits.ofParts(List.of(SHARED))));
  }

  /** Guards against a part that is blamed although other entries get answers to it. */
  @Test
  void answersAtOtherEntriesAcquitPart() {
    PollNetwork net = network(9);
    for (int i = 0; i < 20; i++) {
      net.entries.get(3 + i % 6).quarantine.began(HARMFUL, net.timers.nowMillis());
    }
    crash(net, 0, 1, 2);
    net.timers.advance(CONTACT_MILLIS);
    assertEquals(0, blocking(net, HARMFUL));
  }

  /** Guards against a new series of crashes after the entries that knew were restarted. */
  @Test
  void partStaysBlockedWhenTheEntriesThatKnewAreRestarted() {
    PollNetwork net = network(9);
    crash(net, 0, 1, 2);
    for (int e : new int[] {0, 1, 2}) {
      net.entries.get(e).restart();
    }
    net.timers.advance(CONTACT_MILLIS);
    assertEquals(9, blocking(net, HARMFUL));
  }

  /** Guards against a new series of crashes after all control replicas were restarted. */
  @Test
  void partStaysBlockedWhenTheReplicasAreRestarted() {
    PollNetwork net = network(9);
    crash(net, 0, 1, 2);
    net.timers.advance(CONTACT_MILLIS);
    net.replicas.keySet().forEach(net::restart);
    net.timers.advance(CONTACT_MILLIS);
    net.entries.get(7).restart();
    net.timers.advance(CONTACT_MILLIS);
    assertEquals(9, blocking(net, HARMFUL));
  }

  /** Guards against evidence that takes the bandwidth of the control traffic of an entry. */
  @Test
  void evidenceOfManyCrashesStaysWithinTheControlTraffic() {
    PollNetwork net = network(9);
    for (int i = 0; i < 200; i++) {
      long now = net.timers.nowMillis();
      for (int part = 0; part < 40; part++) {
        RequestTraits request = RequestTraits.ofParts(List.of(1_000L + part));
        net.entries.get(i % 9).quarantine.crashed("i-" + i, 1, request, now);
      }
      net.timers.advance(50);
    }
    long before = net.entries.get(0).bytes();
    net.timers.advance(10_000);
    long perSecond = (net.entries.get(0).bytes() - before) / 10;
    assertTrue(perSecond <= 27_000, perSecond + " bytes a second");
  }

  /** Guards against a request whose crashes no two entries see, among those of many others. */
  @ParameterizedTest
  @ValueSource(ints = {9, 77})
  void rareRequestIsBlockedAtAllEntries(int entries) {
    PollNetwork net = network(entries);
    for (int i = 0; i < MAX_REQUEST_CRASHES; i++) {
      int e = (7 * i) % entries;
      if (net.entries.get(e).quarantine.quarantined(REPEATED, net.timers.nowMillis()) == null) {
        crashBeside(net, e, REPEATED, 5);
      }
      for (int second = 0; second < 10; second++) {
        crashBeside(net, (e + 1 + second) % entries, REPEATED.parts(), 8);
        net.timers.advance(1_000);
      }
    }
    assertEquals(entries, blocking(net, REPEATED));
    assertEquals(0, blocking(net, new RequestTraits(nextRequest++, REPEATED.parts())));
  }

  /** Guards against a request that comes back when all replicas are lost while it is blocked. */
  @Test
  void requestStaysBlockedWhenTheReplicasAreRestarted() {
    PollNetwork net = network(9);
    for (int e = 0; e < 5; e++) {
      crashBeside(net, e, REPEATED, 0);
      net.timers.advance(500);
    }
    net.timers.advance(CONTACT_MILLIS);
    net.replicas.keySet().forEach(net::restart);
    net.timers.advance(CONTACT_MILLIS);
    net.entries.get(7).restart();
    net.timers.advance(CONTACT_MILLIS);
    assertEquals(9, blocking(net, REPEATED));
  }

  /** Guards against evidence of distinct requests that takes the bandwidth of control traffic. */
  @Test
  void evidenceOfManyEndedRequestsStaysWithinTheControlTraffic() {
    PollNetwork net = network(9);
    for (int i = 0; i < 200; i++) {
      crashBeside(net, i % 9, List.of(SHARED), 40);
      net.timers.advance(50);
    }
    long before = net.entries.get(0).bytes();
    net.timers.advance(10_000);
    long perSecond = (net.entries.get(0).bytes() - before) / 10;
    assertTrue(perSecond <= 27_000, perSecond + " bytes a second");
  }

  private void crashBeside(PollNetwork net, int entry, RequestTraits harmful, int others) {
    long now = net.timers.nowMillis();
    net.entries.get(entry).quarantine.crashed("i-" + ++crashes, 1, harmful, now);
    end(net, entry, harmful.parts(), others);
  }

  private void crashBeside(PollNetwork net, int entry, List<Long> parts, int requests) {
    crashes++;
    end(net, entry, parts, requests);
  }

  /** Ends requests that are not repeated. */
  private void end(PollNetwork net, int entry, List<Long> parts, int requests) {
    PartQuarantine q = net.entries.get(entry).quarantine;
    long now = net.timers.nowMillis();
    for (int i = 0; i < requests; i++) {
      q.crashed("i-" + crashes, 1, new RequestTraits(nextRequest++, parts), now);
    }
    for (int i = 0; i < 20 * requests; i++) {
      q.began(new RequestTraits(nextRequest++, parts), now);
    }
  }
}
