package org.ebonypond.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.control.InstanceStatus;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.document.ServiceSpec;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * The groups and the plain service instances that one control view allows to serve; immutable.
 *
 * <p>A group serves when it is {@code READY}, all its members are up with the boot identities under
 * which they joined, and neither its availability zone nor one of a member is out of service. A
 * plain service instance serves when it is up and its availability zone is in service.
 */
public final class RoutingTable {
  /** The table of the empty view, before the first command. */
  public static final RoutingTable EMPTY = of(ControlView.EMPTY);

  private final ControlView view;
  private final Map<String, List<Target>> models;
  private final Map<String, List<Target>> services;

  private RoutingTable(
      ControlView view, Map<String, List<Target>> models, Map<String, List<Target>> services) {
    this.view = view;
    this.models = models;
    this.services = services;
  }

  /** Builds the table of a view; linear in the number of instances and group members. */
  public static RoutingTable of(ControlView view) {
    Map<String, List<Target>> models = new HashMap<>();
    Map<String, List<Target>> services = new HashMap<>();
    ServiceDocument d = view.document();
    if (d != null) {
      d.models().forEach(m -> models.put(m.name(), groups(m)));
      d.services().forEach(s -> services.put(s.name(), new ArrayList<>()));
      addGroups(view, d, models);
      addInstances(view, d, services);
    }
    return new RoutingTable(view, sorted(models), sorted(services));
  }

  private static List<Target> groups(ModelSpec m) {
    return new ArrayList<>(Math.max(0, m.zones().size() * m.groupsPerZone()));
  }

  private static void addGroups(
      ControlView view, ServiceDocument d, Map<String, List<Target>> models) {
    Map<String, ModelSpec> specs = new HashMap<>();
    d.models().forEach(m -> specs.put(m.name(), m));
    for (GroupRecord g : view.groups().values()) {
      ModelSpec spec = specs.get(g.model());
      if (spec == null || !serves(view, g)) {
        continue;
      }
      InstanceRecord first = view.instances().get(g.members().get(0).instance());
      models
          .get(g.model())
          .add(
              new Target(
                  "group/" + g.group(),
                  InstanceKind.ENGINE,
                  g.model(),
                  g.zone(),
                  first.address(),
                  g.members(),
                  g.epoch(),
                  spec.maxConcurrency()));
    }
  }

  private static boolean serves(ControlView view, GroupRecord g) {
    if (g.state() != GroupState.READY
        || g.members().isEmpty()
        || view.zonesOut().contains(g.zone())) {
      return false;
    }
    for (GroupMember m : g.members()) {
      InstanceRecord i = view.instances().get(m.instance());
      if (i == null
          || i.status() != InstanceStatus.UP
          || !i.boot().equals(m.boot())
          || view.zonesOut().contains(i.zone())) {
        return false;
      }
    }
    return true;
  }

  private static void addInstances(
      ControlView view, ServiceDocument d, Map<String, List<Target>> services) {
    Map<String, ServiceSpec> specs = new HashMap<>();
    d.services().forEach(s -> specs.put(s.name(), s));
    for (InstanceRecord i : view.instances().values()) {
      ServiceSpec spec = i.kind() == InstanceKind.SERVICE ? specs.get(i.flavor()) : null;
      if (spec == null || i.status() != InstanceStatus.UP || view.zonesOut().contains(i.zone())) {
        continue;
      }
      services
          .get(i.flavor())
          .add(
              new Target(
                  "instance/" + i.instance(),
                  InstanceKind.SERVICE,
                  i.flavor(),
                  i.zone(),
                  i.address(),
                  List.of(new GroupMember(i.instance(), i.boot())),
                  i.registeredIndex(),
                  spec.maxConcurrency()));
    }
  }

  private static Map<String, List<Target>> sorted(Map<String, List<Target>> pools) {
    Map<String, List<Target>> out = new HashMap<>();
    pools.forEach(
        (pool, targets) -> {
          targets.sort(Comparator.comparing(Target::key));
          out.put(pool, List.copyOf(targets));
        });
    return Map.copyOf(out);
  }

  /** Returns the view from which the table was built. */
  public ControlView view() {
    return view;
  }

  /** Returns the models that the document declares. */
  public Set<String> models() {
    return models.keySet();
  }

  /** Returns the plain services that the document declares. */
  public Set<String> services() {
    return services.keySet();
  }

  /** Returns the groups that serve a model, by key, or null if the document has no such model. */
  public @Nullable List<Target> model(String name) {
    return models.get(name);
  }

  /** Returns the instances of a service, by key, or null if the document has no such service. */
  public @Nullable List<Target> service(String name) {
    return services.get(name);
  }

  /**
   * Asserts that the view allows a target to serve, using only the view's records.
   *
   * @throws EbonypondException {@code invariant-violated} if a member is missing, not up, of
   *     another boot or in a zone out of service, or if the group is not ready
   */
  public void check(Target t) {
    if (view.zonesOut().contains(t.zone())) {
      throw violated(t, "zone " + t.zone() + " is out of service");
    }
    if (t.kind() == InstanceKind.ENGINE) {
      GroupRecord g = view.groups().get(t.name());
      if (g == null || g.state() != GroupState.READY) {
        throw violated(t, "the group is not ready");
      }
      if (!g.members().equals(t.members())) {
        throw violated(t, "the members have changed");
      }
    }
    for (GroupMember m : t.members()) {
      InstanceRecord i = view.instances().get(m.instance());
      if (i == null || i.status() != InstanceStatus.UP) {
        throw violated(t, "instance " + m.instance() + " is not up");
      }
      if (!i.boot().equals(m.boot())) {
        throw violated(t, "instance " + m.instance() + " has restarted");
      }
      if (view.zonesOut().contains(i.zone())) {
        throw violated(t, "zone " + i.zone() + " is out of service");
      }
    }
  }

  private static EbonypondException violated(Target t, String what) {
    return new EbonypondException(ErrorCode.INVARIANT_VIOLATED, t.key() + ": " + what);
  }
}
