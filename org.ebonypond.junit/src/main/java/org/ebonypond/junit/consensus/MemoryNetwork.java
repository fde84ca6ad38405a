package org.ebonypond.junit.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

/** An in-memory network that delays, loses, reorders and duplicates messages, with partitions. */
public final class MemoryNetwork {
  private final RandomGenerator random;
  private final PriorityQueue<Message> queue =
      new PriorityQueue<>(
          Comparator.comparingLong((Message m) -> m.due).thenComparingLong(m -> m.order));
  private final Set<String> cuts = new HashSet<>();
  private long order;
  private int maxDelayMillis = 1;
  private int lossPercent;
  private int duplicatePercent;

  /** Creates a network with a delay of one millisecond and without loss. */
  public MemoryNetwork(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Sets the faults of all connections.
   *
   * @param maxDelayMillis the maximum delay in milliseconds; the minimum is 1, so messages are
   *     reordered if this is larger
   * @param lossPercent the percentage of messages that are lost
   * @param duplicatePercent the percentage of messages that arrive twice
   */
  public void setFaults(int maxDelayMillis, int lossPercent, int duplicatePercent) {
    this.maxDelayMillis = maxDelayMillis;
    this.lossPercent = lossPercent;
    this.duplicatePercent = duplicatePercent;
  }

  /** Drops all messages in one direction, without an error to the sender. */
  public void cut(String from, String to) {
    cuts.add(from + ">" + to);
  }

  /** Ends all cuts. */
  public void heal() {
    cuts.clear();
  }

  /** Sends a message. */
  public void send(long now, String from, String to, byte[] payload) {
    if (isCut(from, to) || random.nextInt(100) < lossPercent) {
      return;
    }
    enqueue(now, from, to, payload);
    if (random.nextInt(100) < duplicatePercent) {
      enqueue(now, from, to, payload);
    }
  }

  /** Removes and returns the messages that are due at any of the receivers. */
  public List<Message> due(long now, Set<String> receivers) {
    return due(now, receivers, false);
  }

  /**
   * Removes and returns the messages that are due at any of the receivers.
   *
   * @param single whether each receiver takes its first message only
   */
  List<Message> due(long now, Set<String> receivers, boolean single) {
    List<Message> arrived = new ArrayList<>();
    List<Message> waiting = new ArrayList<>();
    Set<String> taken = new HashSet<>();
    while (!queue.isEmpty() && queue.peek().due <= now) {
      Message m = queue.remove();
      if (isCut(m.from, m.to)) {
        continue;
      }
      boolean takes = receivers.contains(m.to) && (taken.add(m.to) || !single);
      (takes ? arrived : waiting).add(m);
    }
    queue.addAll(waiting);
    return arrived;
  }

  /** Drops the messages in flight to a receiver. */
  public void drop(String to) {
    queue.removeIf(m -> m.to.equals(to));
  }

  private boolean isCut(String from, String to) {
    return cuts.contains(from + ">" + to);
  }

  private void enqueue(long now, String from, String to, byte[] payload) {
    queue.add(new Message(now + 1 + random.nextInt(maxDelayMillis), order++, from, to, payload));
  }

  /**
   * A message in flight.
   *
   * @param due the time of arrival
   * @param order breaks ties between messages with the same time of arrival
   */
  public record Message(long due, long order, String from, String to, byte[] payload) {}
}
