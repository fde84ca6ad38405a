package org.ebonypond.admission;

import java.util.List;
import java.util.Optional;

/**
 * Reserves capacity for requests, usually through the router. Called with the lock of the request's
 * pool held; must neither block nor call back into admission.
 *
 * @param <R> the type of reservations
 */
public interface SlotSource<R> {
  /** Returns a reservation for the request, or empty if no target has a free slot. */
  Optional<R> tryAcquire(AdmissionRequest request, long nowMillis);

  /**
   * Returns a reservation for one of several waiting requests of a pool, or empty if no target has
   * a free slot. A source that tracks prefix caches prefers the request with the largest cached
   * prefix at a target with a free slot.
   *
   * @param requests the requests, the next in queue order first; not empty
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
   * @param reservation the capacity reserved for it
   */
  record Grant<R>(AdmissionRequest request, R reservation) {}

  /** Returns whether any target of the pool is in service, regardless of its load. */
  boolean inService(String pool);
}
