package org.ebonypond.consensus;

/** A deterministic state machine driven by a replicated log. Calls are serialized. */
public interface StateMachine {
  /**
   * Applies one committed command.
   *
   * @param index the log index of the command; indexes of other entry types are skipped
   * @param command the encoded command
   * @return the encoded result for the proposer; identical on every replica
   */
  byte[] apply(long index, byte[] command);

  /** Returns the encoded state after the last applied command. */
  byte[] snapshot();

  /**
   * Replaces the state.
   *
   * @param snapshot a value of {@link #snapshot()}
   */
  void restore(byte[] snapshot);
}
