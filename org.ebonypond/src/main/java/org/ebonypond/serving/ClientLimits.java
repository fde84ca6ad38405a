package org.ebonypond.serving;

/**
 * Bounds on what callers may send.
 *
 * @param maxHeaderBytes the largest head of a request, in bytes
 * @param maxBodyBytes the largest body of a request, in bytes
 * @param headerTimeoutMillis the longest time to send a head, in milliseconds
 * @param idleTimeoutMillis the time after which an idle connection is closed, in milliseconds
 */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** What holds before the first configuration. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4 << 20, 3_000, 15_000);
}
