package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that entries learn the limits that instances named to others, over a simulated network. */
class LimitGossipTest {
  private static final double NONE = Double.POSITIVE_INFINITY;

  /** The time within which all processes in touch must act on new facts. */
  private static final long CONTACT_MILLIS = 3_000;

  private static long knowing(PollNetwork net, double perSecond) {
    return net.entries.stream().filter(e -> e.limits.perSecond("i-1", 7) == perSecond).count();
  }

  /**
   * Guards against entries that do not know a limit because no answer has named it to them, those
   * that start while it is in force among them, and against one that outlasts its end.
   */
  @ParameterizedTest
  @ValueSource(ints = {9, 77})
  void limitNamedToOneEntryIsKnownToAll(int entries) {
    PollNetwork net = new PollNetwork(3, entries, 10);
    net.timers.advance(5_000);
    net.entries.get(0).limits.observe("i-1", 7, 3.5, net.timers.nowMillis());
    net.timers.advance(CONTACT_MILLIS);
    assertEquals(entries, knowing(net, 3.5));
    net.entries.get(0).restart();
    net.entries.get(5).restart();
    net.timers.advance(CONTACT_MILLIS);
    assertEquals(entries, knowing(net, 3.5));
    net.entries.get(6).limits.observe("i-1", 7, 2, net.timers.nowMillis());
    net.timers.advance(CONTACT_MILLIS);
    assertEquals(entries, knowing(net, 2));
    net.entries.get(3).limits.observe("i-1", 7, NONE, net.timers.nowMillis());
    net.timers.advance(CONTACT_MILLIS);
    assertEquals(entries, knowing(net, NONE));
    // No older observation may come back once the end of the limit is forgotten.
    net.timers.advance(20_000);
    assertEquals(entries, knowing(net, NONE));
  }
}
