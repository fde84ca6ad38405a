package org.ebonypond.group;

/** The status that a backend server announces. */
public enum EngineStatus {
  /** No model is loaded. */
  IDLE,
  /** A load order is being executed. */
  LOADING,
  /** The instance can serve requests. */
  READY,
  /** The instance is shutting down. */
  LEAVING
}
