package org.ebonypond.junit;

import java.util.Random;
import org.ebonypond.lease.HolderId;
import org.ebonypond.lease.ShareGrant;
import org.ebonypond.lease.ShareHolder;
import org.ebonypond.lease.ShareRequest;
import org.ebonypond.lease.ShareTarget;

/**
 * An entry that sends requests to one {@link FakeColdServer} under its shares. It can be killed,
 * frozen and cut off from the leader; its requests at the server go on.
 */
public final class SimulatedShareEntry {
  private static final int MAX_WAITING = 20;

  private final ManualTimerService timers;
  private final Random random;
  private final FakeColdServer server;
  private final ShareHolder holder;
  private ShareTarget known;
  private boolean alive = true;
  private boolean cutOff;
  private boolean wanted = true;
  private long frozenUntil;
  private int waiting;
  private double breakRate;

  /** Creates an entry that runs and knows the server's current boot. */
  public SimulatedShareEntry(
      HolderId id, ManualTimerService timers, Random random, FakeColdServer server) {
    this.timers = timers;
    this.random = random;
    this.server = server;
    this.holder = new ShareHolder(id);
    this.known = server.target();
    holder.onBoot(known);
  }

  /** Sets the part of connections that fail after the request was written. */
  public void setBreakRate(double rate) {
    breakRate = rate;
  }

  /** Sets whether callers send requests. */
  public void setHasCallers(boolean value) {
    wanted = value;
  }

  /** Sets whether messages to and from the leader are lost. */
  public void setCutOff(boolean value) {
    cutOff = value;
  }

  /** Kills the process. */
  public void kill() {
    alive = false;
  }

  /** Freezes the process: what happens meanwhile is handled when it wakes. */
  public void freeze(long millis) {
    frozenUntil = Math.max(frozenUntil, timers.nowMillis() + millis);
  }

  /** Returns whether messages of the leader arrive. */
  public boolean isConnected() {
    return alive && !cutOff;
  }

  /** Returns whether the process runs now. */
  public boolean isRunning() {
    return alive && timers.nowMillis() >= frozenUntil;
  }

  /** Returns the shares. */
  public ShareHolder holder() {
    return holder;
  }

  /** Learns the boot identity that is registered, as from the control view. */
  public void onView(ShareTarget target) {
    whenAwake(
        () -> {
          known = target;
          holder.onBoot(target);
        });
  }

  /**
   * Takes a grant.
   *
   * @param renew sends the next request, if it must go out at once
   */
  public void onGrant(ShareGrant grant, Runnable renew) {
    whenAwake(
        () -> {
          if (holder.onGrant(grant)) {
            renew.run();
          }
        });
  }

  /** Takes a load report. */
  public void onLoad(ShareTarget target, long measuredMillis, int active) {
    whenAwake(() -> holder.onLoad(target, measuredMillis, active));
  }

  /** Builds the next request to the leader. */
  public ShareRequest request() {
    holder.setWaiting(known, waiting);
    return holder.request(timers.nowMillis());
  }

  /** Starts as many requests as the shares allow. */
  public void work() {
    if (!isRunning()) {
      return;
    }
    waiting = wanted ? Math.min(MAX_WAITING, waiting + random.nextInt(2)) : 0;
    while (waiting > 0 && holder.tryStart(known, timers.nowMillis())) {
      waiting--;
      send(known);
    }
  }

  private void send(ShareTarget target) {
    boolean breaks = random.nextDouble() < breakRate;
    timers.after(
        1 + random.nextInt(5),
        () ->
            server.offer(
                target,
                () -> {
                  if (!breaks) {
                    timers.after(
                        1 + random.nextInt(5), () -> whenAwake(() -> holder.finished(target)));
                  }
                }));
    if (breaks) {
      timers.after(10, () -> whenAwake(() -> holder.lost(target, timers.nowMillis())));
    }
  }

  private void whenAwake(Runnable event) {
    if (!alive) {
      return;
    }
    if (timers.nowMillis() >= frozenUntil) {
      event.run();
    } else {
      timers.after(frozenUntil - timers.nowMillis(), () -> whenAwake(event));
    }
  }
}
