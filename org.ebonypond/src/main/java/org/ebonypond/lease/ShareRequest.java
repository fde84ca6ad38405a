package org.ebonypond.lease;

import java.util.List;

/**
 * A holder's request for shares. It lists every target that the holder wants, holds a share of, or
 * has requests in flight at; a target that it does not list has none of these.
 *
 * @param holder the holder
 * @param sequence rises with each request of the holder
 * @param ack the sequence of the grant that is in force at the holder, or 0
 * @param items the targets
 */
public record ShareRequest(HolderId holder, long sequence, long ack, List<Item> items) {
  /** Copies the list. */
  public ShareRequest {
    items = List.copyOf(items);
  }

  /**
   * One target.
   *
   * @param target the target
   * @param wanted the slots that the holder can use now, including those in use
   * @param inFlight the requests in flight, whether or not their share has lapsed
   * @param lost the requests whose connection was lost and that the server may still run
   * @param ended a count that rises with each request that ends or is lost
   */
  public record Item(ShareTarget target, int wanted, int inFlight, int lost, long ended) {}
}
