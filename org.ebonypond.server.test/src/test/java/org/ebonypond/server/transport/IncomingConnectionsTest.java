package org.ebonypond.server.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import org.junit.jupiter.api.Test;

class IncomingConnectionsTest {
  private static final long MAX_BYTES = 100;
  private static final long LONG_MILLIS = 60_000;

  private final IncomingConnections connections = new IncomingConnections(2, MAX_BYTES);
  private final Channel first = new EmbeddedChannel();
  private final Channel second = new EmbeddedChannel();
  private final Channel third = new EmbeddedChannel();

  /** Guards against connections that send nothing and keep the processes of the system out. */
  @Test
  void connectionWithoutFrameMakesRoom() {
    assertNull(connections.add(first, 0));
    connections.frameArrived(first, 1);
    assertNull(connections.add(second, 2));
    assertSame(second, connections.add(third, 3));
  }

  @Test
  void processesInTouchAreKept() {
    connections.add(first, 0);
    connections.add(second, 0);
    connections.frameArrived(first, 1);
    connections.frameArrived(second, 1);
    assertSame(third, connections.add(third, 2));
    assertSame(first, connections.add(third, LONG_MILLIS));
  }

  /** Guards against unfinished frames that fill the memory. */
  @Test
  void oldestUnfinishedFrameIsGivenUp() {
    connections.add(first, 0);
    connections.add(second, 0);
    assertEquals(List.of(), connections.unfinished(first, 60, 1));
    assertEquals(List.of(), connections.unfinished(second, 40, 2));
    assertEquals(List.of(first), connections.unfinished(second, 80, 3));
    assertEquals(List.of(), connections.unfinished(second, 100, 4));
  }

  /** Guards against strangers whose frames cost the processes of the system theirs. */
  @Test
  void frameOfStrangerIsGivenUpFirst() {
    connections.add(first, 0);
    connections.frameArrived(first, 1);
    connections.add(second, 0);
    connections.unfinished(first, 60, 2);
    assertEquals(List.of(second), connections.unfinished(second, 60, 3));
  }

  @Test
  void finishedFramesTakeNoMemory() {
    connections.add(first, 0);
    connections.add(second, 0);
    connections.unfinished(first, 100, 1);
    connections.unfinished(first, 0, 2);
    assertEquals(List.of(), connections.unfinished(second, 100, 3));
    connections.remove(second);
    assertEquals(List.of(), connections.unfinished(first, 100, 4));
  }

  /** Guards against frames that arrive byte by byte without end. */
  @Test
  void slowFrameExpires() {
    connections.add(first, 0);
    connections.add(second, 0);
    connections.unfinished(first, 1, 1);
    connections.unfinished(first, 2, 9_000);
    connections.unfinished(second, 1, 9_000);
    assertEquals(List.of(), connections.expire(10_000));
    assertEquals(List.of(first), connections.expire(10_002));
  }
}
