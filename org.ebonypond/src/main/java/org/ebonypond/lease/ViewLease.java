package org.ebonypond.lease;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Tells whether an entry's view of the control state is fresh enough to start new work. Not
 * thread-safe.
 *
 * <p>Voters change one at a time, each change committed before the next, as in Raft's single-server
 * change. A majority of the newest configuration that the replies name then intersects each
 * majority that committed an entry before the poll was sent.
 */
public final class ViewLease {
  /** The length of the lease, in milliseconds, from the time at which the poll was sent. */
  public static final long LEASE_MILLIS = 3_000;

  /** Polls go out every 500 ms; older ones than this many cannot renew the lease any more. */
  private static final int MAX_POLLS = 8;

  private final Deque<Poll> polls = new ArrayDeque<>();
  private long nextPoll = 1;
  private long applied;
  private long freshAsOf = Long.MIN_VALUE;

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

    /** Returns the smallest majority maximum of the durable indexes, or -1 without a majority. */
    long coveredIndex() {
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
   * @param nowMillis the time before the first request of the poll is sent
   * @return the identity of the poll, which the replies must name
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
   * Takes a reply. A second reply of a replica to the same poll and a reply of a replica that is
   * not a voter do not count.
   *
   * @param poll the identity of the poll
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

  /** Takes the index of the last command that the entry's view includes. */
  public void onApplied(long index) {
    applied = Math.max(applied, index);
    renew();
  }

  /** Returns the time as of which the view is fresh, or {@link Long#MIN_VALUE}. */
  public long freshAsOf() {
    return freshAsOf;
  }

  /**
   * Returns whether new work may start. The caller reads the time immediately before, so that a
   * process that was frozen sees that its lease has lapsed.
   */
  public boolean mayStart(long nowMillis) {
    return freshAsOf != Long.MIN_VALUE && nowMillis - freshAsOf < LEASE_MILLIS;
  }

  private void renew() {
    for (Poll p : polls) {
      long covered = p.coveredIndex();
      if (covered >= 0 && applied >= covered) {
        freshAsOf = Math.max(freshAsOf, p.sentMillis);
      }
    }
    polls.removeIf(p -> p.sentMillis <= freshAsOf);
  }
}
