package org.ebonypond.junit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ebonypond.group.InstanceAnnouncement;

/** A fleet of fake engines, of which fabric domains and single instances can be cut off. */
public final class FakeEngineFleet {
  private final Map<String, FakeEngine> engines = new TreeMap<>();
  private final Set<String> dark = new HashSet<>();

  /** Adds an engine. */
  public void add(FakeEngine e) {
    engines.put(e.name(), e);
  }

  /**
   * Adds the same number of engines to each domain of a zone, named {@code <domain>-i<number>}.
   *
   * @param zone the availability zone
   * @param domains the number of domains, named {@code <zone>-d<number>}
   * @param perDomain the number of engines in each
   * @param kind the engine kind
   * @param checksFencing whether they refuse orders with an old fencing number
   * @param loadMillis how long they load, in milliseconds
   */
  public void addZone(
      String zone,
      int domains,
      int perDomain,
      String kind,
      boolean checksFencing,
      long loadMillis) {
    for (int d = 0; d < domains; d++) {
      String domain = zone + "-d" + d;
      for (int i = 0; i < perDomain; i++) {
        add(new FakeEngine(domain + "-i" + i, zone, domain, kind, checksFencing, loadMillis));
      }
    }
  }

  /** Returns an engine. */
  public FakeEngine get(String name) {
    FakeEngine e = engines.get(name);
    if (e == null) {
      throw new IllegalArgumentException("no engine " + name);
    }
    return e;
  }

  /** Returns all engines by name. */
  public Collection<FakeEngine> all() {
    return engines.values();
  }

  /** Cuts an instance or a domain off, or reconnects it; the processes keep running. */
  public void setUnreachable(String instanceOrDomain, boolean isDark) {
    if (isDark) {
      dark.add(instanceOrDomain);
    } else {
      dark.remove(instanceOrDomain);
    }
  }

  /** Returns whether an engine runs and can be reached. */
  public boolean isReachable(FakeEngine e) {
    return e.isRunning() && !dark.contains(e.name()) && !dark.contains(e.domain());
  }

  /** Returns the announcements of all reachable engines. */
  public List<InstanceAnnouncement> announcements(long now) {
    List<InstanceAnnouncement> out = new ArrayList<>();
    for (FakeEngine e : engines.values()) {
      if (isReachable(e)) {
        out.add(e.announcement(now));
      }
    }
    return out;
  }
}
