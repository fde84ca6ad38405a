package org.ebonypond.bench.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlCommand.ApplyDocument;
import org.ebonypond.control.ControlCommand.FormGroup;
import org.ebonypond.control.ControlCommand.GroupReady;
import org.ebonypond.control.ControlCommand.RegisterInstance;
import org.ebonypond.control.ControlResult;
import org.ebonypond.control.ControlState;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.events.EventSink;

/**
 * A control state in which the instances belong to ready groups, and the index of the last command
 * that was applied to it.
 */
final class ControlStates {
  private static final int GROUP_SIZE = 8;
  private static final int DOMAIN_SIZE = 32;
  private static final int ZONES = 18;

  final ControlState state = new ControlState(EventSink.NONE);
  private long index;

  private ControlStates() {}

  /**
   * Returns a state with groups of 8 instances; a remainder that does not fill a group stays free.
   */
  static ControlStates of(int instances) {
    ControlStates s = new ControlStates();
    s.apply(new ApplyDocument(1, document(1), "bench-1"));
    List<GroupMember> members = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      s.apply(register(i, "boot-1"));
      members.add(new GroupMember(name(i), "boot-1"));
      if (members.size() == GROUP_SIZE) {
        String group = "drafter-" + (i / GROUP_SIZE + 1);
        s.apply(new FormGroup(group, "drafter", "1", List.of(), members));
        s.apply(new GroupReady(group, s.index));
        members = new ArrayList<>();
      }
    }
    return s;
  }

  static String name(int i) {
    return String.format(Locale.ROOT, "engine-%06d", i);
  }

  /** Returns a boot identifier of the same length and form as those of backend servers. */
  static String boot(int i) {
    return String.format(Locale.ROOT, "6f1c2f52-9f0e-4d3a-8a55-%012d", i);
  }

  /** Returns the command that registers an instance. */
  static RegisterInstance register(int i, String boot) {
    int domain = i / DOMAIN_SIZE;
    return new RegisterInstance(
        name(i),
        boot,
        "10.20.30.40:9000",
        "zone-" + domain % ZONES,
        "domain-" + domain,
        InstanceKind.ENGINE,
        "batcher");
  }

  /**
   * Applies a command.
   *
   * @throws IllegalStateException if it is not accepted
   */
  void apply(ControlCommand c) {
    index++;
    ControlResult r = state.apply(index, c);
    if (!(r instanceof ControlResult.Accepted)) {
      throw new IllegalStateException(c + " was not accepted: " + r);
    }
  }

  /** Returns a document with one model in 18 availability zones. */
  static String document(long version) {
    List<String> zones = new ArrayList<>();
    for (int z = 0; z < ZONES; z++) {
      zones.add("zone-" + z);
    }
    return String.join(
        "\n",
        "version = " + version,
        "[[engine_kind]]",
        "name = \"batcher\"",
        "checks_fencing = true",
        "[[model]]",
        "name = \"drafter\"",
        "version = \"1\"",
        "adapters = []",
        "engine_kind = \"batcher\"",
        "zones = [\"" + String.join("\", \"", zones) + "\"]",
        "groups_per_zone = 600",
        "instances_per_group = " + GROUP_SIZE,
        "max_concurrency = 16",
        "cold_ceiling = 2",
        "warm_seconds = 20",
        "");
  }
}
