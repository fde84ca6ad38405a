package org.ebonypond.junit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.ebonypond.lease.ViewLease;
import org.ebonypond.lease.VoterSet;

/**
 * The durable logs of control replicas, as polled by a {@link ViewLease}. Log entries commit on a
 * random majority. The voters change one at a time, and each change commits before the next.
 */
public final class FakeReplicaLogs {
  private final ManualTimerService timers;
  private final Random random;
  private final Faults faults;
  private final Map<String, Long> durableIndexes = new HashMap<>();
  private final List<VoterSet> voterSets = new ArrayList<>();
  private final List<Long> commitTimes = new ArrayList<>();
  private int replicaCount;

  /**
   * Creates three voters with empty logs.
   *
   * @param faults the faults of polls and replies
   */
  public FakeReplicaLogs(ManualTimerService timers, Random random, Faults faults) {
    this.timers = timers;
    this.random = random;
    this.faults = faults;
    Set<String> voters = new HashSet<>();
    for (int i = 0; i < 3; i++) {
      voters.add(addReplica());
    }
    voterSets.add(new VoterSet(0, voters));
  }

  /** Commits a log entry on a random majority of the voters. */
  public void commit() {
    commitOn(voters());
  }

  /** Adds or removes one voter with a log entry that commits on a majority of the new voters. */
  public void changeVoters() {
    Set<String> next = new HashSet<>(voters().voters());
    if (next.size() < 5 && random.nextBoolean()) {
      next.add(addReplica());
    } else if (next.size() > 2) {
      next.remove(randomName(next));
    }
    voterSets.add(new VoterSet(commitTimes.size() + 1, next));
    commitOn(voters());
  }

  /** Returns the number of log entries committed at or before a time. */
  public long committedAt(long millis) {
    int n = commitTimes.size();
    while (n > 0 && commitTimes.get(n - 1) > millis) {
      n--;
    }
    return n;
  }

  /** Polls all replicas, voters or not, on behalf of the entry with the lease. */
  public void poll(ViewLease lease) {
    long poll = lease.startPoll(timers.nowMillis());
    for (String r : durableIndexes.keySet()) {
      faults.deliver(
          () -> {
            long index = durableIndexes.get(r);
            VoterSet voters = votersAt(index);
            faults.deliver(() -> lease.onReply(poll, r, voters, index));
          });
    }
  }

  private void commitOn(VoterSet voters) {
    commitTimes.add(timers.nowMillis());
    List<String> order = new ArrayList<>(voters.voters());
    Collections.shuffle(order, random);
    for (String r : order.subList(0, voters.majority())) {
      durableIndexes.put(r, (long) commitTimes.size());
    }
  }

  private VoterSet votersAt(long index) {
    VoterSet found = voterSets.get(0);
    for (VoterSet c : voterSets) {
      if (c.configIndex() <= index) {
        found = c;
      }
    }
    return found;
  }

  private VoterSet voters() {
    return voterSets.get(voterSets.size() - 1);
  }

  private String addReplica() {
    String name = "r" + replicaCount++;
    durableIndexes.put(name, 0L);
    return name;
  }

  private String randomName(Set<String> names) {
    List<String> list = new ArrayList<>(names);
    list.sort(null);
    return list.get(random.nextInt(list.size()));
  }
}
