package org.ebonypond.control;

/** The status of an instance in the registry. */
public enum InstanceStatus {
  UP,
  LEAVING,
  DOWN
}
