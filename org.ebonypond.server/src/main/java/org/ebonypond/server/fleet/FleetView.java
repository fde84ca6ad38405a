package org.ebonypond.server.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.fleet.InstanceTable;
import org.ebonypond.fleet.InstanceUpdate;
import org.ebonypond.fleet.NewestVersion;
import org.ebonypond.server.logging.LogMarkers;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.serving.ServingConfig;
import org.ebonypond.serving.ServingState;
import org.ebonypond.time.SuspensionDetector;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A process's view of the fleet: the latest configuration, the zones out of service, the instances
 * and the load of the other entries. Neither the configuration nor the zones ever return to an
 * older state. Not thread-safe.
 */
public final class FleetView {
  private static final Logger LOG = LoggerFactory.getLogger(FleetView.class);

  /**
   * Within this time, every instance has reported in a heartbeat whether it is cold; two and a half
   * heartbeat intervals.
   */
  private static final long COLD_REPORT_MILLIS = 3_000;

  /**
   * How long the answer of a replica that reaches a majority tells that replicas are connected, in
   * milliseconds: two polls of each replica and their answers.
   */
  private static final long CONNECTED_MILLIS = 2_000;

  private final ConfigSource source;
  private final SuspensionDetector suspensions;
  private final NewestVersion newestVersion;
  private final InstanceTable table = new InstanceTable(this::isKnown);
  private final Map<String, FleetInstance> byId = new HashMap<>();
  private @Nullable ServingConfig config;
  private long version;
  private long receivedVersion;
  private String configSource = "";
  private String confirmationSource = "";
  private long firstConfigAt;
  private long replacedVersion;
  private long replacedAt;
  private long connectedAt = Long.MIN_VALUE;
  private long zonesIndex = -1;
  private Set<String> zonesOut = Set.of();
  private final Map<String, Long> restoredAt = new HashMap<>();
  private Map<String, InstanceLoad> loadsOfOthers = Map.of();
  private int entries = 1;

  /**
   * Creates an empty view.
   *
   * @param source decodes the configuration
   * @param suspensions detects the suspensions of this process, by the clock of the times that are
   *     passed in
   */
  public FleetView(ConfigSource source, SuspensionDetector suspensions) {
    this.source = source;
    this.suspensions = suspensions;
    this.newestVersion = new NewestVersion(suspensions);
  }

