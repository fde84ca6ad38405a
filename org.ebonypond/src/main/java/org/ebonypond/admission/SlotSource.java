package org.ebonypond.admission;

import java.util.Optional;

/**
 * Takes capacity for a request, usually through the router. Called under the lock of the request's
 * pool; must neither block nor call back into admission.
 *
 * @param <R> the reservation
 */
public interface SlotSource<R> {
  /** Returns a reservation for the request, or empty if no target has a free slot. */
  Optional<R> tryAcquire(AdmissionRequest request, long nowMillis);

  /** Returns whether any target of the pool is in service, busy or not. */
  boolean inService(String pool);
}
