package org.ebonypond.server.relay;

import org.jspecify.annotations.Nullable;

/** The answer of an entry that is asked to relay a connection. */
public enum RelayStatus {
  /** The connection to the instance is open. */
  CONNECTED(0),
  /** The entry could not open a connection to the instance. */
  UNREACHABLE(1),
  /** The entry does not know the instance. */
  UNKNOWN_INSTANCE(2),
  /** The entry relays as many connections as it can, or stops soon. */
  BUSY(3),
  /** The entry is cut off from the instances of the service itself. */
  CUT_OFF(4),
  /** The entry did not answer; never sent. */
  NO_ANSWER(-1);

  private final int code;

  RelayStatus(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }

  static @Nullable RelayStatus ofCode(int code) {
    for (RelayStatus s : values()) {
      if (s.code == code && s != NO_ANSWER) {
        return s;
      }
    }
    return null;
  }
}
