package org.ebonypond.group;

/** The status that a backend server announces. */
public enum EngineStatus {
  /** Nothing is loaded. */
  IDLE,
  /** A load order is being carried out. */
  LOADING,
  /** It can serve. */
  READY,
  /** It is shutting down. */
  LEAVING
}
