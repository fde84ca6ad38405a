package org.ebonypond.server.forward;

import java.util.List;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.forward.PathMonitor;
import org.ebonypond.forward.RelayChooser;
import org.ebonypond.server.fleet.FleetView;
import org.ebonypond.server.fleet.ReplicaDirectory;
import org.ebonypond.server.http1.BackendPool;
import org.ebonypond.server.relay.RelayObserver;
import org.ebonypond.server.relay.RelayStatus;
import org.ebonypond.serving.ServingConfig;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The ways on which an entry reaches instances: its own connections, or those that another entry
 * relays. Probes the own ones that were lost. Confined to one event loop.
 */
final class InstancePaths {
  private static final Logger LOG = LoggerFactory.getLogger(InstancePaths.class);

  private final PathMonitor monitor = new PathMonitor();
  private final FleetView view;
  private final BackendPool pool;
  private final RelayChooser relays;
  private final TimerService timers;

  InstancePaths(FleetView view, BackendPool pool, RelayChooser relays, TimerService timers) {
    this.view = view;
    this.pool = pool;
    this.relays = relays;
    this.timers = timers;
  }

  /** Returns whether this entry reaches the instances of no service by itself. */
  boolean isEveryLost() {
    ServingConfig c = view.config();
    return c != null
        && monitor.isAnyLost()
        && c.services().keySet().stream().allMatch(monitor::isLost);
  }

  /** Returns whether this entry can reach no instance of the service of an instance by itself. */
  boolean isLost(String instance) {
    FleetInstance i = view.instance(instance);
    return i != null && monitor.isLost(i.service());
  }

  /** Returns whether this entry reaches the instances of a service neither directly nor relayed. */
  boolean isCutOff(String service) {
    return monitor.isLost(service) && relays.choose(service, timers.nowMillis()) == null;
  }

  /**
   * Returns the address of the entry that should relay a connection to an instance; null if this
   * entry should connect itself.
   */
  @Nullable String relayTo(FleetInstance i) {
    return monitor.isDirect(i.id(), i.service())
        ? null
        : relays.choose(i.service(), timers.nowMillis());
  }

  /** Records that no connection to an instance was established. */
  void connectFailed(FleetInstance i) {
    pool.closeIdle(i.id());
    failed(i, PathMonitor.Failure.CONNECT);
  }

  /**
   * Records that a request on an open connection was not answered in time, or that the connection
   * broke.
   *
   * @param relay the address of the entry that relays the connection; null for a direct one
   */
  void notAnswered(FleetInstance i, @Nullable String relay) {
    if (relay == null) {
      failed(i, PathMonitor.Failure.NO_ANSWER);
    } else {
      relays.doubted(relay, i.service());
    }
  }

  private void failed(FleetInstance i, PathMonitor.Failure failure) {
    int instances = serving(i.service()).size();
    if (monitor.failed(i.id(), i.service(), failure, instances, timers.nowMillis())) {
      view.instances().stream()
          .filter(o -> o.service().equals(i.service()))
          .forEach(o -> pool.closeIdle(o.id()));
      LOG.atWarn()
          .addKeyValue("service", i.service())
          .addKeyValue("instance", i.id())
          .addKeyValue("failure", failure)
          .addKeyValue("instances", instances)
          .log("no instance of a service can be reached");
    }
  }

  /** Returns the instances to which requests of a service may be sent. */
  private List<String> serving(String service) {
    return view.instances().stream()
        .filter(i -> i.service().equals(service) && i.phase() == InstancePhase.READY)
        .filter(i -> i.group() == null || i.servesGroup())
        .map(FleetInstance::id)
        .toList();
  }

  /**
   * Records that bytes of an instance arrived.
   *
   * @param relay the address of the entry that relays the connection; null for a direct one
   */
  void progressed(FleetInstance i, @Nullable String relay) {
    if (relay != null) {
      relays.worked(relay, i.service());
    } else if (monitor.progressed(i.service())) {
      logRegained(i);
    }
  }

  /** Returns what learns of an entry that relays a connection to an instance. */
  RelayObserver observe(String relay, FleetInstance i) {
    return new RelayObserver() {
      @Override
      public void answered(RelayStatus status) {
        relayAnswered(relay, i, status);
      }

      @Override
      public void lost() {
        relays.failed(relay, i.service(), timers.nowMillis());
      }
    };
  }

  private void relayAnswered(String relay, FleetInstance i, RelayStatus status) {
    switch (status) {
      case CONNECTED -> relays.worked(relay, i.service());
      case UNREACHABLE -> {
        relays.doubted(relay, i.service());
        monitor.failedElsewhere(i.id());
      }
      default -> relays.failed(relay, i.service(), timers.nowMillis());
    }
  }

  /** Forgets instances that have left, and probes a path that was lost if it is time. */
  void check(long now) {
    monitor.retain(id -> view.instance(id) != null);
    String id = monitor.dueProbe(this::serving, now);
    FleetInstance i = id == null ? null : view.instance(id);
    if (i != null) {
      pool.probe(ReplicaDirectory.address(i.address())).thenAccept(ok -> probed(i, ok));
    }
  }

  private void probed(FleetInstance i, boolean reached) {
    if (!reached) {
      connectFailed(i);
      return;
    }
    monitor.probeSucceeded(timers.nowMillis());
    if (monitor.connected(i.id(), i.service())) {
      logRegained(i);
    }
  }

  private static void logRegained(FleetInstance i) {
    LOG.atInfo()
        .addKeyValue("service", i.service())
        .addKeyValue("instance", i.id())
        .log("instances of a service can be reached again");
  }
}
