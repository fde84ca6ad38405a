package org.ebonypond.server.relay;

import java.io.IOException;

/** The process that relays a connection has ended it, or cannot be reached any more. */
public final class RelayLostException extends IOException {
  private static final long serialVersionUID = 1L;

  RelayLostException(String reason) {
    super(reason);
  }
}
