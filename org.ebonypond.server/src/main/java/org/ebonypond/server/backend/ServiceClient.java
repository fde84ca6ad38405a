package org.ebonypond.server.backend;

import java.util.concurrent.CompletableFuture;
import org.ebonypond.ledger.StoredAnswer;

/** Calls plain services. */
public interface ServiceClient {
  /**
   * Calls a plain service.
   *
   * @return the whole answer; fails with a {@link BackendFailure}
   */
  CompletableFuture<StoredAnswer> call(ServiceRequest request);
}
