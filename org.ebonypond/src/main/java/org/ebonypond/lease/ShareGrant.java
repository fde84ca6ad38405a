package org.ebonypond.lease;

import java.util.List;

/**
 * The leader's answer to a {@link ShareRequest}; replaces all shares of the holder.
 *
 * @param holder the holder
 * @param term the leader's term; a holder ignores grants of lower terms
 * @param sequence the sequence number of the request
 * @param items the shares of the targets that the request lists
 */
public record ShareGrant(HolderId holder, long term, long sequence, List<Item> items) {
  /** Copies the list. */
  public ShareGrant {
    items = List.copyOf(items);
  }

  /**
   * The share of one target.
   *
   * @param target the target
   * @param slots the number of requests that the holder may have in flight
   * @param warm whether the target is warm, so that no share is needed
   */
  public record Item(ShareTarget target, int slots, boolean warm) {}
}
