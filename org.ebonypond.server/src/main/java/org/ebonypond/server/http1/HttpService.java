package org.ebonypond.server.http1;

/** Handles HTTP requests. Called on the event loop; must not block. */
public interface HttpService {
  /** Handles a call, which must be answered exactly once, during this method or later. */
  void handle(HttpCall call);
}
