package org.ebonypond.junit.http;

import java.util.function.Supplier;

/**
 * The boot identity, warm-up, overload and injected faults of a simulated backend server. Not
 * thread-safe. Times are monotonic milliseconds.
 */
public final class Lifecycle {
  private final Supplier<String> bootIdentities;
  private final ColdCeiling ceiling;
  private final long downMillis;
  private String boot;
  private long coldSince;
  private long downUntil = Long.MIN_VALUE;
  private long overloads;
  private double slowFactor = 1;
  private long slowUntil = Long.MIN_VALUE;
  private long mutedUntil = Long.MIN_VALUE;
  private boolean leaving;
  private long leavingSince;

  /**
   * Creates the state of a server that starts cold.
   *
   * @param bootIdentities supplies the boot identity of each start
   * @param ceiling the concurrency ceiling during the warm-up
   * @param downMillis how long the server is down after an overload, in milliseconds
   * @param now the time of the start, in monotonic milliseconds
   */
  public Lifecycle(
      Supplier<String> bootIdentities, ColdCeiling ceiling, long downMillis, long now) {
    this.bootIdentities = bootIdentities;
    this.ceiling = ceiling;
    this.downMillis = downMillis;
    this.boot = bootIdentities.get();
    this.coldSince = now;
  }

  /** Returns the boot identity. */
  public String boot() {
    return boot;
  }

  /** Returns whether the server is down after an overload and drops all connections. */
  public boolean down(long now) {
    return now < downUntil;
  }

  /** Restarts the warm-up with the same boot identity, as after loading a model. */
  public void coldStart(long now) {
    coldSince = now;
  }

  /** Returns the number of requests above which the server goes down. */
  public int ceiling(long now) {
    return ceiling.at(now - coldSince);
  }

  /**
   * Takes the server down if its load is above the ceiling.
   *
   * @param active the requests in flight, including the new one
   * @param now monotonic milliseconds
   * @return whether the server went down; if so, it has a new boot identity
   */
  public boolean failIfOverloaded(int active, long now) {
    if (down(now) || active <= ceiling(now)) {
      return false;
    }
    overloads++;
    boot = bootIdentities.get();
    downUntil = now + downMillis;
    coldSince = downUntil;
    return true;
  }

  /** Restarts the server with a new boot identity and without downtime. */
  public void restart(long now) {
    boot = bootIdentities.get();
    downUntil = Long.MIN_VALUE;
    coldSince = now;
  }

  /** Slows the server down by a factor until a time. */
  public void slow(double factor, long until) {
    slowFactor = factor;
    slowUntil = until;
  }

  /** Returns the factor by which the server is slowed down, 1 if it is not. */
  public double slowFactor(long now) {
    return now < slowUntil ? slowFactor : 1;
  }

  /** Suppresses announcements until a time. Requests are still served. */
  public void mute(long until) {
    mutedUntil = until;
  }

  /** Returns whether the server sends announcements. */
  public boolean announces(long now) {
    return !down(now) && now >= mutedUntil;
  }

  /** Sets the server to leaving. It still serves requests. */
  public void leave(long now) {
    if (!leaving) {
      leaving = true;
      leavingSince = now;
    }
  }

  /** Returns whether the server is leaving. */
  public boolean leaving() {
    return leaving;
  }

  /** Returns how long the server has been leaving, in milliseconds; 0 if it is not. */
  public long leavingFor(long now) {
    return leaving ? now - leavingSince : 0;
  }

  /** Returns how often the server went down because of an overload. */
  public long overloads() {
    return overloads;
  }

  /** Sets the overload count to 0 and ends the injected faults. */
  public void reset() {
    overloads = 0;
    slowUntil = Long.MIN_VALUE;
    mutedUntil = Long.MIN_VALUE;
  }
}