  /**
   * Merges the answer of a control replica.
   *
   * @param replica the name of the replica
   * @param sentAt when the poll was sent, in milliseconds
   */
  public void accept(String replica, FleetPollResult r, long sentAt, long now) {
    if (r.state() != null) {
      accept(replica, r.state(), r.stateAgeMillis(), now);
    }
    final long knownBefore = newestVersion.knownAt();
    if (!newestVersion.record(r, sentAt)) {
      LOG.atWarn()
          .addKeyValue("replica", replica)
          .addKeyValue("version", r.version())
          .addKeyValue("known", newestVersion.version())
          .log("an older configuration is reported as the newest");
    }
    if (newestVersion.knownAt() != knownBefore) {
      confirmationSource = replica;
    }
    if (r.ready()) {
      connectedAt = Math.max(connectedAt, sentAt);
    }
    noteReplacement(now);
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
      updateIndex(now);
    }
    if (r.loads() != null) {
      Map<String, InstanceLoad> loads = new HashMap<>();
      r.loads().forEach(l -> loads.put(l.instance(), l));
      loadsOfOthers = loads;
    }
    entries = Math.max(1, r.entries());
  }

  private void accept(String replica, ServingState.Committed s, long ageMillis, long now) {
    if (s.version() > receivedVersion) {
      long startedNanos = System.nanoTime();
      try {
        ServingConfig decoded = source.decode(s.document());
        if (config == null) {
          firstConfigAt = now;
        }
        config = decoded;
        version = s.version();
        receivedVersion = s.version();
        configSource = replica;
        LOG.atInfo()
            .addMarker(LogMarkers.STATE)
            .addKeyValue("version", version)
            .addKeyValue("replica", replica)
            .addKeyValue(
                "decode_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos))
            .addKeyValue(
                "confirmed_ms_ago", ageMillis == FleetPollResult.UNCONFIRMED ? -1 : ageMillis)
            .log("configuration in force");
      } catch (EbonypondException e) {
        receivedVersion = s.version();
        // It was validated before it was committed, but another release may have done that.
        LOG.atError()
            .addKeyValue("version", s.version())
            .addKeyValue("replica", replica)
            .setCause(e)
            .log("configuration cannot be decoded");
      }
    }
    if (s.zonesIndex() > zonesIndex) {
      zonesIndex = s.zonesIndex();
      zonesOut.stream().filter(z -> !s.zonesOut().contains(z)).forEach(z -> restoredAt.put(z, now));
      zonesOut = Set.copyOf(s.zonesOut());
      LOG.atInfo()
          .addMarker(LogMarkers.STATE)
          .addKeyValue("zones_out", zonesOut)
          .addKeyValue("index", zonesIndex)
          .log("zones out of service");
    }
  }

  private void noteReplacement(long now) {
    // A version that cannot be decoded is held as well: an older one is then served on purpose.
    if (!newestVersion.isOutdated(receivedVersion)) {
      replacedVersion = 0;
    } else if (replacedVersion != receivedVersion) {
      replacedVersion = receivedVersion;
      replacedAt = now;
    }
  }

  private boolean isKnown(String service) {
    ServingConfig c = config;
    return c == null || c.services().containsKey(service);
  }

  private void updateIndex(long now) {
    table.prune(now);
    byId.clear();
    for (InstanceUpdate u : table.all(now)) {
      byId.put(u.instance().id(), u.instance());
    }
  }

  /** Returns the configuration in force, or null if none is known yet. */
  public @Nullable ServingConfig config() {
    return config;
  }

  /** Returns the limits on callers in force. */
  public ClientLimits limits() {
    ServingConfig c = config;
    return c == null ? ClientLimits.DEFAULT : c.limits();
  }

  /** Returns the version of the configuration in force; 0 if none is known. */
  public long version() {
    return version;
  }

  /**
   * Returns the highest version that was received. If that configuration could not be decoded, the
   * one in force is older; it is not requested again, since it would be the same.
   */
  public long receivedVersion() {
    return receivedVersion;
  }

  /** Returns the control replica that sent the configuration in force; empty if none is known. */
  public String configSource() {
    return configSource;
  }

  /** Returns the newest version that a replica is known to have committed; 0 if none is known. */
  public long newestVersion() {
    return newestVersion.version();
  }

  /** Returns the control replica that last told which version is the newest; empty if none has. */
  public String confirmationSource() {
    return confirmationSource;
  }

  /**
   * Returns how long ago the configuration in force was known to be the newest committed one, in
   * milliseconds; -1 if it never was or if a newer one is known.
   */
  public long configAgeMillis(long now) {
    long at = confirmedAt();
    return at == Long.MIN_VALUE ? -1 : now - at;
  }

  /**
   * Returns the latest time at which the configuration in force was known to be the newest
   * committed one, in milliseconds; {@code Long.MIN_VALUE} if it never was or if a newer one is
   * known.
   */
  public long confirmedAt() {
    return newestVersion.isOutdated(version) ? Long.MIN_VALUE : newestVersion.confirmedAt(version);
  }

  /**
   * Returns for how long this process has known that a newer configuration than its own is
   * committed, in milliseconds; 0 if none is known; {@code Long.MAX_VALUE} if it was suspended
   * since.
   */
  public long replacedMillis(long now) {
    return replacedVersion == 0 ? 0 : millisSince(replacedAt, now);
  }

  /**
   * Returns for how long this process has had a configuration although no replica has told it yet
   * which version is the newest, in milliseconds; 0 once one has. A replica that has just started
   * or is cut off sends what it has on its disk, of any age. {@code Long.MAX_VALUE} if this process
   * was suspended since it has its first configuration.
   */
  public long neverConfirmedMillis(long now) {
    return config == null || newestVersion.version() > 0 ? 0 : millisSince(firstConfigAt, now);
  }

  /**
   * Returns for how long no replica has confirmed any version although replicas that reach a
   * majority answer, in milliseconds; 0 if no such replica answers, or if none has confirmed a
   * version yet. A change that was committed right before all replicas were lost is known to nobody
   * until they have a leader again. The time before a suspension does not count.
   */
  public long leaderlessMillis(long now) {
    long resumedAt = suspensions.resumedAt();
    boolean connected = connectedAt > resumedAt && now - connectedAt < CONNECTED_MILLIS;
    return connected && newestVersion.version() > 0
        ? now - Math.max(newestVersion.knownAt(), resumedAt)
        : 0;
  }

  private long millisSince(long time, long now) {
    return time > suspensions.resumedAt() ? now - time : Long.MAX_VALUE;
  }

  /** Returns the log index of the zones out of service; -1 if they are not known. */
  public long zonesIndex() {
    return zonesIndex;
  }

  /** Returns whether an availability zone is out of service. */
  public boolean isOut(String zone) {
    return zonesOut.contains(zone);
  }

  /**
   * Returns whether a zone returned to service so recently that its instances may have become cold
   * without having reported it yet.
   */
  public boolean isRecentlyRestored(String zone, long now) {
    Long at = restoredAt.get(zone);
    return at != null && now - at < COLD_REPORT_MILLIS;
  }

  /** Returns all known instances. */
  public Collection<FleetInstance> instances() {
    return byId.values();
  }

  /** Returns an instance by identifier, or null. */
  public @Nullable FleetInstance instance(String id) {
    return byId.get(id);
  }

  /** Returns the load of the other entries at an instance, or null if there is none. */
  public @Nullable InstanceLoad loadOfOthers(String instance) {
    return loadsOfOthers.get(instance);
  }

  /** Returns the number of entries that share the budgets, including this one. */
  public int entries() {
    return entries;
  }
}
