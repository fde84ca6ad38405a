package org.ebonypond.control;

/** What a backend server instance runs. */
public enum InstanceKind {
  /** A member of a group that runs a model engine. */
  ENGINE,
  /** A plain service that answers alone. */
  SERVICE
}
