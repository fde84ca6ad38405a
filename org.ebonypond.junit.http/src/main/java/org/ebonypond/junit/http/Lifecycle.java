package org.ebonypond.junit.http;

import java.util.function.Supplier;

/**
 * The boot identity, cold start, overload and injected faults of one backend server. Not
 * thread-safe; times are monotonic milliseconds.
 */
public final class Lifecycle {
  private final Supplier<String> boots;
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
   * @param boots supplies boot identities
   * @param ceiling the cold-start ceiling
   * @param downMillis how long the server fails everything after an overload, in milliseconds
   * @param now the time of the start
   */
  public Lifecycle(Supplier<String> boots, ColdCeiling ceiling, long downMillis, long now) {
    this.boots = boots;
    this.ceiling = ceiling;
    this.downMillis = downMillis;
    this.boot = boots.get();
    this.coldSince = now;
  }

  /** Returns the boot identity. */
  public String boot() {
    return boot;
  }

  /** Returns whether the server fails everything. */
  public boolean down(long now) {
    return now < downUntil;
  }

  /** Begins a cold start without a new boot identity, as after loading a model. */
  public void coldStart(long now) {
    coldSince = now;
  }

  /** Returns the number of requests that the server sustains. */
  public int ceiling(long now) {
    return ceiling.at(now - coldSince);
  }

  /**
   * Checks the load and fails the server when it is above the ceiling.
   *
   * @param active the requests in flight, including the new one
   * @param now the time
   * @return whether the server has failed; it has a new boot identity then
   */
  public boolean failIfOverloaded(int active, long now) {
    if (down(now) || active <= ceiling(now)) {
      return false;
    }
    overloads++;
    boot = boots.get();
    downUntil = now + downMillis;
    coldSince = downUntil;
    return true;
  }

  /** Restarts the server without down time. */
  public void restart(long now) {
    boot = boots.get();
    downUntil = Long.MIN_VALUE;
    coldSince = now;
  }

  /** Slows the server down by a factor until a time. */
  public void slow(double factor, long until) {
    slowFactor = factor;
    slowUntil = until;
  }

  /** Returns the factor by which the server is slower than usual. */
  public double slowFactor(long now) {
    return now < slowUntil ? slowFactor : 1;
  }

  /** Stops announcements until a time; requests are still served. */
  public void mute(long until) {
    mutedUntil = until;
  }

  /** Returns whether announcements are due. */
  public boolean announces(long now) {
    return !down(now) && now >= mutedUntil;
  }

  /** Begins to leave; the server still serves. */
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

  /** Returns how often the server failed because of its load. */
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
