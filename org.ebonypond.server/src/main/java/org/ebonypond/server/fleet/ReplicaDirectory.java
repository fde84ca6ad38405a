package org.ebonypond.server.fleet;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.ebonypond.server.settings.ReplicaAddress;

/**
 * The control replicas that a process has heard of. The settings name a few of them; the others and
 * later replacements are learned from the answers of those. The name of a replica is its address.
 * Thread-safe.
 */
public final class ReplicaDirectory {
  /** A replica that has not answered for this long is forgotten unless the settings name it. */
  private static final long FORGET_MILLIS = 30_000;

  private static final int MAX_PORT = 65_535;
  private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");

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

  /** Returns whether a text has the form IP:PORT, so that its address needs no name server. */
  public static boolean isAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0 || !NetUtil.isValidIpV4Address(text.substring(0, colon))) {
      return false;
    }
    String port = text.substring(colon + 1);
    return PORT.matcher(port).matches() && Integer.parseInt(port) <= MAX_PORT;
  }

  /**
   * Returns the socket address of a text of the form IP:PORT.
   *
   * @throws IllegalArgumentException if it has another form
   */
  public static InetSocketAddress address(String text) {
    if (!isAddress(text)) {
      throw new IllegalArgumentException(text + " is not an address of the form IP:PORT");
    }
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
