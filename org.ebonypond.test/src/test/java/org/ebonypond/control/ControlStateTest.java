package org.ebonypond.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.ebonypond.control.ControlCommand.ApplyDocument;
import org.ebonypond.control.ControlCommand.DissolveGroup;
import org.ebonypond.control.ControlCommand.DrainGroup;
import org.ebonypond.control.ControlCommand.FormGroup;
import org.ebonypond.control.ControlCommand.GroupReady;
import org.ebonypond.control.ControlCommand.InstanceDown;
import org.ebonypond.control.ControlCommand.InstanceLeaving;
import org.ebonypond.control.ControlCommand.RegisterInstance;
import org.ebonypond.control.ControlCommand.RemoveInstance;
import org.ebonypond.control.ControlCommand.ReplaceMember;
import org.ebonypond.control.ControlCommand.SetZone;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.wire.MessagePackCodec;
import org.junit.jupiter.api.Test;

class ControlStateTest {
  private static final String DOCUMENT =
      """
      version = %d
      [[engine_kind]]
      name = "batcher"
      [[model]]
      name = "drafter"
      version = "%s"
      adapters = ["badge"]
      engine_kind = "batcher"
      zones = ["a", "b"]
      groups_per_zone = 1
      instances_per_group = 2
      max_concurrency = 16
      cold_ceiling = 2
      warm_seconds = 20
      """;

  private final ControlState state = new ControlState(EventSink.NONE);
  private long index;

  private static String document(long version, String modelVersion) {
    return DOCUMENT.formatted(version, modelVersion);
  }

  private ControlResult apply(ControlCommand c) {
    index++;
    byte[] result = state.apply(index, MessagePackCodec.encode(c));
    return MessagePackCodec.decode(result, ControlResult.class);
  }

  private void accept(ControlCommand c) {
    assertInstanceOf(ControlResult.Accepted.class, apply(c));
  }

  private ControlResult.Rejected reject(ErrorCode code, ControlCommand c) {
    ControlView before = state.view();
    ControlResult.Rejected r = assertInstanceOf(ControlResult.Rejected.class, apply(c));
    assertEquals(code, r.code(), r.message());
    ControlView after = state.view();
    assertEquals(before.groups(), after.groups());
    assertEquals(before.instances(), after.instances());
    assertEquals(before.document(), after.document());
    assertEquals(before.zonesOut(), after.zonesOut());
    return r;
  }

  private void reject(ControlCommand c) {
    reject(ErrorCode.COMMAND_REJECTED, c);
  }

  private static RegisterInstance register(String name, String boot, String zone, String domain) {
    return new RegisterInstance(
        name, boot, name + ":1", zone, domain, InstanceKind.ENGINE, "batcher");
  }

  private static FormGroup form(String group, String... members) {
    return new FormGroup(
        group,
        "drafter",
        "1",
        List.of("badge"),
        Arrays.stream(members).map(m -> new GroupMember(m, "x")).toList());
  }

  private void applyDocumentAndRegister() {
    accept(new ApplyDocument(1, document(1, "1"), "op-1"));
    for (String i : List.of("i1", "i2", "i3", "i4")) {
      accept(register(i, "x", "a", "d1"));
    }
    accept(register("i5", "x", "a", "d2"));
    accept(register("i6", "x", "b", "d1"));
  }

  private GroupRecord group(String name) {
    return state.view().groups().get(name);
  }

  private GroupRecord formReady(String name, String... members) {
    accept(form(name, members));
    accept(new GroupReady(name, group(name).epoch()));
    assertEquals(GroupState.READY, group(name).state());
    return group(name);
  }

  /** Guards against two concurrent documents with the same version that are both accepted. */
  @Test
  void acceptsOneOfTwoDocumentsWithEqualVersions() {
    accept(new ApplyDocument(1, document(1, "1"), "op-1"));
    accept(new ApplyDocument(2, document(2, "left"), "op-left"));
    ControlResult.Rejected r =
        reject(ErrorCode.VERSION_CONFLICT, new ApplyDocument(2, document(2, "right"), "op-right"));
    assertEquals(2, r.documentVersion());
    assertEquals("op-left", r.documentAuthor());
    assertTrue(r.message().contains("apply it as version 3"), r.message());
    reject(ErrorCode.VERSION_CONFLICT, new ApplyDocument(4, document(4, "1"), "op-4"));
  }

  /** Guards against a resent operation that is applied twice or is rejected as a conflict. */
  @Test
  void returnsFirstResultToResend() {
    ControlResult first = apply(new ApplyDocument(1, document(1, "1"), "op-1"));
    accept(new ApplyDocument(2, document(2, "2"), "op-2"));
    assertEquals(
        new ControlResult.Duplicate(first), apply(new ApplyDocument(1, document(1, "1"), "op-1")));
    ControlResult same = apply(new ApplyDocument(2, document(2, "2"), "op-other"));
    assertEquals(new ControlResult.Duplicate(new ControlResult.Accepted(2, 2)), same);
    assertTrue(same.inForce());
    ControlResult out = apply(new SetZone("a", true, "op-3"));
    accept(new SetZone("a", false, "op-4"));
    assertEquals(new ControlResult.Duplicate(out), apply(new SetZone("a", true, "op-3")));
    assertFalse(state.view().zonesOut().contains("a"));
  }

