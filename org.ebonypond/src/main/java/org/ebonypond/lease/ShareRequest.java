package org.ebonypond.lease;

import java.util.List;

/**
 * A holder's request for shares. It lists every target of which the holder wants or holds a share,
 * or at which it has requests in flight; none of these applies to a target that is not listed.
 *
 * @param holder the holder
 * @param sequence the sequence number, which increases with each request of the holder
 * @param ack the sequence number of the grant in force at the holder, or 0 if there is none
 * @param items the targets
 */
public record ShareRequest(HolderId holder, long sequence, long ack, List<Item> items) {
  /** Copies the list. */
  public ShareRequest {
    items = List.copyOf(items);
  }

  /**
   * The holder's state at one target.
   *
   * @param target the target
   * @param wanted the number of slots that the holder can use now, including those in use
   * @param inFlight the number of requests in flight, whether or not their share has lapsed
   * @param lost the number of requests whose connection was lost and that may still be running on
   *     the server
   * @param ended a counter that increases with each request that ends or is lost
   */
  public record Item(ShareTarget target, int wanted, int inFlight, int lost, long ended) {}
}
