package org.ebonypond.junit;

import java.util.function.LongSupplier;
import org.ebonypond.lease.CeilingRamp;
import org.ebonypond.lease.ShareTarget;
import org.ebonypond.time.TimerService;

/**
 * A backend server that fails when it gets more requests than its ceiling while it starts. Instead
 * of failing it counts these overloads and goes on, so that a run shows how many there were.
 */
public final class FakeColdServer {
  private final TimerService timers;
  private final String name;
  private final int coldCeiling;
  private final int maxConcurrency;
  private final long warmMillis;
  private final LongSupplier work;
  private long readyMillis;
  private int boot = 1;
  private int active;
  private int overloads;
  private int served;

  /** Takes the end of a request. */
  public interface Client {
    /** The server ran the request, or refused it because its boot identity differs. */
    void ended();
  }

  /**
   * Creates a server that is ready now.
   *
   * @param work the time that each request takes, in milliseconds
   */
  public FakeColdServer(
      TimerService timers,
      String name,
      int coldCeiling,
      int maxConcurrency,
      long warmMillis,
      LongSupplier work) {
    this.timers = timers;
    this.name = name;
    this.coldCeiling = coldCeiling;
    this.maxConcurrency = maxConcurrency;
    this.warmMillis = warmMillis;
    this.work = work;
    this.readyMillis = timers.nowMillis();
  }

  /** Restarts without warning: drops all requests and is cold again under a new boot identity. */
  public void restart() {
    boot++;
    active = 0;
    readyMillis = timers.nowMillis();
  }

  /** Returns the current boot. */
  public ShareTarget target() {
    return new ShareTarget(name, "boot-" + boot);
  }

  /** Returns the ramp as a leader sees it that learns of the readiness now. */
  public CeilingRamp ramp() {
    return new CeilingRamp(coldCeiling, maxConcurrency, warmMillis, timers.nowMillis());
  }

  /** Takes a request that names the boot identity that its sender expects. */
  public void offer(ShareTarget expected, Client client) {
    if (!expected.equals(target())) {
      client.ended();
      return;
    }
    long now = timers.nowMillis();
    CeilingRamp r = new CeilingRamp(coldCeiling, maxConcurrency, warmMillis, readyMillis);
    if (!r.isWarm(now) && active >= r.at(now)) {
      overloads++;
    }
    active++;
    int startedAt = boot;
    timers.after(
        work.getAsLong(),
        () -> {
          if (startedAt == boot) {
            active--;
            served++;
            client.ended();
          }
        });
  }

  /** Returns the requests that run. */
  public int active() {
    return active;
  }

  /** Returns the requests that came above the ceiling. */
  public int overloads() {
    return overloads;
  }

  /** Returns the requests that were served. */
  public int served() {
    return served;
  }
}
