package org.ebonypond.server.backend;

import java.util.concurrent.CompletableFuture;
import org.ebonypond.ledger.StoredAnswer;

/** Client of plain services. */
public interface ServiceClient {
  /**
   * Calls a plain service.
   *
   * @return the complete answer; fails with a {@link BackendFailure} if there is none
   */
  CompletableFuture<StoredAnswer> call(ServiceRequest request);
}
