package org.ebonypond.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.InstanceRecord;

/** The free instances of one engine kind in one fabric domain during one planning run. */
public final class DomainPool {
  /** Identifies a pool by location and engine kind. */
  record Key(String zone, String domain, String engineKind) {}

  private final Key key;
  private final GroupSizes sizes;
  private final Map<String, InstanceObservation> observations;
  private final List<InstanceRecord> free = new ArrayList<>();
  private final Map<String, Integer> loaded = new HashMap<>();
  private final Map<String, Integer> groups = new HashMap<>();
  private boolean sorted = true;

  DomainPool(Key key, GroupSizes sizes, Map<String, InstanceObservation> observations) {
    this.key = key;
    this.sizes = sizes;
    this.observations = observations;
  }

  /** Returns the fabric domain. */
  public String domain() {
    return key.domain();
  }

  /** Returns the number of free instances. */
  public int free() {
    return free.size();
  }

  /** Returns the number of free instances that still have a version of a model loaded. */
  public int loaded(String model, String version) {
    return loaded.getOrDefault(model + '\0' + version, 0);
  }

  /** Returns the number of groups of a model in this domain. */
  public int groups(String model) {
    return groups.getOrDefault(model, 0);
  }

  /**
   * Returns how many free instances would remain stranded, that is unusable for any complete group,
   * after {@code taken} of them were assigned.
   */
  public int strandedAfter(int taken) {
    return sizes.stranded(Math.max(0, free.size() - taken));
  }

  Key key() {
    return key;
  }

  void add(InstanceRecord r) {
    free.add(r);
    sorted = false;
    countLoaded(r, 1);
  }

  void addGroup(String model) {
    groups.merge(model, 1, Integer::sum);
  }

  private void countLoaded(InstanceRecord r, int delta) {
    InstanceObservation o = observations.get(r.instance());
    if (o != null && o.boot().equals(r.boot()) && !o.model().isEmpty()) {
      loaded.merge(o.model() + '\0' + o.version(), delta, Integer::sum);
    }
  }

  /** Removes free instances from the pool: first those with the model loaded, then by name. */
  List<GroupMember> take(int count, String model, String version) {
    if (!sorted) {
      free.sort(Comparator.comparing(InstanceRecord::instance));
      sorted = true;
    }
    List<GroupMember> out = new ArrayList<>(count);
    if (loaded(model, version) > 0) {
      takeIf(count, out, r -> hasLoaded(r, model, version));
    }
    takeIf(count, out, r -> true);
    return out;
  }

  private void takeIf(int count, List<GroupMember> out, Predicate<InstanceRecord> filter) {
    Iterator<InstanceRecord> it = free.iterator();
    while (out.size() < count && it.hasNext()) {
      InstanceRecord r = it.next();
      if (filter.test(r)) {
        it.remove();
        countLoaded(r, -1);
        out.add(new GroupMember(r.instance(), r.boot()));
      }
    }
  }

  private boolean hasLoaded(InstanceRecord r, String model, String version) {
    InstanceObservation o = observations.get(r.instance());
    return o != null
        && o.boot().equals(r.boot())
        && o.model().equals(model)
        && o.version().equals(version);
  }
}
