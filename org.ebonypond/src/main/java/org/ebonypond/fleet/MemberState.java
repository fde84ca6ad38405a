package org.ebonypond.fleet;

/** The state of a group member, as the instance reports it. */
public enum MemberState {
  /** Loading its part of the model. */
  JOINING,
  /** Has joined; a head in this state does not serve yet. */
  READY,
  /** Serves requests; only a head is in this state. */
  OPEN,
  /** Finishes the requests in flight and accepts no new ones. */
  CLOSING,
  /** The group has lost a member and cannot serve. */
  BROKEN
}
