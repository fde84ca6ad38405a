package org.ebonypond.server.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ebonypond.server.settings.ReplicaAddress;

/**
 * The control replicas that a process has heard of. The settings name a few of them; the others and
 * later replacements are learned from the answers of those. The name of a replica is its address.
 * Thread-safe.
 */
public final class ReplicaDirectory {
  /** A replica that has not answered for this long is forgotten unless the settings name it. */
  private static final long FORGET_MILLIS = 30_000;

  private final Map<String, Long> lastHeard = new TreeMap<>();
  private Set<String> seeds;

  /** Creates a directory of the replicas that the settings name. */
  public ReplicaDirectory(Collection<String> seeds) {
    this.seeds = Set.copyOf(seeds);
  }

  /** Replaces the replicas that the settings name. */
  public synchronized void seeds(Collection<String> next) {
    seeds = Set.copyOf(next);
  }

  /** Takes the name of a replica that another one knows; returns whether it is new. */
  public synchronized boolean learn(String name, long now) {
    return lastHeard.putIfAbsent(name, now) == null;
  }

  /** Notes that a replica was in contact. */
  public synchronized void heard(String name, long now) {
    lastHeard.put(name, now);
  }

  /** Returns the names of all known replicas, sorted. */
  public synchronized List<String> names(long now) {
    for (Iterator<Long> i = lastHeard.values().iterator(); i.hasNext(); ) {
      if (now - i.next() > FORGET_MILLIS) {
        i.remove();
      }
    }
    Set<String> all = new TreeSet<>(seeds);
    all.addAll(lastHeard.keySet());
    return new ArrayList<>(all);
  }

  /** Returns the replicas that were in contact within a time. */
  public synchronized List<String> recent(long now, long withinMillis) {
    return lastHeard.entrySet().stream()
        .filter(e -> now - e.getValue() <= withinMillis)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns all known replicas with their addresses. */
  public List<ReplicaAddress> addresses(long now) {
    return names(now).stream().map(n -> new ReplicaAddress(n, address(n))).toList();
  }

  /** Returns the socket address of a name of the form IP:PORT. */
  public static InetSocketAddress address(String name) {
    int colon = name.lastIndexOf(':');
    return new InetSocketAddress(
        name.substring(0, colon), Integer.parseInt(name.substring(colon + 1)));
  }
}
