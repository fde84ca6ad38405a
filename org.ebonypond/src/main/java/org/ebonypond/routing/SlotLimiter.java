package org.ebonypond.routing;

/**
 * Limits the requests at a target beyond its maximum concurrency, for example by the leased share
 * of a starting backend server's ceiling. Implementations are thread-safe and do not block.
 */
public interface SlotLimiter {
  /** A limiter without limits. */
  SlotLimiter NONE =
      new SlotLimiter() {
        @Override
        public boolean tryAcquire(Target target, long nowMillis) {
          return true;
        }

        @Override
        public void release(Target target, long nowMillis) {}
      };

  /**
   * Takes a slot if one is free.
   *
   * @param target the group or the instance
   * @param nowMillis the monotonic time in milliseconds
   * @return whether the caller now holds a slot
   */
  boolean tryAcquire(Target target, long nowMillis);

  /**
   * Returns a slot; called exactly once for each slot taken.
   *
   * @param target the target with which the slot was taken
   * @param nowMillis the monotonic time in milliseconds
   */
  void release(Target target, long nowMillis);

  /**
   * Returns a slot whose request the backend server may still run; called in place of {@link
   * #release}.
   *
   * @param target the target with which the slot was taken
   * @param nowMillis the monotonic time in milliseconds
   */
  default void lost(Target target, long nowMillis) {
    release(target, nowMillis);
  }
}
