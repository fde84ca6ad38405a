package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The orders that were sent and their outcomes; limits how soon an order is repeated. */
final class SentOrders {
  /**
   * The delay before an order is repeated, in milliseconds; gives the heartbeat that shows its
   * effect time to arrive.
   */
  private static final long REPEAT_MILLIS = 1_500;

  private final Map<String, Sent> sent = new HashMap<>();

  /** Records an order as sent if it may be sent now; returns whether it was recorded. */
  boolean recordIfDue(FleetOrder o, long now) {
    Sent s = sent.get(key(o));
    if (s != null && (s.outcome == null ? now - s.at < REPEAT_MILLIS : now < s.repeatAt)) {
      return false;
    }
    Sent next = new Sent(o, now);
    next.attempts = s == null ? 1 : s.attempts + 1;
    next.earlierUnanswered = s == null ? null : s.lastUnanswered();
    next.acceptedAt = s == null ? null : s.acceptedAt;
    next.answerableSince = s == null || s.outcome != null ? now : s.answerableSince;
    sent.put(key(o), next);
    return true;
  }

  /** Records the outcome of an order. */
  void answered(FleetOrder o, OrderOutcome outcome, long now) {
    Sent s = sent.get(key(o));
    if (s != null) {
      s.outcome = outcome;
      s.acceptedAt = outcome == OrderOutcome.ACCEPTED ? (Long) now : s.acceptedAt;
      s.repeatAt = now + (outcome == OrderOutcome.CONFLICT ? REPEAT_MILLIS / 5 : REPEAT_MILLIS);
    }
  }

  /** Returns the latest outcome of an order, or null if there is none. */
  @Nullable OrderOutcome outcome(FleetOrder o) {
    Sent s = sent.get(key(o));
    return s == null ? null : s.outcome;
  }

  /**
   * Returns when an order was sent that has just been answered, in milliseconds; an answer may be
   * to an attempt before the latest one.
   */
  long answeredAttemptAt(FleetOrder o, long now) {
    Sent s = sent.get(key(o));
    return s == null ? now : s.answerableSince;
  }

  /** Returns how often an order was sent. */
  int attempts(FleetOrder o) {
    Sent s = sent.get(key(o));
    return s == null ? 0 : s.attempts;
  }

  /**
   * Returns whether an order of a kind was sent to any member of a group, and is still kept. The
   * orders that form a group are not kept for longer than the one that opens it.
   */
  boolean wasSent(FleetOrder.Kind kind, String group, long epoch) {
    return sent.values().stream().anyMatch(s -> s.isOf(kind, group, epoch));
  }

  /** Returns whether an order of a kind was sent to an instance, and is still kept. */
  boolean wasSentTo(FleetOrder.Kind kind, String instance, String group, long epoch) {
    return sent.containsKey(key(kind, instance, group, epoch));
  }

  /** Returns whether an order of a kind was sent to any member of a group and not answered. */
  boolean isUnconfirmed(FleetOrder.Kind kind, String group, long epoch) {
    return sent.values().stream()
        .anyMatch(
            s ->
                s.isOf(kind, group, epoch)
                    && (s.outcome == null || s.outcome == OrderOutcome.UNKNOWN));
  }

  /**
   * Returns when an order of a kind was last sent to an instance without an answer, or {@code null}
   * if all were answered. An earlier attempt may be executed although a later one was answered.
   */
  @Nullable Long lastUnanswered(FleetOrder.Kind kind, String instance, String group, long epoch) {
    Sent s = sent.get(key(kind, instance, group, epoch));
    return s == null ? null : s.lastUnanswered();
  }

  /**
   * Returns when an order of a kind was last sent to a member of a group without an answer, or
   * {@code null} if all were answered. An earlier attempt may be executed although a later one was
   * rejected.
   */
  @Nullable Long lastUnanswered(FleetOrder.Kind kind, String group, long epoch) {
    Long latest = null;
    for (Sent s : sent.values()) {
      Long at = s.isOf(kind, group, epoch) ? s.lastUnanswered() : null;
      latest = at == null || (latest != null && latest > at) ? latest : at;
    }
    return latest;
  }

  /** Returns when an order of a kind was last accepted by an instance, or null. */
  @Nullable Long lastAccepted(FleetOrder.Kind kind, String instance, String group, long epoch) {
    Sent s = sent.get(key(kind, instance, group, epoch));
    return s == null ? null : s.acceptedAt;
  }

  /**
   * Returns the orders to join a group that have an unanswered attempt.
   *
   * @param since the time of the earliest attempt of interest, in milliseconds
   */
  List<UnansweredOrder> unansweredJoins(long since) {
    List<UnansweredOrder> out = new ArrayList<>();
    for (Sent s : sent.values()) {
      Long at = s.order.kind() == FleetOrder.Kind.JOIN ? s.lastUnanswered() : null;
      if (at != null && at >= since) {
        out.add(new UnansweredOrder(s.order, at));
      }
    }
    return out;
  }

  /** Forgets an order and its answers. */
  void forget(FleetOrder o) {
    sent.remove(key(o));
  }

  /** Removes orders that were sent longer ago than {@code keepMillis}. */
  void prune(long now, long keepMillis) {
    sent.values().removeIf(s -> now - s.at > keepMillis);
  }

  void clear() {
    sent.clear();
  }

  private static String key(FleetOrder o) {
    String subject = o.kind() == FleetOrder.Kind.STAGE ? o.model() : o.group();
    return key(o.kind(), o.instance(), subject, o.epoch());
  }

  private static String key(FleetOrder.Kind kind, String instance, String subject, long epoch) {
    return kind + "/" + instance + "/" + subject + "/" + epoch;
  }

  /**
   * An order with an unanswered attempt.
   *
   * @param order the order
   * @param at when it was last sent without an answer, in milliseconds
   */
  record UnansweredOrder(FleetOrder order, long at) {}

  private static final class Sent {
    final FleetOrder order;
    final long at;
    int attempts;
    @Nullable OrderOutcome outcome;
    long repeatAt;

    /** When the earliest attempt was sent that the next answer may be to. */
    long answerableSince;

    /** When an attempt was last accepted, or null. */
    @Nullable Long acceptedAt;

    /** When the last earlier attempt without an answer was sent, or null. */
    @Nullable Long earlierUnanswered;

    Sent(FleetOrder order, long at) {
      this.order = order;
      this.at = at;
    }

    @Nullable Long lastUnanswered() {
      return outcome == null || outcome == OrderOutcome.UNKNOWN ? (Long) at : earlierUnanswered;
    }

    boolean isOf(FleetOrder.Kind kind, String group, long epoch) {
      return order.kind() == kind && order.epoch() == epoch && order.group().equals(group);
    }
  }
}
