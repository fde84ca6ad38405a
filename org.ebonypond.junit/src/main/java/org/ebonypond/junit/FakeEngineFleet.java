package org.ebonypond.junit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ebonypond.group.InstanceAnnouncement;

/**
 * The {@link FakeEngine}s that a control leader manages in tests and benchmarks. Fabric domains and
 * single instances can be made unreachable.
 */
public final class FakeEngineFleet {
  private final Map<String, FakeEngine> engines = new TreeMap<>();
  private final Set<String> unreachable = new HashSet<>();

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
   * @param loadMillis the time to load a model, in milliseconds
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

  /** Returns all engines, sorted by name. */
  public Collection<FakeEngine> all() {
    return engines.values();
  }

  /** Sets whether an instance or a domain is unreachable; the processes keep running. */
  public void setUnreachable(String instanceOrDomain, boolean value) {
    if (value) {
      unreachable.add(instanceOrDomain);
    } else {
      unreachable.remove(instanceOrDomain);
    }
  }

  /** Returns whether an engine runs and neither it nor its domain is unreachable. */
  public boolean isReachable(FakeEngine e) {
    return e.isRunning() && !unreachable.contains(e.name()) && !unreachable.contains(e.domain());
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
