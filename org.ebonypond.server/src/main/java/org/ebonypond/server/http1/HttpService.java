package org.ebonypond.server.http1;

/** Answers calls. Called on the event loop; must not block. */
public interface HttpService {
  /** Takes a call; it is answered now or later, exactly once. */
  void handle(HttpCall call);
}
