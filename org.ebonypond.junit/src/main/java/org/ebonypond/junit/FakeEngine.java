package org.ebonypond.junit;

import java.util.List;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.group.EngineOrder;
import org.ebonypond.group.EngineState;
import org.ebonypond.group.EngineStatus;
import org.ebonypond.group.InstanceAnnouncement;

/** An engine instance on manual time. It loads for a fixed time and may ignore fencing numbers. */
public final class FakeEngine {
  private final String name;
  private final String zone;
  private final String domain;
  private final String kind;
  private final boolean checksFencing;
  private final long loadMillis;
  private int bootNumber = 1;
  private boolean running = true;
  private boolean leaving;
  private EngineOrder assignment = NO_ASSIGNMENT;
  private long readyAt;
  private long fencing;

  private static final EngineOrder NO_ASSIGNMENT =
      new EngineOrder(0, EngineOrder.Type.UNLOAD, "", "", List.of(), "", -1, List.of());

  /**
   * Creates a running engine with nothing loaded.
   *
   * @param name the instance's name
   * @param zone the availability zone
   * @param domain the fabric domain
   * @param kind the engine kind
   * @param checksFencing whether it refuses orders with an old fencing number
   * @param loadMillis the time to load a model, in milliseconds
   */
  public FakeEngine(
      String name,
      String zone,
      String domain,
      String kind,
      boolean checksFencing,
      long loadMillis) {
    this.name = name;
    this.zone = zone;
    this.domain = domain;
    this.kind = kind;
    this.checksFencing = checksFencing;
    this.loadMillis = loadMillis;
  }

  /** Returns the instance's name. */
  public String name() {
    return name;
  }

  /** Returns the availability zone. */
  public String zone() {
    return zone;
  }

  /** Returns the fabric domain. */
  public String domain() {
    return domain;
  }

  /** Returns the boot identity. */
  public String boot() {
    return name + "-boot-" + bootNumber;
  }

  /** Returns whether the process runs. */
  public boolean isRunning() {
    return running;
  }

  /** Stops the process, which unloads the model. */
  public void stop() {
    running = false;
  }

  /** Starts the process, or restarts it without notice, with a new boot identity. */
  public void restart() {
    running = true;
    leaving = false;
    bootNumber++;
    assignment = NO_ASSIGNMENT;
    fencing = 0;
  }

  /** Makes later announcements and states report that the instance is leaving. */
  public void leave() {
    leaving = true;
  }

  /**
   * Executes an order.
   *
   * @return whether the order was accepted
   */
  public boolean order(EngineOrder o, long now) {
    if (checksFencing && o.fencing() < fencing) {
      return false;
    }
    boolean loaded = now >= readyAt && assignment.model().equals(o.model());
    if (o.type() == EngineOrder.Type.ROLE
        && !(loaded && assignment.version().equals(o.version()))) {
      return false;
    }
    fencing = o.fencing();
    if (o.type() == EngineOrder.Type.UNLOAD) {
      assignment = NO_ASSIGNMENT;
      return true;
    }
    assignment = o;
    readyAt = o.type() == EngineOrder.Type.LOAD ? now + loadMillis : readyAt;
    return true;
  }

  /** Returns the answer to a read of the state. */
  public EngineState state(long now) {
    return new EngineState(
        name,
        boot(),
        status(now),
        assignment.group(),
        assignment.rank(),
        assignment.members(),
        assignment.model(),
        assignment.version(),
        fencing);
  }

  /** Returns the announcement for the current state. */
  public InstanceAnnouncement announcement(long now) {
    return new InstanceAnnouncement(
        name,
        boot(),
        name + ":9000",
        zone,
        domain,
        InstanceKind.ENGINE,
        kind,
        status(now),
        assignment.group(),
        fencing,
        0);
  }

  private EngineStatus status(long now) {
    if (leaving) {
      return EngineStatus.LEAVING;
    }
    if (assignment.model().isEmpty()) {
      return EngineStatus.IDLE;
    }
    return now >= readyAt ? EngineStatus.READY : EngineStatus.LOADING;
  }
}
