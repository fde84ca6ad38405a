package org.ebonypond.server.http1;

/** The limit on what is kept of an answer for a caller that reads it slowly. */
public final class CallerBacklog {
  /** A caller is disconnected if more bytes of its answer than this wait to be read, in bytes. */
  public static final int MAX_BYTES = 4 << 20;

  private CallerBacklog() {}
}
