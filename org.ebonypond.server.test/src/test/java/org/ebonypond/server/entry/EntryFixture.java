package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.ebonypond.admission.RetryBudget;
import org.ebonypond.admission.ServiceRates;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.document.LimitsSpec;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.document.ServiceSpec;
import org.ebonypond.document.WorkspaceSpec;
import org.ebonypond.events.EventSink;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.routing.LeastOutstandingPolicy;
import org.ebonypond.routing.Router;
import org.ebonypond.routing.RouterSettings;
import org.ebonypond.routing.RouterState;
import org.ebonypond.routing.SlotLimiter;
import org.ebonypond.routing.Target;
import org.ebonypond.server.control.EntryInfo;
import org.ebonypond.server.control.ViewFollower;
import org.ebonypond.server.http.Problem;
import org.jspecify.annotations.Nullable;

/** The components of an entry on a manual clock, with groups g0, g1, ... of one instance each. */
final class EntryFixture implements SlotLimiter {
  static final String MODEL = "drafter";
  static final String SERVICE = "orders";

  final ManualTimerService timers;
  final FakePeers peers;
  final FakeEngines engines = new FakeEngines();
  final RouterState routing = RouterState.create();
  final ViewFollower follower;
  final Router router;
  final RequestGate gate;
  final EntryParts parts;
  private final Map<String, InstanceRecord> instances = new HashMap<>();
  private final Map<String, GroupRecord> groups = new HashMap<>();
  private final Set<String> targetKeys = new HashSet<>();
  private final int maxConcurrency;
  private boolean declared = true;
  private long index;
  private long nextId;
  private int slots;

  /** Number of slots that were released as lost: the engines may still run their requests. */
  int lost;

  EntryFixture(int groupCount, int maxConcurrency, long seed) {
    this(new ManualTimerService(), groupCount, maxConcurrency, seed);
  }

  EntryFixture(ManualTimerService timers, int groupCount, int maxConcurrency, long seed) {
    this.timers = timers;
    this.peers = new FakePeers(timers);
    this.follower =
        new ViewFollower(
            peers,
            timers,
            new FakeWallClock(timers).newDetector(),
            EventSink.NONE,
            FakePeers.REPLICAS,
            () -> new EntryInfo("e1", "z", "127.0.0.1:1", true, 1),
            List::of);
    this.maxConcurrency = maxConcurrency;
    this.router =
        new Router(
            RouterSettings.of("e1", "z"),
            new LeastOutstandingPolicy(),
            routing,
            this,
            EventSink.NONE,
            new SplittableRandom(seed));
    this.gate = new RequestGate(router, new ServiceRates(), timers);
    this.parts =
        new EntryParts(
            timers,
            EventSink.NONE,
            follower,
            gate,
            routing,
            new RetryBudget(100),
            new RequestTracker(timers, 0, a -> {}),
            new MetricRegistry());
    for (int i = 0; i < groupCount; i++) {
      group("g" + i, "boot1", GroupState.READY);
    }
    for (int i = 0; i < 2; i++) {
      instance("s" + i, "boot1", InstanceKind.SERVICE, SERVICE);
    }
    follower.onView(v -> applyView());
    publish();
    follower.start();
    gate.start();
  }

  /** Changes a group; takes effect with the next {@link #publish}. */
  void group(String name, String boot, GroupState state) {
    instance(name + "a", boot, InstanceKind.ENGINE, "batcher");
    List<GroupMember> members = List.of(new GroupMember(name + "a", boot));
    groups.put(name, new GroupRecord(name, MODEL, "1", "z", "d", members, state, ++index, index));
  }

  private void instance(String name, String boot, InstanceKind kind, String flavor) {
    instances.put(
        name,
        new InstanceRecord(
            name, boot, name + ":80", "z", "d", kind, flavor, InstanceStatus.UP, ++index));
  }

  /** Clears the suspicions of the plain services, as their next announcements would. */
  void confirmServices() {
    routing.suspicion().confirmUp("s0", "boot1", timers.nowMillis());
    routing.suspicion().confirmUp("s1", "boot1", timers.nowMillis());
  }

