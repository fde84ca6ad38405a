package org.ebonypond.server.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ebonypond.consensus.CommittedEntries;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.Membership;
import org.ebonypond.consensus.Snapshot;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.junit.consensus.RecordingEvents;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class ViewFollowerTest {
  private static final Map<String, String> VOTERS = Map.of("r0", "i0", "r1", "i1", "r2", "i2");

  private final ManualTimerService timers = new ManualTimerService();
  private final FakeWallClock wallClock = new FakeWallClock(timers);
  private final ManualPeers peers = new ManualPeers();
  private final RecordingEvents events = new RecordingEvents();
  private final ViewFollower follower =
      new ViewFollower(
          peers,
          timers,
          wallClock.newDetector(),
          events,
          ManualPeers.REPLICAS,
          () -> new EntryInfo("e1", "z", "127.0.0.1:1", true, 1),
          List::of);

  private static byte[] register(long index) {
    ControlCommand c =
        new ControlCommand.RegisterInstance(
            "i" + index, "b", "127.0.0.1:1", "z", "d", InstanceKind.ENGINE, "batcher");
    return MessagePackCodec.encode(c);
  }

  private static CommittedEntries entries(long from, long to, long applied) {
    List<LogEntry> out = new ArrayList<>();
    for (long i = from; i <= to; i++) {
      out.add(new LogEntry(i, 1, EntryType.COMMAND, register(i)));
    }
    return new CommittedEntries(null, out, applied);
  }

  private static ViewPollResult result(boolean voter, long durable, CommittedEntries c) {
    return new ViewPollResult(voter, VOTERS, 0, durable, null, c, null);
  }

  private ManualPeers.Request request(int number) {
    return peers.requests.get(number);
  }

  private int instances() {
    return follower.view().instances().size();
  }

  /** Guards against a view that steps back or skips entries when replies arrive out of order. */
  @Test
  void appliesRepliesInAnyOrderWithoutGaps() {
    follower.poll();
    request(0).reply(result(true, 4, entries(3, 4, 4)));
    assertEquals(0, instances());
    request(1).reply(result(true, 3, entries(1, 3, 3)));
    assertEquals(3, instances());
    request(2).reply(result(true, 2, entries(1, 2, 2)));
    assertEquals(3, instances());
    follower.poll();
    ViewPoll next = MessagePackCodec.decode(peers.last().payload(), ViewPoll.class);
    assertEquals(3, next.appliedIndex());
    peers.last().reply(result(true, 4, entries(4, 4, 4)));
    assertEquals(4, instances());
  }

  @Test
  void appliesOnlyNewerSnapshotsAndPollsForTheRest() {
    ControlState state = new ControlState(EventSink.NONE);
    for (long i = 1; i <= 5; i++) {
      state.apply(i, register(i));
    }
    Snapshot s = new Snapshot(5, 1, Membership.NONE, state.snapshot());
    follower.poll();
    request(0).reply(result(true, 8, new CommittedEntries(s, entries(6, 6, 8).entries(), 8)));
    assertEquals(6, instances());
    assertEquals(4, peers.requests.size());
    request(1).reply(result(true, 5, new CommittedEntries(s, List.of(), 5)));
    assertEquals(6, instances());
    request(3).reply(result(true, 8, entries(7, 8, 8)));
    assertEquals(8, instances());
  }

  /**
   * Guards against new work by a view from before a suspension: an availability zone that was taken
   * out of service meanwhile would receive requests.
   */
  @Test
  void leaseLapsesWithSuspension() {
    timers.advance(1_000);
    follower.poll();
    request(0).reply(result(true, 1, entries(1, 1, 1)));
    request(1).reply(result(true, 1, entries(1, 1, 1)));
    assertTrue(follower.mayStart());
    follower.poll();
    wallClock.suspend(5_000);
    assertFalse(follower.mayStart());
    request(3).reply(result(true, 1, entries(1, 1, 1)));
    request(4).reply(result(true, 1, entries(1, 1, 1)));
    assertFalse(follower.mayStart(), "replies to a poll from before the suspension");
    timers.advance(1);
    follower.poll();
    request(6).reply(result(true, 1, entries(1, 1, 1)));
    request(7).reply(result(true, 1, entries(1, 1, 1)));
    assertTrue(follower.mayStart());
  }

  /** Guards against a lease that learners, old polls or a single voter renew on a stale view. */
  @Test
  void holdsTheLeaseOnlyWithAnAppliedMajorityOfVoters() {
    follower.poll();
    request(0).reply(result(true, 1, entries(1, 1, 1)));
    request(1).reply(result(false, 1, entries(1, 1, 1)));
    assertFalse(follower.mayStart());
    request(2).reply(result(true, 1, entries(1, 1, 1)));
    assertTrue(follower.mayStart());

    timers.advance(2_999);
    assertTrue(follower.mayStart());
    timers.advance(1);
    assertFalse(follower.mayStart());
    follower.poll();
    assertEquals(1, events.count(EventCode.VIEW_LEASE_LOST));
    timers.advance(3_000);
    request(3).reply(result(true, 1, entries(1, 1, 1)));
    request(4).reply(result(true, 1, entries(1, 1, 1)));
    assertFalse(follower.mayStart(), "replies to a poll that is older than the lease");
    follower.poll();
    request(6).fail();
    request(7).reply(result(true, 3, entries(2, 2, 3)));
    request(8).reply(result(true, 3, entries(2, 2, 3)));
    assertFalse(follower.mayStart(), "entry 3 is durable on a majority but not applied");
    request(9).reply(result(true, 3, entries(3, 3, 3)));
    assertTrue(follower.mayStart());
    assertEquals(2, events.count(EventCode.VIEW_LEASE_REGAINED));
  }

  /** Guards against a failing listener that keeps others from the view or the lease. */
  @Test
  void continuesWhenOneListenerFails() {
    List<Long> seen = new ArrayList<>();
    follower.onView(
        v -> {
          throw new IllegalStateException("test");
        });
    follower.onView(v -> seen.add(v.index()));
    follower.onDigest(
        d -> {
          throw new IllegalStateException("test");
        });
    follower.onDigest(d -> seen.add(-1L));
    follower.poll();
    ViewPollResult r = result(true, 1, entries(1, 1, 1));
    request(0).reply(withDigest(r, new LeaderDigest(List.of(), List.of())));
    request(1).reply(r);
    assertEquals(List.of(1L, -1L), seen);
    assertTrue(follower.mayStart());
  }

  private static ViewPollResult withDigest(ViewPollResult r, @Nullable LeaderDigest d) {
    return new ViewPollResult(r.voter(), r.members(), 0, r.durableIndex(), null, r.committed(), d);
  }
}
