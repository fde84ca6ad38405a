package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.ebonypond.serving.Departure;
import org.jspecify.annotations.Nullable;

/**
 * The latest record of each instance, merged from heartbeats and from the tables of other
 * processes. A record replaces another one only if it is of a later incarnation, or of the same
 * incarnation with a higher sequence number, so that delayed and duplicate heartbeats have no
 * effect. Thread-safe.
 */
public final class InstanceTable {
  /** Records without a heartbeat for this long are removed; longer than any network partition. */
  private static final long EXPIRY_MILLIS = 60_000;

  /**
   * A record that heartbeats only confirm counts as changed again after this time, so that readers
   * of changes alone do not consider the instance silent; a third of the time until removal.
   */
  private static final long REFRESH_MILLIS = EXPIRY_MILLIS / 3;

  private final Predicate<String> knownService;
  private final Map<String, Row> rows = new HashMap<>();
  private final Map<String, String> idsByAddress = new HashMap<>();
  private Map<String, Departure> departures = Map.of();
  private long revision;

  /**
   * Creates an empty table.
   *
   * @param knownService whether the configuration has a service; an instance of any other one
   *     receives no requests and does not end the instance that listens on its address
   */
  public InstanceTable(Predicate<String> knownService) {
    this.knownService = knownService;
  }

  /**
   * Merges a record.
   *
   * @param instance the record
   * @param ageMillis the time since the heartbeat, in milliseconds
   * @param now the time in milliseconds
   * @return whether anything changed but the time of the last heartbeat
   */
  public synchronized boolean merge(FleetInstance instance, long ageMillis, long now) {
    Row old = rows.get(instance.id());
    if (old != null && !instance.isLaterThan(old.instance)) {
      return false;
    }
    Departure departure = departures.get(instance.id());
    FleetInstance record =
        withLastModel(departure == null ? instance : departed(instance, departure), old);
    boolean known = knownService.test(instance.service());
    Row sameAddress = known ? rowAt(instance.address()) : null;
    if (sameAddress != null && !sameAddress.instance.id().equals(instance.id())) {
      // Two instances cannot listen on the same address, so the one that started earlier has ended.
      if (sameAddress.instance.startMillis() > instance.startMillis()) {
        record = instance.gone();
      } else if (sameAddress.instance.phase() != InstancePhase.GONE) {
        put(sameAddress, sameAddress.instance.gone(), sameAddress.lastSeen, true);
      }
    }
    if (known && record.phase() != InstancePhase.GONE) {
      idsByAddress.put(record.address(), record.id());
    }
    boolean changed = old == null || record.differsFrom(old.instance);
    if (old == null) {
      old = new Row(record);
      rows.put(record.id(), old);
    }
    put(old, record, Math.max(now - ageMillis, old.lastSeen), changed);
    return changed;
  }

  /**
   * Applies a heartbeat that changed nothing but its sequence number. It is ignored if the table
   * lacks the record that it confirms.
   *
   * @param now the time in milliseconds
   */
  public synchronized void confirm(UnchangedHeartbeat heartbeat, long now) {
    Row row = rows.get(heartbeat.id());
    if (row == null
        || row.instance.startMillis() != heartbeat.startMillis()
        || row.instance.sequence() >= heartbeat.sequence()) {
      return;
    }
    long at = Math.max(now - heartbeat.ageMillis(), row.lastSeen);
    put(row, row.instance.withSequence(heartbeat.sequence()), at, false);
  }

  /**
   * Marks an instance as deregistered.
   *
   * @param id the identifier
   * @param wallMillis the wall-clock time in milliseconds since 1970, used for an unknown instance
   * @param now the time in milliseconds
   */
  public synchronized void remove(String id, long wallMillis, long now) {
    Row row = rows.get(id);
    if (row == null) {
      row = new Row(unknown(id, wallMillis));
      rows.put(id, row);
    }
    if (row.instance.phase() != InstancePhase.GONE) {
      put(row, row.instance.gone(), now, true);
    } else if (row.updatedRevision == 0) {
      put(row, row.instance, now, true);
    }
  }

