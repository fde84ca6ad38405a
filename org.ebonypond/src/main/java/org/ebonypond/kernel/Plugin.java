package org.ebonypond.kernel;

/**
 * A part that registers itself through {@link java.util.ServiceLoader}. Extension points extend
 * this interface.
 */
public interface Plugin {
  /** Returns the name by which settings and documents refer to the plug-in; unique per kind. */
  String name();
}
