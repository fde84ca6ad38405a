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
 * The control replicas known to a process. The settings name some of them as seeds; the others and
 * later replacements are learned from their answers. The name of a replica is its address.
 * Thread-safe.
 */
public final class ReplicaDirectory {
  /** A replica without contact for this long is removed unless it is a seed. */
  private static final long EXPIRY_MILLIS = 30_000;

  private static final int MAX_PORT = 65_535;
  private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");

  private final Map<String, Long> lastContact = new TreeMap<>();
  private Set<String> seeds;

  /** Creates a directory of the seed replicas. */
  public ReplicaDirectory(Collection<String> seeds) {
    this.seeds = Set.copyOf(seeds);
  }

  /** Replaces the seed replicas. */
  public synchronized void seeds(Collection<String> next) {
    seeds = Set.copyOf(next);
  }

  /** Adds a replica that another one reported; returns whether it is new. */
  public synchronized boolean add(String name, long now) {
    return lastContact.putIfAbsent(name, now) == null;
  }

  /** Records contact with a replica. */
  public synchronized void recordContact(String name, long now) {
    lastContact.put(name, now);
  }

  /** Removes expired replicas and returns the names of all others, sorted. */
  public synchronized List<String> names(long now) {
    for (Iterator<Long> i = lastContact.values().iterator(); i.hasNext(); ) {
      if (now - i.next() > EXPIRY_MILLIS) {
        i.remove();
      }
    }
    Set<String> all = new TreeSet<>(seeds);
    all.addAll(lastContact.keySet());
    return new ArrayList<>(all);
  }

  /** Returns the names of the replicas that were in contact recently. */
  public synchronized List<String> recent(long now, long withinMillis) {
    return lastContact.entrySet().stream()
        .filter(e -> now - e.getValue() <= withinMillis)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns all known replicas with their addresses. */
  public List<ReplicaAddress> addresses(long now) {
    return names(now).stream().map(n -> new ReplicaAddress(n, address(n))).toList();
  }

  /** Returns whether a text has the form IP:PORT, which needs no name resolution. */
  public static boolean isAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0 || !NetUtil.isValidIpV4Address(text.substring(0, colon))) {
      return false;
    }
    String port = text.substring(colon + 1);
    return PORT.matcher(port).matches() && Integer.parseInt(port) <= MAX_PORT;
  }

  /**
   * Parses a socket address of the form IP:PORT.
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
