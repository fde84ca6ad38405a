package org.ebonypond.lease;

/**
 * The check of an entry before each dispatch: the view is fresh, the boot identity is the expected
 * one, and there is a free slot.
 */
public final class ColdStartGuard {
  private final ViewLease lease;
  private final ShareHolder holder;

  /** The result of a check. */
  public enum Decision {
    /** Dispatch now, naming the boot identity of the target. */
    START,
    /** The view lease has lapsed; refuse as not run. */
    VIEW_STALE,
    /** No free slot; wait, or choose another target. */
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
   * Checks a dispatch and, if it may go out, takes a slot.
   *
   * @param target the target with the boot identity that the dispatch names
   * @param nowMillis the time, read immediately before
   */
  public Decision tryStart(ShareTarget target, long nowMillis) {
    if (!lease.mayStart(nowMillis)) {
      return Decision.VIEW_STALE;
    }
    return holder.tryStart(target, nowMillis) ? Decision.START : Decision.NO_SLOT;
  }

  /**
   * Ends a request that was started.
   *
   * @param target the target that the dispatch named
   */
  public void finished(ShareTarget target) {
    holder.finished(target);
  }

  /** Ends a request whose connection was lost, so that the server may still run it. */
  public void lost(ShareTarget target, long nowMillis) {
    holder.lost(target, nowMillis);
  }

  /** Takes the boot identity that an answer or announcement names. */
  public void onBoot(ShareTarget target) {
    holder.onBoot(target);
  }
}
