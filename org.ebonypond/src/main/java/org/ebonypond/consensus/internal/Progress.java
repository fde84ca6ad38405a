package org.ebonypond.consensus.internal;

import org.ebonypond.consensus.Snapshot;
import org.jspecify.annotations.Nullable;

/** What a leader knows about one other replica. */
final class Progress {
  /** The identity that the replica has, or that the configuration expects; empty if unknown. */
  final String identity;

  /** The index of the next entry to send. */
  long next;

  /** The last index that is known to be durable at the replica and to agree with this log. */
  long match;

  /** The last index of the entries that are in flight, or -1 if none are. */
  long awaited = -1;

  /** The time at which the entries in flight, or the part of a snapshot, were sent. */
  long awaitedSince;

  /** The latest time of sending of any request that the replica has answered. */
  long ackedSentAt = Long.MIN_VALUE;

  /** The snapshot that is being sent, or null. */
  @Nullable Snapshot snapshot;

  /** The position of the next part of the snapshot. */
  int offset;

  Progress(String identity, long next) {
    this.identity = identity;
    this.next = next;
  }
}
