package org.ebonypond.pgm;

/**
 * An answer of an entry.
 *
 * @param entry the address of the entry
 * @param status the HTTP status
 * @param body the body
 */
public record Answer(String entry, int status, String body) {
  /** Returns whether the status is 2xx. */
  public boolean ok() {
    return status / 100 == 2;
  }
}
