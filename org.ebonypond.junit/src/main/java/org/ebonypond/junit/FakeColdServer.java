package org.ebonypond.junit;

import java.util.function.LongSupplier;
import org.ebonypond.lease.CeilingRamp;
import org.ebonypond.lease.ShareTarget;
import org.ebonypond.time.TimerService;

/**
 * A backend server with a concurrency ceiling that rises while it warms up. A real one would fail
 * above the ceiling; this one counts these overloads and keeps serving, so that a run shows them
 * all.
 */
public final class FakeColdServer {
  private final TimerService timers;
  private final String name;
  private final int coldCeiling;
  private final int maxConcurrency;
  private final long warmMillis;
  private final LongSupplier workMillis;
  private long readyMillis;
  private int bootNumber = 1;
  private int active;
  private int overloads;
  private int served;

  /** Receives the end of a request. */
  public interface Client {
    /** Called when the server has run the request, or refused it for another boot identity. */
    void ended();
  }

  /**
   * Creates a server that becomes ready now.
   *
   * @param workMillis supplies the duration of each request, in milliseconds
   */
  public FakeColdServer(
      TimerService timers,
      String name,
      int coldCeiling,
      int maxConcurrency,
      long warmMillis,
      LongSupplier workMillis) {
    this.timers = timers;
    this.name = name;
    this.coldCeiling = coldCeiling;
    this.maxConcurrency = maxConcurrency;
    this.warmMillis = warmMillis;
    this.workMillis = workMillis;
    this.readyMillis = timers.nowMillis();
  }

  /** Restarts without notice: drops all requests and is cold, with a new boot identity. */
  public void restart() {
    bootNumber++;
    active = 0;
    readyMillis = timers.nowMillis();
  }

  /** Returns the name and the current boot identity. */
  public ShareTarget target() {
    return new ShareTarget(name, "boot-" + bootNumber);
  }

  /** Returns the ramp as seen by a leader that learns of the readiness now. */
  public CeilingRamp ramp() {
    return new CeilingRamp(coldCeiling, maxConcurrency, warmMillis, timers.nowMillis());
  }

  /** Receives a request with the boot identity that its sender expects. */
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
    int startedBoot = bootNumber;
    timers.after(
        workMillis.getAsLong(),
        () -> {
          if (startedBoot == bootNumber) {
            active--;
            served++;
            client.ended();
          }
        });
  }

  /** Returns the number of running requests. */
  public int active() {
    return active;
  }

  /** Returns the number of requests received above the ceiling. */
  public int overloads() {
    return overloads;
  }

  /** Returns the number of completed requests. */
  public int served() {
    return served;
  }
}