  /** Guards against unbounded growth of the stored operations. */
  @Test
  void removesOldestOperationsBeyondTheCapacity() {
    accept(new ApplyDocument(1, document(1, "1"), "op-1"));
    for (int i = 0; i < OperationLog.CAPACITY; i++) {
      accept(new SetZone("a", i % 2 == 0, "zone-" + i));
    }
    assertInstanceOf(ControlResult.Duplicate.class, apply(new SetZone("a", false, "zone-0")));
    accept(new SetZone("a", false, "zone-new"));
    accept(new SetZone("a", true, "zone-0"));
  }

  /** Guards against an invalid command that is partly applied. */
  @Test
  void rejectsUnknownReferences() {
    applyDocumentAndRegister();
    String unknown = document(2, "2").replace("engine_kind = \"batcher\"", "engine_kind = \"z\"");
    reject(ErrorCode.DOCUMENT_BAD_REFERENCE, new ApplyDocument(2, unknown, "op-2"));
    reject(ErrorCode.BAD_REQUEST, new ApplyDocument(2, document(3, "2"), "op-3"));
    reject(ErrorCode.UNKNOWN_ZONE, new SetZone("c", true, "op-4"));
    reject(new InstanceDown("nobody", "x", ""));
    reject(new InstanceLeaving("i1", "other"));
    reject(
        ErrorCode.UNKNOWN_MODEL,
        new FormGroup("g-1", "other", "1", List.of(), form("g-1", "i1", "i2").members()));
  }

  /** Guards against a group that serves while a member restarted or is down. */
  @Test
  void marksGroupDownInTheSameEntryAsNewBootOrDown() {
    applyDocumentAndRegister();
    final GroupRecord g = formReady("g-1", "i1", "i2");
    accept(register("i2", "y", "a", "d1"));
    assertEquals(GroupState.DOWN, group("g-1").state());
    assertEquals(index, group("g-1").epoch());
    reject(new GroupReady("g-1", g.epoch()));
    accept(new ReplaceMember("g-1", index - 1, "i2", new GroupMember("i2", "y")));
    final long epoch = group("g-1").epoch();
    reject(new GroupReady("g-1", epoch - 1));
    accept(new GroupReady("g-1", epoch));
    assertEquals(epoch, group("g-1").epoch());
    accept(new InstanceDown("i1", "x", "silent"));
    assertEquals(GroupState.DOWN, group("g-1").state());
    reject(new GroupReady("g-1", group("g-1").epoch()));
  }

  /** Guards against an instance in two groups and against groups across fabric domains. */
  @Test
  void refusesMembersThatCannotJoin() {
    applyDocumentAndRegister();
    formReady("g-1", "i1", "i2");
    reject(form("g-2", "i2", "i3"));
    reject(form("g-2", "i3", "i3"));
    reject(form("g-2", "i3", "i5"));
    reject(form("g-2", "i3", "i6"));
    reject(form("g-2", "i3", "nobody"));
    reject(form("g-2", "i3"));
    accept(new InstanceLeaving("i4", "x"));
    reject(form("g-2", "i3", "i4"));
    accept(new InstanceDown("i4", "x", ""));
    reject(form("g-2", "i3", "i4"));
    accept(register("i4", "y", "a", "d1"));
    reject(form("g-2", "i3", "i4"));
    reject(new ReplaceMember("g-1", group("g-1").epoch(), "i1", new GroupMember("i2", "x")));
    reject(new ReplaceMember("g-1", group("g-1").epoch(), "i1", new GroupMember("i5", "x")));
    reject(new ReplaceMember("g-1", group("g-1").epoch(), "i1", new GroupMember("i4", "x")));
    accept(new ReplaceMember("g-1", group("g-1").epoch(), "i1", new GroupMember("i4", "y")));
    accept(form("g-2", "i1", "i3"));
    accept(new InstanceLeaving("i3", "x"));
    reject(new GroupReady("g-2", group("g-2").epoch()));
  }

  /**
   * Guards against late orders and answers of an old group that match a new group with its name.
   */
  @Test
  void neverReusesGroupNames() {
    applyDocumentAndRegister();
    accept(form("g-5", "i1", "i2"));
    accept(new DissolveGroup("g-5", group("g-5").epoch(), ""));
    reject(form("g-5", "i1", "i2"));
    reject(form("h-4", "i1", "i2"));
    reject(form("unnumbered", "i1", "i2"));
    accept(form("g-6", "i1", "i2"));
    assertTrue(group("g-6").epoch() > state.view().instances().get("i1").releasedIndex());
  }

