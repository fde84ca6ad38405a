package org.ebonypond.junit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ebonypond.lease.HolderId;
import org.ebonypond.lease.ShareAllocator;
import org.ebonypond.lease.ShareHolder;
import org.ebonypond.lease.ShareRequest;
import org.ebonypond.lease.ShareTarget;

/** Entries, leaders and one starting server; their messages are subject to {@link Faults}. */
public final class ShareCluster {
  private static final long TICK_MILLIS = 10;
  private static final long REPORT_MILLIS = 500;

  /** The maximum time for which a deposed leader keeps working: the election timeout. */
  private static final int OVERLAP_MILLIS = 1_000;

  private final ManualTimerService timers = new ManualTimerService();
  private final Random random;
  private final Faults faults;
  private final FakeColdServer server;
  private final List<SimulatedShareEntry> entries = new ArrayList<>();
  private ShareAllocator leader;
  private long term = 1;
  private int nextEntry;
  private boolean trustNewLeaders;

  /**
   * Creates a cluster without entries whose server has just become ready.
   *
   * @param seed the seed of all choices
   * @param coldCeiling the concurrency ceiling of the server when it becomes ready
   * @param warmMillis the time from readiness until it is warm, in milliseconds
   * @param workMillis the bound of the random part of a request's duration, in milliseconds; the
   *     constant part is 10 ms
   */
  public ShareCluster(long seed, int coldCeiling, long warmMillis, int workMillis) {
    random = new Random(seed);
    faults = new Faults(timers, new Random(seed + 1));
    server =
        new FakeColdServer(
            timers, "s", coldCeiling, 32, warmMillis, () -> 10 + random.nextInt(workMillis));
    leader = new ShareAllocator(term, -10_000);
    leader.addTarget(server.target(), server.ramp(), true);
    timers.every(TICK_MILLIS, () -> entries.forEach(SimulatedShareEntry::work));
    timers.every(ShareHolder.RENEW_MILLIS, this::renew);
    timers.every(REPORT_MILLIS, this::report);
    timers.every(100, () -> leader.lapse(timers.nowMillis()));
  }

  /** Lets new leaders grant shares immediately, for tests of variants that must fail. */
  public void trustNewLeaders() {
    trustNewLeaders = true;
  }

  /** Adds an entry. */
  public SimulatedShareEntry addEntry() {
    int n = nextEntry++;
    SimulatedShareEntry e =
        new SimulatedShareEntry(new HolderId("e" + n, 1), timers, random, server);
    entries.add(e);
    return e;
  }

  /** Restarts the server without notice; the leader and the entries learn of it later. */
  public void restartServer() {
    server.restart();
    ShareTarget t = server.target();
    timers.after(
        50 + random.nextInt(300),
        () -> {
          if (t.equals(server.target())) {
            leader.addTarget(t, server.ramp(), true);
            entries.forEach(e -> timers.after(random.nextInt(500), () -> e.onView(t)));
          }
        });
  }

  /** Makes the server unreachable for the leader, which removes it and adds it again later. */
  public void removeAndAddServer() {
    ShareTarget t = server.target();
    leader.removeTarget(t.name(), timers.nowMillis());
    timers.after(
        random.nextInt(3_000),
        () -> {
          if (t.equals(server.target())) {
            leader.addTarget(t, server.ramp(), false);
          }
        });
  }

  /** Elects a new leader; the old one keeps working for up to one election timeout. */
  public void electLeader() {
    long now = timers.nowMillis();
    ShareAllocator next = new ShareAllocator(++term, trustNewLeaders ? now - 10_000 : now);
    next.addTarget(server.target(), server.ramp(), trustNewLeaders);
    ShareAllocator old = leader;
    leader = next;
    for (SimulatedShareEntry e : entries) {
      if (random.nextBoolean()) {
        timers.after(random.nextInt(OVERLAP_MILLIS), () -> send(e, old));
      }
    }
  }

  /** Returns the timers. */
  public ManualTimerService timers() {
    return timers;
  }

  /** Returns the faults of messages between entries and leaders. */
  public Faults faults() {
    return faults;
  }

  /** Returns the server. */
  public FakeColdServer server() {
    return server;
  }

  /** Returns the leader. */
  public ShareAllocator leader() {
    return leader;
  }

  /** Returns the mutable list of the entries. */
  public List<SimulatedShareEntry> entries() {
    return entries;
  }

  private void renew() {
    entries.forEach(e -> send(e, leader));
  }

  private void send(SimulatedShareEntry e, ShareAllocator to) {
    if (!e.isRunning()) {
      return;
    }
    ShareRequest request = e.request();
    if (!e.isConnected()) {
      return;
    }
    faults.deliver(
        () ->
            to.onRequest(request, timers.nowMillis())
                .forEach(
                    g ->
                        faults.deliver(
                            () -> {
                              if (e.isConnected()) {
                                e.onGrant(g, () -> send(e, leader));
                              }
                            })));
  }

  private void report() {
    ShareTarget t = server.target();
    long measured = timers.nowMillis();
    int active = server.active();
    faults.deliver(
        () -> {
          leader.onLoad(t, measured, active);
          entries.forEach(e -> e.onLoad(t, measured, active));
        });
  }
}