  private static FleetInstance unknown(String id, long startMillis) {
    return new FleetInstance(
        id,
        startMillis,
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
  }

  /**
   * Applies the departures that the log has, also to records that arrive later.
   *
   * @param all all departures of the log, which replace those of the last call
   * @param now the time in milliseconds
   */
  public synchronized void depart(List<Departure> all, long now) {
    Map<String, Departure> earlier = departures;
    departures = new HashMap<>();
    for (Departure d : all) {
      departures.put(d.id(), d);
      Departure known = earlier.get(d.id());
      if (known == null || d.isLaterThan(known)) {
        apply(d, now);
      }
    }
  }

  private void apply(Departure d, long now) {
    Row row = rows.get(d.id());
    if (row == null) {
      if (d.isDeregistered()) {
        // Other processes may have a record of it.
        row = new Row(unknown(d.id(), d.startMillis()).gone());
        rows.put(d.id(), row);
        put(row, row.instance, now, true);
      }
      return;
    }
    FleetInstance departed = departed(row.instance, d);
    if (departed != row.instance) {
      put(row, departed, d.isDeregistered() ? now : row.lastSeen, true);
    }
  }

  /** Returns a record as of a departure, or unchanged if the departure does not concern it. */
  private static FleetInstance departed(FleetInstance i, Departure d) {
    if (i.phase() == InstancePhase.GONE || i.startMillis() > d.startMillis()) {
      return i;
    }
    if (d.isDeregistered()) {
      return i.gone();
    }
    boolean before = i.startMillis() == d.startMillis() && i.sequence() < d.sequence();
    return before ? i.draining(d.sequence()) : i;
  }

  /** Returns the cursor for changes after this call; see {@link #changedSince}. */
  public synchronized long cursor() {
    return revision;
  }

  /**
   * Returns the records that changed after a cursor in more than the last heartbeat; if there are
   * more than {@code max}, the earliest changes.
   *
   * @param cursor an earlier value of {@link #cursor()} or {@link Changes#cursor}, or 0 for all
   * @param max the maximum number of records
   * @param now the time in milliseconds
   */
  public synchronized Changes changedSince(long cursor, int max, long now) {
    List<Row> changed = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.changedRevision > cursor) {
        changed.add(row);
      }
    }
    boolean complete = changed.size() <= max;
    if (!complete) {
      changed.sort(Comparator.comparingLong(row -> row.changedRevision));
    }
    List<InstanceUpdate> out = new ArrayList<>();
    for (Row row : complete ? changed : changed.subList(0, max)) {
      out.add(new InstanceUpdate(row.instance, Math.max(0, now - row.lastSeen)));
    }
    return new Changes(out, complete ? revision : changed.get(max - 1).changedRevision, complete);
  }

  /**
   * A batch of changed records.
   *
   * @param records the changed records
   * @param cursor the cursor after the last of them
   * @param complete whether no further changes are pending
   */
  public record Changes(List<InstanceUpdate> records, long cursor, boolean complete) {}

  /**
   * Returns the heartbeats after a cursor that changed only the sequence number of a record known
   * to the reader.
   *
   * @param cursor an earlier value of {@link #cursor()}
   * @param now the time in milliseconds
   */
  public synchronized List<UnchangedHeartbeat> unchangedSince(long cursor, long now) {
    List<UnchangedHeartbeat> out = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.updatedRevision > cursor && row.changedRevision <= cursor) {
        FleetInstance i = row.instance;
        out.add(
            new UnchangedHeartbeat(
                i.id(), i.startMillis(), i.sequence(), Math.max(0, now - row.lastSeen)));
      }
    }
    return out;
  }

  /** Returns the record of an instance, or null. */
  public synchronized @Nullable FleetInstance get(String id) {
    Row row = rows.get(id);
    return row == null ? null : row.instance;
  }

  /** Returns all records with the time since their last heartbeat. */
  public synchronized List<InstanceUpdate> all(long now) {
    return changedSince(-1, Integer.MAX_VALUE, now).records();
  }

  /** Removes the records of instances whose last heartbeat is too old. */
  public synchronized void prune(long now) {
    for (Iterator<Row> i = rows.values().iterator(); i.hasNext(); ) {
      Row row = i.next();
      if (now - row.lastSeen > EXPIRY_MILLIS) {
        i.remove();
        idsByAddress.remove(row.instance.address(), row.instance.id());
      }
    }
  }

  /**
   * Adds the model of the instance's latest group, which heartbeats omit once the instance has left
   * it.
   */
  private static FleetInstance withLastModel(FleetInstance i, @Nullable Row old) {
    GroupMembership g = i.group();
    if (g != null) {
      GroupName name = GroupName.parse(g.name());
      return name == null ? i : i.withLastModel(name.model());
    }
    boolean known =
        i.lastModel().isEmpty() && old != null && old.instance.startMillis() == i.startMillis();
    return known ? i.withLastModel(old.instance.lastModel()) : i;
  }

  private @Nullable Row rowAt(String address) {
    String id = idsByAddress.get(address);
    return id == null ? null : rows.get(id);
  }

  private void put(Row row, FleetInstance record, long seen, boolean changed) {
    revision++;
    row.instance = record;
    row.lastSeen = seen;
    row.updatedRevision = revision;
    if (changed || seen - row.changedMillis >= REFRESH_MILLIS) {
      row.changedRevision = revision;
      row.changedMillis = seen;
    }
  }

  private static final class Row {
    FleetInstance instance;

    /** The time of the last heartbeat or of the deregistration, in milliseconds. */
    long lastSeen = Long.MIN_VALUE;

    /** The revision of the table at the last update of this row. */
    long updatedRevision;

    /** The revision of the table at the last change or refresh, and its time in milliseconds. */
    long changedRevision;

    long changedMillis;

    Row(FleetInstance instance) {
      this.instance = instance;
    }
  }
}
