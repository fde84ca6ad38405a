package org.ebonypond.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class WaitingOrderTest {
  private record Request(String name, long targetAt, long deadlineAt)
      implements WaitingOrder.Waiting {}

  /**
   * Guards against a backlog of late requests that is dispatched before new requests, which then
   * become late as well.
   */
  @Test
  void requestsThatCanBeOnTimePrecedeLateOnes() {
    List<Request> waiting =
        List.of(
            new Request("late", 500, 8_000),
            new Request("later-deadline", 400, 9_000),
            new Request("on-time", 2_500, 6_000),
            new Request("more-urgent", 2_300, 8_000));

    List<String> order = WaitingOrder.sorted(waiting, 2_000).stream().map(Request::name).toList();

    assertEquals(List.of("more-urgent", "on-time", "late", "later-deadline"), order);
  }
}
