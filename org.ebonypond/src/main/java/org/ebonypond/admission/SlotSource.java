package org.ebonypond.admission;

import java.util.List;
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

  /**
   * Returns a reservation for one of several waiting requests of a pool, or empty if no target has
   * a free slot. A source that knows the prefix caches prefers the request that a free target can
   * answer with the least work.
   *
   * @param requests the requests, the one whose turn it is first; not empty
   * @param nowMillis the monotonic time in milliseconds
   */
  default Optional<Grant<R>> tryAcquireAny(List<AdmissionRequest> requests, long nowMillis) {
    AdmissionRequest first = requests.get(0);
    return tryAcquire(first, nowMillis).map(r -> new Grant<>(first, r));
  }

  /**
   * A reservation for one of several requests.
   *
   * @param request the request
   * @param reservation its capacity
   */
  record Grant<R>(AdmissionRequest request, R reservation) {}

  /** Returns whether any target of the pool is in service, busy or not. */
  boolean inService(String pool);
}