  /** Publishes the groups in a new view through the view follower. */
  void publish() {
    peers.commit();
    follower.poll();
  }

  /** Removes the model and the service from the document. */
  void removePools() {
    declared = false;
    groups.clear();
    publish();
  }

  private void applyView() {
    List<ModelSpec> models =
        declared
            ? List.of(
                new ModelSpec(
                    MODEL, "1", List.of(), "batcher", List.of("z"), 10, 1, maxConcurrency, 2, 20))
            : List.of();
    ServiceDocument d =
        new ServiceDocument(
            1,
            models,
            declared ? List.of(new ServiceSpec(SERVICE, 2, 1, 10, List.of())) : List.of(),
            List.of(),
            List.of(new WorkspaceSpec("w", 1, 100)),
            LimitsSpec.DEFAULT,
            "");
    ControlView v = new ControlView(++index, d, "", Set.of(), instances, groups);
    router.onView(v);
    for (Target t : targets()) {
      targetKeys.add(t.key());
    }
    gate.onView(v);
  }

  private List<Target> targets() {
    List<Target> out = new ArrayList<>();
    for (List<Target> all :
        Arrays.asList(router.table().model(MODEL), router.table().service(SERVICE))) {
      if (all != null) {
        out.addAll(all);
      }
    }
    return out;
  }

  /** Starts a call whose deadline is the given number of milliseconds from now. */
  Caller call(long deadlineMillis) {
    return call(deadlineMillis, 0);
  }

  Caller call(long deadlineMillis, long firstOffset) {
    Caller c = new Caller("q" + nextId++, firstOffset);
    long deadline = timers.nowMillis() + deadlineMillis;
    CompletionRequest r =
        new CompletionRequest(c.id, "w", MODEL, "prompt", "{}", 8, true, firstOffset, 5, deadline);
    c.call = new CompletionCall(parts, engines, r, c);
    c.call.start();
    return c;
  }

  /** Checks that no request holds a slot or is queued. */
  void assertIdle() {
    timers.advance(0);
    assertEquals(0, slots, "slots in use");
    assertEquals(0, gate.waitingCount(), "waiting requests");
    for (String k : targetKeys) {
      assertEquals(0, routing.load().inFlight(k), "requests in flight at " + k);
    }
  }

  @Override
  public boolean tryAcquire(Target target, long nowMillis) {
    slots++;
    return true;
  }

  @Override
  public void release(Target target, long nowMillis) {
    slots--;
    assertTrue(slots >= 0, "a slot was released twice");
  }

  @Override
  public void lost(Target target, long nowMillis) {
    release(target, nowMillis);
    lost++;
  }

  /** A caller that checks that its chunks are in order and that its answer ends exactly once. */
  final class Caller implements CompletionSink {
    final String id;
    final List<String> chunks = new ArrayList<>();
    @Nullable Problem problem;
    @Nullable RuntimeException failure;
    Runnable onChunk = () -> {};
    Runnable onEnd = () -> {};
    boolean done;
    @Nullable CompletionCall call;
    private final long firstOffset;

    Caller(String id, long firstOffset) {
      this.id = id;
      this.firstOffset = firstOffset;
    }

    boolean ended() {
      return done || problem != null;
    }

    void disconnect() {
      if (call != null) {
        call.callerDisconnected();
      }
    }

    @Override
    public void chunk(long offset, String json) {
      assertOpen();
      assertEquals(firstOffset + chunks.size(), offset, "gap or repetition");
      assertTrue(json.contains("\"t" + offset + "\""), "wrong chunk at " + offset);
      chunks.add(json);
      onChunk.run();
    }

    @Override
    public void done() {
      assertOpen();
      done = true;
      onEnd.run();
    }

    @Override
    public void problem(Problem p) {
      assertOpen();
      problem = p;
      onEnd.run();
      if (failure != null) {
        throw failure;
      }
    }

    private void assertOpen() {
      assertFalse(ended(), "event after the end of the answer");
      // A call that holds its own lock asks the follower for the lease; the reverse can deadlock.
      assertFalse(Thread.holdsLock(follower), "a call runs under the follower's lock");
    }
  }
}
