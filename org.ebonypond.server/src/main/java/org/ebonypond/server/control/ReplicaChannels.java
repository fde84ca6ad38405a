package org.ebonypond.server.control;

/** The names of the replicated logs. */
public final class ReplicaChannels {
  /** The control log. */
  public static final String CONTROL = "control";

  private static final String LEDGER_PREFIX = "ledger-";

  private ReplicaChannels() {}

  /** Returns the name of a shard of the request ledger. */
  public static String ledger(int shard) {
    return LEDGER_PREFIX + shard;
  }
}
