package org.ebonypond.lease;

/**
 * The checks of an entry before each dispatch: the view is fresh, the boot identity is the expected
 * one, and a slot is free.
 */
public final class ColdStartGuard {
  private final ViewLease lease;
  private final ShareHolder holder;

  /** The result of a check. */
  public enum Decision {
    /** Dispatch now, with the boot identity of the target. */
    START,
    /** The view lease has lapsed; refuse the request as not run. */
    VIEW_STALE,
    /** No slot is free; wait or choose another target. */
    NO_SLOT
  }

  /**
   * Creates a guard.
   *
   * @param lease the entry's view lease
   * @param holder the entry's shares
   */
  public ColdStartGuard(ViewLease lease, ShareHolder holder) {
    this.lease = lease;
    this.holder = holder;
  }

  /**
   * Checks whether a dispatch is allowed and, if so, takes a slot.
   *
   * @param target the target, with the boot identity that the dispatch carries
   * @param nowMillis the time, read immediately before the call, in milliseconds
   */
  public Decision tryStart(ShareTarget target, long nowMillis) {
    if (!lease.mayStart(nowMillis)) {
      return Decision.VIEW_STALE;
    }
    return holder.tryStart(target, nowMillis) ? Decision.START : Decision.NO_SLOT;
  }

  /**
   * Releases the slot of a request that has ended.
   *
   * @param target the target of the dispatch
   */
  public void finished(ShareTarget target) {
    holder.finished(target);
  }

  /** Records a request whose connection was lost, so that the server may still be running it. */
  public void lost(ShareTarget target, long nowMillis) {
    holder.lost(target, nowMillis);
  }

  /** Records the boot identity carried by an answer or announcement. */
  public void onBoot(ShareTarget target) {
    holder.onBoot(target);
  }
}
