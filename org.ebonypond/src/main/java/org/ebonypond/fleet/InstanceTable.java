package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The latest record of each instance, merged from heartbeats and from other processes' tables.
 * Thread-safe. A record replaces another one only if it is of a later life, or of the same life
 * with a higher number, so that delayed and repeated heartbeats change nothing.
 */
public final class InstanceTable {
  /** Records of instances that are silent for this long are dropped; longer than any cut. */
  private static final long FORGET_MILLIS = 60_000;

  /**
   * A record that its instance confirms counts as changed again after this time, so that readers of
   * changes alone do not take the instance for silent; a third of the time until it is dropped.
   */
  private static final long CONFIRM_MILLIS = FORGET_MILLIS / 3;

  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, String> idsByAddress = new HashMap<>();
  private long clock;

  /**
   * Takes a record.
   *
   * @param instance the record
   * @param ageMillis the time since the heartbeat, in milliseconds
   * @param now the time in milliseconds
   * @return whether anything but the time of the last heartbeat changed
   */
  public synchronized boolean merge(FleetInstance instance, long ageMillis, long now) {
    Entry old = entries.get(instance.id());
    if (old != null && !instance.isLaterThan(old.instance)) {
      return false;
    }
    FleetInstance record = withLastModel(instance, old);
    Entry holder = holderOf(instance.address());
    if (holder != null && !holder.instance.id().equals(instance.id())) {
      // Two instances cannot listen on one address: the one that started earlier has ended.
      if (holder.instance.startMillis() > instance.startMillis()) {
        record = instance.gone();
      } else if (holder.instance.phase() != InstancePhase.GONE) {
        put(holder, holder.instance.gone(), holder.lastSeen, true);
      }
    }
    if (record.phase() != InstancePhase.GONE) {
      idsByAddress.put(record.address(), record.id());
    }
    boolean changed = old == null || record.differsFrom(old.instance);
    if (old == null) {
      old = new Entry(record);
      entries.put(record.id(), old);
    }
    put(old, record, Math.max(now - ageMillis, old.lastSeen), changed);
    return changed;
  }

  /**
   * Takes the news of a heartbeat that changed nothing. It is dropped if the record that it
   * confirms is not held.
   *
   * @param now the time in milliseconds
   */
  public synchronized void confirm(UnchangedHeartbeat s, long now) {
    Entry e = entries.get(s.id());
    if (e == null || e.instance.startMillis() != s.startMillis() || e.instance.sequence() >= s.sequence()) {
      return;
    }
    long at = Math.max(now - s.ageMillis(), e.lastSeen);
    put(e, e.instance.withSequence(s.sequence()), at, false);
  }

  /**
   * Takes the news that an instance has deregistered.
   *
   * @param id the identifier
   * @param wallMillis the time of day in milliseconds since 1970, for an instance that is not known
   * @param now the time in milliseconds
   */
  public synchronized void remove(String id, long wallMillis, long now) {
    Entry e = entries.get(id);
    if (e == null) {
      FleetInstance unknown =
          new FleetInstance(
              id,
              wallMillis,
              0,
              "",
              "",
              "",
              InstancePhase.GONE,
              0,
              0,
              "",
              List.of(),
              List.of(),
              null,
              "");
      e = new Entry(unknown);
      entries.put(id, e);
    }
    if (e.instance.phase() != InstancePhase.GONE) {
      put(e, e.instance.gone(), now, true);
    } else if (e.touched == 0) {
      put(e, e.instance, now, true);
    }
  }

  /** Returns the number to pass to {@link #since} for what happens after now. */
  public synchronized long cursor() {
    return clock;
  }

  /**
   * Returns the records that changed after a cursor in more than the last heartbeat, the earliest
   * changes first.
   *
   * @param cursor an earlier value of {@link #cursor()} or {@link Changes#cursor}, or 0 for all
   * @param max the largest number of records
   * @param now the time in milliseconds
   */
  public synchronized Changes changedSince(long cursor, int max, long now) {
    List<Entry> changed = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.changed > cursor) {
        changed.add(e);
      }
    }
    boolean complete = changed.size() <= max;
    if (!complete) {
      changed.sort(Comparator.comparingLong(e -> e.changed));
    }
    List<InstanceUpdate> out = new ArrayList<>();
    for (Entry e : complete ? changed : changed.subList(0, max)) {
      out.add(new InstanceUpdate(e.instance, Math.max(0, now - e.lastSeen)));
    }
    return new Changes(out, complete ? clock : changed.get(max - 1).changed, complete);
  }

  /**
   * Records that changed.
   *
   * @param records the records
   * @param cursor the position after them
   * @param complete whether there are no more
   */
  public record Changes(List<InstanceUpdate> records, long cursor, boolean complete) {}

  /**
   * Returns the heartbeats after a cursor that changed nothing in a record that the asker holds.
   *
   * @param cursor an earlier value of {@link #cursor()}
   * @param now the time in milliseconds
   */
  public synchronized List<UnchangedHeartbeat> unchangedSince(long cursor, long now) {
    List<UnchangedHeartbeat> out = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.touched > cursor && e.changed <= cursor) {
        FleetInstance i = e.instance;
        out.add(new UnchangedHeartbeat(i.id(), i.startMillis(), i.sequence(), Math.max(0, now - e.lastSeen)));
      }
    }
    return out;
  }

  /** Returns the record of an instance, or null. */
  public synchronized @Nullable FleetInstance get(String id) {
    Entry e = entries.get(id);
    return e == null ? null : e.instance;
  }

  /** Returns all records with the times since their last heartbeats. */
  public synchronized List<InstanceUpdate> all(long now) {
    return changedSince(-1, Integer.MAX_VALUE, now).records();
  }

  /** Drops the records of instances that have been silent for long. */
  public synchronized void prune(long now) {
    for (Iterator<Entry> i = entries.values().iterator(); i.hasNext(); ) {
      Entry e = i.next();
      if (now - e.lastSeen > FORGET_MILLIS) {
        i.remove();
        idsByAddress.remove(e.instance.address(), e.instance.id());
      }
    }
  }

  /** Keeps what an instance does not say of itself: the model of the group that it has left. */
  private static FleetInstance withLastModel(FleetInstance i, @Nullable Entry old) {
    GroupMembership g = i.group();
    if (g != null) {
      GroupName name = GroupName.parse(g.name());
      return name == null ? i : i.withLastModel(name.model());
    }
    boolean known = i.lastModel().isEmpty() && old != null && old.instance.startMillis() == i.startMillis();
    return known ? i.withLastModel(old.instance.lastModel()) : i;
  }

  private @Nullable Entry holderOf(String address) {
    String id = idsByAddress.get(address);
    return id == null ? null : entries.get(id);
  }

  private void put(Entry e, FleetInstance record, long seen, boolean changed) {
    clock++;
    e.instance = record;
    e.lastSeen = seen;
    e.touched = clock;
    if (changed || seen - e.changedAt >= CONFIRM_MILLIS) {
      e.changed = clock;
      e.changedAt = seen;
    }
  }

  private static final class Entry {
    FleetInstance instance;
    long lastSeen = Long.MIN_VALUE;
    long touched;
    long changed;
    long changedAt;

    Entry(FleetInstance instance) {
      this.instance = instance;
    }
  }
}
