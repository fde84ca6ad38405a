package org.ebonypond.control;

/** The state of an instance in the registry. */
public enum InstanceStatus {
  UP,
  LEAVING,
  DOWN
}
