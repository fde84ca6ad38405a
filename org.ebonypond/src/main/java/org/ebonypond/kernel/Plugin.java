package org.ebonypond.kernel;

/**
 * A plug-in that is discovered through {@link java.util.ServiceLoader}. Extension points extend
 * this interface.
 */
public interface Plugin {
  /**
   * Returns the name by which settings and traces refer to the plug-in; unique per extension point.
   */
  String name();
}
