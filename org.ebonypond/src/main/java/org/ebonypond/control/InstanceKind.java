package org.ebonypond.control;

/** The kind of program that an instance of a backend server runs. */
public enum InstanceKind {
  /** A model engine, which serves as a member of a group. */
  ENGINE,
  /** A plain service without groups. */
  SERVICE
}
