package org.ebonypond.consensus.internal;

import org.ebonypond.consensus.Snapshot;
import org.jspecify.annotations.Nullable;

/** Replication progress of one other replica, as known to the leader. */
final class Progress {
  /** The identity that the replica reported or the membership contains; empty if unknown. */
  final String identity;

  /** The index of the next entry to send. */
  long next;

  /** The last index known to be durable on the replica and equal to this log. */
  long match;

  /** The last index of the entries or snapshot in flight, or -1 if nothing is in flight. */
  long inFlightIndex = -1;

  /** The time at which the entries or snapshot part in flight were sent. */
  long inFlightSince;

  /** The latest send time of a request that the replica has answered. */
  long ackedSentAt = Long.MIN_VALUE;

  /** The time of the last heartbeat, or {@code Long.MIN_VALUE}. */
  long heartbeatAt = Long.MIN_VALUE;

  /** The snapshot that is being sent, or null. */
  @Nullable Snapshot snapshot;

  /** The position of the next part of the snapshot, in bytes. */
  int offset;

  Progress(String identity, long next) {
    this.identity = identity;
    this.next = next;
  }
}