  /**
   * Guards against new requests in a zone that is out of service, and against dissolving a serving
   * group.
   */
  @Test
  void drainsAndResumesGroupsWithTheZone() {
    applyDocumentAndRegister();
    final GroupRecord g = formReady("g-1", "i1", "i2");
    reject(new DissolveGroup("g-1", g.epoch(), ""));
    accept(new SetZone("a", true, "out"));
    assertEquals(GroupState.DRAINING, group("g-1").state());
    reject(form("g-2", "i3", "i4"));
    reject(new GroupReady("g-1", group("g-1").epoch()));
    accept(new SetZone("a", false, "in"));
    assertEquals(GroupState.LOADING, group("g-1").state());
    accept(new SetZone("a", true, "out-2"));
    accept(new InstanceDown("i1", "x", ""));
    accept(new SetZone("a", false, "in-2"));
    assertEquals(GroupState.DOWN, group("g-1").state());
    accept(new DissolveGroup("g-1", group("g-1").epoch(), ""));
    accept(new RemoveInstance("i1", "x"));
  }

  /** Guards against a late announcement of a replaced boot that replaces the current one. */
  @Test
  void refusesReplacedBoots() {
    applyDocumentAndRegister();
    accept(register("i1", "y", "a", "d1"));
    reject(register("i1", "x", "a", "d1"));
    assertEquals("y", state.view().instances().get("i1").boot());
  }

  /** Guards against log entries that are applied twice after a restart. */
  @Test
  void refusesOldLogIndex() {
    applyDocumentAndRegister();
    index--;
    EbonypondException e =
        assertThrows(EbonypondException.class, () -> apply(register("i1", "x", "a", "d1")));
    assertEquals(ErrorCode.INVARIANT_VIOLATED, e.code());
  }

  /** Guards against replicas that diverge after one of them was restored from a snapshot. */
  @Test
  void givesTheSameStateAfterSnapshotAndRestore() {
    for (long seed = 1; seed <= 5; seed++) {
      ControlState original = new ControlState(EventSink.NONE);
      ControlState restored = new ControlState(EventSink.NONE);
      Random random = new Random(seed);
      for (int i = 1; i <= 1_000; i++) {
        byte[] c = MessagePackCodec.encode(randomCommand(random, original.view()));
        assertArrayEquals(original.apply(i, c), restored.apply(i, c));
        if (i % 100 == 0) {
          byte[] snapshot = original.snapshot();
          assertArrayEquals(snapshot, restored.snapshot());
          restored = new ControlState(EventSink.NONE);
          restored.restore(snapshot);
          assertEquals(original.view(), restored.view());
          assertArrayEquals(snapshot, restored.snapshot());
        }
      }
      assertTrue(original.view().groupSequence() > 10, "few groups were formed");
    }
  }

  private static ControlCommand randomCommand(Random random, ControlView view) {
    String instance = "i" + random.nextInt(6);
    final String other = "i" + random.nextInt(6);
    final String boot = random.nextInt(8) == 0 ? "y" + random.nextInt(100) : boot(view, instance);
    List<GroupRecord> groups =
        view.groups().values().stream().sorted((x, y) -> x.group().compareTo(y.group())).toList();
    GroupRecord g = groups.isEmpty() ? null : groups.get(random.nextInt(groups.size()));
    long version = view.document() == null ? 0 : view.document().version();
    int kind = random.nextInt(12);
    if (version == 0 || kind == 0) {
      return new ApplyDocument(version + 1, document(version + 1, "1"), "d" + version);
    }
    if (kind <= 3 || (g == null && kind <= 8)) {
      return register(instance, boot, "a", "d1");
    }
    if (kind <= 5 && g != null) {
      return new GroupReady(g.group(), g.epoch());
    }
    if (kind == 6 && g != null) {
      return new ReplaceMember(
          g.group(), g.epoch(), g.members().get(0).instance(), new GroupMember(instance, boot));
    }
    if (kind == 7 && g != null) {
      return new DrainGroup(g.group(), g.epoch(), "test");
    }
    if (kind == 8 && g != null) {
      return new DissolveGroup(g.group(), g.epoch(), "test");
    }
    if (kind == 9) {
      return random.nextBoolean()
          ? new InstanceDown(instance, boot, "test")
          : new SetZone("a", random.nextInt(3) == 0, "z" + random.nextInt());
    }
    return new FormGroup(
        "g-" + (view.groupSequence() + 1),
        "drafter",
        "1",
        List.of("badge"),
        List.of(
            new GroupMember(instance, boot(view, instance)),
            new GroupMember(other, boot(view, other))));
  }

  private static String boot(ControlView view, String instance) {
    InstanceRecord r = view.instances().get(instance);
    return r == null ? "x" : r.boot();
  }
}
