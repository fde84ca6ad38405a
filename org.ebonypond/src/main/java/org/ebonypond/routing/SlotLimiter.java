package org.ebonypond.routing;

/**
 * A limit on the requests at a target in addition to its maximum concurrency, for example the
 * leased share of a starting backend server's ceiling. Implementations are thread-safe and do not
 * block.
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
   * Acquires a slot if one is free.
   *
   * @param target the group or the instance
   * @param nowMillis the monotonic time in milliseconds
   * @return whether the caller now holds a slot
   */
  boolean tryAcquire(Target target, long nowMillis);

  /**
   * Returns a slot; each acquired slot is returned exactly once, here or in {@link #lost}.
   *
   * @param target the target for which the slot was acquired
   * @param nowMillis the monotonic time in milliseconds
   */
  void release(Target target, long nowMillis);

  /**
   * Returns a slot whose request the backend server may still run; called instead of {@link
   * #release}.
   *
   * @param target the target for which the slot was acquired
   * @param nowMillis the monotonic time in milliseconds
   */
  default void lost(Target target, long nowMillis) {
    release(target, nowMillis);
  }
}
