package org.ebonypond.serving;

/**
 * Limits on client connections and requests.
 *
 * @param maxHeaderBytes the maximum size of a request's headers, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the maximum time to send the headers, in milliseconds
 * @param idleTimeoutMillis the time after which an idle connection is closed, in milliseconds
 */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** The limits in force before the first configuration. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4 << 20, 3_000, 15_000);
}
