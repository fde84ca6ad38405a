package org.ebonypond.junit;

import java.util.Random;
import org.ebonypond.lease.HolderId;
import org.ebonypond.lease.ShareGrant;
import org.ebonypond.lease.ShareHolder;
import org.ebonypond.lease.ShareRequest;
import org.ebonypond.lease.ShareTarget;

/**
 * An entry that sends requests to one {@link FakeColdServer} within its shares. It can be killed,
 * frozen and disconnected from the leader; its requests at the server continue.
 */
public final class SimulatedShareEntry {
  private static final int MAX_WAITING = 20;

  private final ManualTimerService timers;
  private final Random random;
  private final FakeColdServer server;
  private final ShareHolder holder;
  private ShareTarget knownTarget;
  private boolean alive = true;
  private boolean cutOff;
  private boolean hasCallers = true;
  private long frozenUntil;
  private int waiting;
  private double breakRate;

  /** Creates a running entry that knows the server's current boot identity. */
  public SimulatedShareEntry(
      HolderId id, ManualTimerService timers, Random random, FakeColdServer server) {
    this.timers = timers;
    this.random = random;
    this.server = server;
    this.holder = new ShareHolder(id);
    this.knownTarget = server.target();
    holder.onBoot(knownTarget);
  }

  /** Sets the fraction, from 0 to 1, of connections that fail after the request was written. */
  public void setBreakRate(double rate) {
    breakRate = rate;
  }

  /** Sets whether callers send requests. */
  public void setHasCallers(boolean value) {
    hasCallers = value;
  }

  /** Sets whether messages to and from the leader are lost. */
  public void setCutOff(boolean value) {
    cutOff = value;
  }

  /** Kills the process. */
  public void kill() {
    alive = false;
  }

  /** Freezes the process; events are handled when it resumes. */
  public void freeze(long millis) {
    frozenUntil = Math.max(frozenUntil, timers.nowMillis() + millis);
  }

  /** Returns whether messages from the leader arrive. */
  public boolean isConnected() {
    return alive && !cutOff;
  }

  /** Returns whether the process is neither killed nor frozen. */
  public boolean isRunning() {
    return alive && timers.nowMillis() >= frozenUntil;
  }

  /** Returns the holder of the shares. */
  public ShareHolder holder() {
    return holder;
  }

  /** Receives the registered boot identity of the server, as from the control view. */
  public void onView(ShareTarget target) {
    whenRunning(
        () -> {
          knownTarget = target;
          holder.onBoot(target);
        });
  }

  /**
   * Receives a grant.
   *
   * @param renew sends the next request, called if it must be sent immediately
   */
  public void onGrant(ShareGrant grant, Runnable renew) {
    whenRunning(
        () -> {
          if (holder.onGrant(grant)) {
            renew.run();
          }
        });
  }

  /** Receives a load report. */
  public void onLoad(ShareTarget target, long measuredMillis, int active) {
    whenRunning(() -> holder.onLoad(target, measuredMillis, active));
  }

  /** Builds the next request to the leader. */
  public ShareRequest request() {
    holder.setWaiting(knownTarget, waiting);
    return holder.request(timers.nowMillis());
  }

  /** Starts as many requests as the shares allow. */
  public void work() {
    if (!isRunning()) {
      return;
    }
    waiting = hasCallers ? Math.min(MAX_WAITING, waiting + random.nextInt(2)) : 0;
    while (waiting > 0 && holder.tryStart(knownTarget, timers.nowMillis())) {
      waiting--;
      send(knownTarget);
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
                        1 + random.nextInt(5), () -> whenRunning(() -> holder.finished(target)));
                  }
                }));
    if (breaks) {
      timers.after(10, () -> whenRunning(() -> holder.lost(target, timers.nowMillis())));
    }
  }

  private void whenRunning(Runnable event) {
    if (!alive) {
      return;
    }
    if (timers.nowMillis() >= frozenUntil) {
      event.run();
    } else {
      timers.after(frozenUntil - timers.nowMillis(), () -> whenRunning(event));
    }
  }
}
