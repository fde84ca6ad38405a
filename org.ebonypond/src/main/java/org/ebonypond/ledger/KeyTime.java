package org.ebonypond.ledger;

import java.util.UUID;

/** Reads the creation time of a key that is a UUID of version 7 (RFC 9562). */
final class KeyTime {
  /** Returned for a key that contains no time. */
  static final long NONE = -1;

  private static final int TEXT_LENGTH = 36;

  private KeyTime() {}

  /** Returns the time of the key in milliseconds since 1970, or {@link #NONE}. */
  static long of(String key) {
    if (key.length() != TEXT_LENGTH || key.charAt(14) != '7') {
      return NONE;
    }
    try {
      UUID id = UUID.fromString(key);
      return id.version() == 7 && id.variant() == 2 ? id.getMostSignificantBits() >>> 16 : NONE;
    } catch (IllegalArgumentException e) {
      return NONE;
    }
  }
}
