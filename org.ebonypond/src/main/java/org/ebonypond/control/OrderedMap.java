package org.ebonypond.control;

import java.util.AbstractMap;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * An immutable map that keeps the iteration order of the map from which it was copied. The order of
 * {@code Map.copyOf} differs between runs of the virtual machine; decisions would then depend on
 * it, and a seed or a trace would not reproduce a run.
 */
final class OrderedMap<K, V> extends AbstractMap<K, V> {
  private final Map<K, V> entries;

  private OrderedMap(Map<K, V> entries) {
    this.entries = entries;
  }

  /** Returns a copy, or the map itself if it is already an ordered map. */
  static <K, V> Map<K, V> copyOf(Map<K, V> map) {
    return map instanceof OrderedMap ? map : new OrderedMap<>(new LinkedHashMap<>(map));
  }

  @Override
  public @Nullable V get(Object key) {
    return entries.get(key);
  }

  @Override
  public boolean containsKey(Object key) {
    return entries.containsKey(key);
  }

  @Override
  public int size() {
    return entries.size();
  }

  @Override
  public Set<Map.Entry<K, V>> entrySet() {
    return Collections.unmodifiableMap(entries).entrySet();
  }
}
