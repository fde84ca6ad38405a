package org.ebonypond.kernel;

import java.util.Map;
import java.util.ServiceLoader;
import java.util.TreeMap;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/**
 * The plug-ins of one extension point, by name; immutable.
 *
 * @param <T> the extension point
 */
public final class PluginRegistry<T extends Plugin> {
  private final Map<String, T> byName;

  private PluginRegistry(Map<String, T> byName) {
    this.byName = byName;
  }

  /**
   * Loads every registered plug-in of an extension point.
   *
   * @param type the extension point
   * @throws EbonypondException {@code settings-invalid} if two plug-ins have the same name
   */
  public static <T extends Plugin> PluginRegistry<T> load(Class<T> type) {
    Map<String, T> found = new TreeMap<>();
    for (T p : ServiceLoader.load(type)) {
      if (found.put(p.name(), p) != null) {
        throw new EbonypondException(
            ErrorCode.SETTINGS_INVALID, p.name(), "registered twice", "remove one plug-in");
      }
    }
    return new PluginRegistry<>(found);
  }

  /**
   * Returns the plug-in with a name.
   *
   * @param name the plug-in's name
   * @throws EbonypondException {@code settings-invalid} if there is no such plug-in
   */
  public T get(String name) {
    T p = byName.get(name);
    if (p == null) {
      throw new EbonypondException(
          ErrorCode.SETTINGS_INVALID, name, "no such plug-in", "use one of " + byName.keySet());
    }
    return p;
  }
}
