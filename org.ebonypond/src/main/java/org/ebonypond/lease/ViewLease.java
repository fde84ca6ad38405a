package org.ebonypond.lease;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Determines whether an entry's view of the control state is fresh enough to start new requests.
 * Not thread-safe.
 *
 * <p>Voters change one at a time, each change committed before the next, as in Raft's single-server
 * membership change. A majority of the newest configuration among the replies therefore intersects
 * every majority that committed an entry before the poll was sent.
 */
public final class ViewLease {
  /** The duration of the lease, in milliseconds, from the time at which the poll was sent. */
  public static final long LEASE_MILLIS = 3_000;

  /**
   * The number of polls kept. One is sent every 500 ms, so older ones can no longer renew the
   * lease.
   */
  private static final int MAX_POLLS = 8;

  private final Deque<Poll> polls = new ArrayDeque<>();
  private long nextPoll = 1;
  private long applied;
  private long freshAsOf = Long.MIN_VALUE;
  private long resumedAt = Long.MIN_VALUE;

  /** The replies to one poll. */
  private static final class Poll {
    private final long id;
    private final long sentMillis;
    private final Map<String, Long> durable = new HashMap<>();
    private @Nullable VoterSet newest;

    Poll(long id, long sentMillis) {
      this.id = id;
      this.sentMillis = sentMillis;
    }

    /**
     * Returns the index that the view must include: the smallest maximum of the durable indexes of
     * any majority, or -1 without a majority.
     */
    long requiredIndex() {
      VoterSet config = newest;
      if (config == null) {
        return -1;
      }
      long[] indexes =
          config.voters().stream().filter(durable::containsKey).mapToLong(durable::get).toArray();
      if (indexes.length < config.majority()) {
        return -1;
      }
      Arrays.sort(indexes);
      return indexes[config.majority() - 1];
    }
  }

  /**
   * Starts a poll of all replicas.
   *
   * @param nowMillis the time, read before the first request of the poll is sent
   * @return the identifier of the poll, which the replies must carry
   */
  public long startPoll(long nowMillis) {
    if (polls.size() == MAX_POLLS) {
      polls.removeFirst();
    }
    Poll p = new Poll(nextPoll++, nowMillis);
    polls.addLast(p);
    return p.id;
  }

  /**
   * Processes a reply. Duplicate replies of a replica to the same poll and replies of replicas that
   * are not voters do not count.
   *
   * @param poll the identifier of the poll
   * @param replica the replica's identity, which changes when its disk is lost
   * @param voters the newest configuration in the replica's log
   * @param durableIndex the index of the replica's last durable entry
   */
  public void onReply(long poll, String replica, VoterSet voters, long durableIndex) {
    for (Poll p : polls) {
      if (p.id != poll || p.durable.putIfAbsent(replica, durableIndex) != null) {
        continue;
      }
      if (p.newest == null || p.newest.configIndex() < voters.configIndex()) {
        p.newest = voters;
      }
    }
    renew();
  }

  /** Records the index of the last command that the entry's view includes. */
  public void onApplied(long index) {
    applied = Math.max(applied, index);
    renew();
  }

  /**
   * Returns the time as of which the view is known to be current, or {@link Long#MIN_VALUE} if
   * unknown.
   */
  public long freshAsOf() {
    return freshAsOf;
  }

  /**
   * Records that the process was suspended, for a time that its clock does not count: polls that
   * were sent before do not renew the lease, and it has lapsed unless a later one did.
   *
   * @param millis when the process noticed it, see {@link
   *     org.ebonypond.time.SuspensionDetector#resumedAt}
   */
  public void onResumed(long millis) {
    resumedAt = millis;
  }

  /**
   * Returns whether new requests may start. The caller must read the time, and report a suspension
   * with {@link #onResumed}, immediately before.
   */
  public boolean mayStart(long nowMillis) {
    return freshAsOf > resumedAt && nowMillis - freshAsOf < LEASE_MILLIS;
  }

  private void renew() {
    for (Poll p : polls) {
      long required = p.requiredIndex();
      if (required >= 0 && applied >= required) {
        freshAsOf = Math.max(freshAsOf, p.sentMillis);
      }
    }
    polls.removeIf(p -> p.sentMillis <= freshAsOf);
  }
}
