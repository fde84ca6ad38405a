package org.ebonypond.server.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.HeadLoad;
import org.ebonypond.fleet.InstanceTable;
import org.ebonypond.fleet.InstanceUpdate;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.serving.ServingConfig;
import org.ebonypond.serving.ServingState;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a process believes about the fleet: the newest configuration, the zones out of service, the
 * instances and the load of the other entries. Neither the configuration nor the zones ever go back
 * to an older state. Used on one thread.
 */
public final class FleetView {
  private static final Logger LOG = LoggerFactory.getLogger(FleetView.class);

  /** Each instance has said in a heartbeat by then whether it is cold; two and a half periods. */
  private static final long TELL_COLD_MILLIS = 3_000;

  private final ConfigSource source;
  private final InstanceTable table = new InstanceTable();
  private final Map<String, FleetInstance> ready = new HashMap<>();
  private @Nullable ServingConfig config;
  private long version;
  private long zonesIndex = -1;
  private Set<String> zonesOut = Set.of();
  private final Map<String, Long> backAt = new HashMap<>();
  private Map<String, HeadLoad> others = Map.of();
  private int entries = 1;

  /** Creates an empty view. */
  public FleetView(ConfigSource source) {
    this.source = source;
  }

  /** Takes the answer of a control replica. */
  public void accept(FleetPollResult r, long now) {
    if (r.state() != null) {
      accept(r.state(), now);
    }
    for (InstanceUpdate u : r.instances()) {
      FleetInstance i = u.instance();
      if (table.merge(i, u.ageMillis(), now)) {
        LOG.atInfo()
            .addKeyValue("instance", i.id())
            .addKeyValue("phase", i.phase())
            .addKeyValue("group", i.group())
            .addKeyValue("cold_ms", i.coldMillis())
            .addKeyValue("age_ms", u.ageMillis())
            .log("instance changed");
      }
    }
    if (!r.instances().isEmpty()) {
      index(now);
    }
    if (r.loads() != null) {
      Map<String, HeadLoad> loads = new HashMap<>();
      r.loads().forEach(l -> loads.put(l.instance(), l));
      others = loads;
    }
    entries = Math.max(1, r.entries());
  }

  private void accept(ServingState.Committed s, long now) {
    if (s.version() > version) {
      try {
        config = source.decode(s.document());
        version = s.version();
        LOG.atInfo().addKeyValue("version", version).log("configuration in force");
      } catch (EbonypondException e) {
        // It was checked before it was committed; a process of another release may see it so.
        LOG.atError()
            .addKeyValue("version", s.version())
            .setCause(e)
            .log("configuration cannot be read");
      }
    }
    if (s.zonesIndex() > zonesIndex) {
      zonesIndex = s.zonesIndex();
      zonesOut.stream().filter(z -> !s.zonesOut().contains(z)).forEach(z -> backAt.put(z, now));
      zonesOut = Set.copyOf(s.zonesOut());
      LOG.atInfo()
          .addKeyValue("zones_out", zonesOut)
          .addKeyValue("index", zonesIndex)
          .log("zones out of service");
    }
  }

  private void index(long now) {
    table.prune(now);
    ready.clear();
    for (InstanceUpdate u : table.all(now)) {
      ready.put(u.instance().id(), u.instance());
    }
  }

  /** Returns the configuration in force, or null if none is known. */
  public @Nullable ServingConfig config() {
    return config;
  }

  /** Returns the bounds on callers in force. */
  public ClientLimits limits() {
    ServingConfig c = config;
    return c == null ? ClientLimits.DEFAULT : c.limits();
  }

  /** Returns the version of the configuration in force; 0 if none is known. */
  public long version() {
    return version;
  }

  /** Returns the log index of the zones out of service; -1 if they are not known. */
  public long zonesIndex() {
    return zonesIndex;
  }

  /** Returns whether a zone is out of service. */
  public boolean isOut(String zone) {
    return zonesOut.contains(zone);
  }

  /**
   * Returns whether a zone came back into service so lately that its instances may have become cold
   * without having said so.
   */
  public boolean isRecentlyRestored(String zone, long now) {
    Long at = backAt.get(zone);
    return at != null && now - at < TELL_COLD_MILLIS;
  }

  /** Returns all known instances. */
  public Collection<FleetInstance> instances() {
    return ready.values();
  }

  /** Returns an instance by identifier, or null. */
  public @Nullable FleetInstance instance(String id) {
    return ready.get(id);
  }

  /** Returns the work of the other entries at an instance, or null if there is none. */
  public @Nullable HeadLoad others(String instance) {
    return others.get(instance);
  }

  /** Returns the number of entries that share budgets with this one. */
  public int entries() {
    return entries;
  }
}
