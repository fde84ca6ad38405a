package org.ebonypond.consensus;

/** The kind of a log entry. */
public enum EntryType {
  /** A command for the state machine. */
  COMMAND,
  /** The empty entry that a leader appends at the start of its term. */
  NOOP,
  /** An encoded {@link Membership}. */
  MEMBERSHIP
}
