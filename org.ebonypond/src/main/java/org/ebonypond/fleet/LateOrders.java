package org.ebonypond.fleet;

/** Tells until when instances may execute orders that they did not answer. */
final class LateOrders {
  /** No order can be executed any more. */
  static final long NEVER = Long.MIN_VALUE;

  private final PlannerState state;

  LateOrders(PlannerState state) {
    this.state = state;
  }

  /** Returns until when a head that is ready may open its group, in milliseconds. */
  long openableUntil(String head, String group, long epoch) {
    return until(FleetOrder.Kind.OPEN, head, group, epoch);
  }

  /**
   * Returns until when a head that has left a group may join it again and then open it, in
   * milliseconds. That takes both orders.
   */
  long reopenableUntil(String head, String group, long epoch) {
    return Math.min(
        until(FleetOrder.Kind.JOIN, head, group, epoch), openableUntil(head, group, epoch));
  }

  /**
   * Returns the time since an order was last sent to an instance without an answer, in
   * milliseconds, or -1 if all were answered.
   */
  long unansweredMillis(FleetOrder.Kind kind, String instance, String group, long epoch, long now) {
    Long at = state.sentOrders.lastUnanswered(kind, instance, group, epoch);
    return at == null ? -1 : now - at;
  }

  /**
   * Returns whether an instance may still execute orders of earlier leaders on a group. This leader
   * does not know which of them were answered.
   */
  boolean mayExecuteEarlier(String instance, long epoch) {
    return isOfEarlierTerm(epoch) && !state.fencedSince.containsKey(instance);
  }

  /** Returns whether an earlier leader formed a group. */
  boolean isOfEarlierTerm(long epoch) {
    return !state.first && epoch >> PlannerState.EPOCH_BITS < state.term;
  }

  private long until(FleetOrder.Kind kind, String instance, String group, long epoch) {
    Long at = state.sentOrders.lastUnanswered(kind, instance, group, epoch);
    long own = at == null ? NEVER : at + PlannerState.LATE_ORDER_MILLIS;
    return isOfEarlierTerm(epoch) ? Math.max(own, earlierUntil(instance)) : own;
  }

  /** Returns until when an instance may execute orders of earlier leaders, in milliseconds. */
  private long earlierUntil(String instance) {
    long until = state.termStart + PlannerState.LATE_ORDER_MILLIS;
    Long fencedSince = state.fencedSince.get(instance);
    return fencedSince == null ? until : Math.min(until, fencedSince);
  }
}
