package org.ebonypond.fleet;

/** What an instance says of its part in a group. */
public enum MemberState {
  /** Loads its part of the model. */
  JOINING,
  /** Has joined; the group does not serve. */
  READY,
  /** Serves requests; only a head is in this state. */
  OPEN,
  /** Finishes its requests and takes no others. */
  CLOSING,
  /** Has lost a member and serves nothing. */
  BROKEN
}
