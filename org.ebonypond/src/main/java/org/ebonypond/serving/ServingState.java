package org.ebonypond.serving;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.ebonypond.consensus.StateMachine;
import org.ebonypond.wire.Deflate;

/**
 * The replicated configuration, the zones out of service and the instances that leave. The
 * configuration with the highest version wins; an equal or lower version has no effect, so that
 * duplicate and reordered commands are harmless. Updated on the log thread; {@link #current()} may
 * be called on any thread.
 */
public final class ServingState implements StateMachine {
  /**
   * The number of departures that are kept. Twice the instances of the largest fleet so far may
   * leave before a process that has fallen behind has applied the first of them.
   */
  public static final int MAX_DEPARTURES = 512;

  private static final byte[] NO_BYTES = {};
  private static final byte[] SUPERSEDED = {1};

  /** Bounds decompression; request bodies are at most 4 MB unless operators raise that limit. */
  private static final int MAX_DOCUMENT_BYTES = 64 << 20;

  private volatile Committed committed =
      new Committed(0, NO_BYTES, 0, List.of(), false, 0, List.of());

  /** Returns the state after the last applied command. */
  public Committed current() {
    return committed;
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    ServingCommand c = ServingCodec.decodeCommand(command);
    Committed old = committed;
    if (c instanceof ServingCommand.Install i && i.version() > old.version()) {
      committed = old.with(i.version(), i.content());
    } else if (c instanceof ServingCommand.SetZone z) {
      return setZone(index, z);
    } else if (c instanceof ServingCommand.BeginTraffic) {
      committed = old.withTraffic();
    } else if (c instanceof ServingCommand.NoteEntries n) {
      committed = old.withEntries(Math.max(old.entries(), n.entries()));
    } else if (c instanceof ServingCommand.Quarantine q) {
      committed = old.withQuarantine(q.parts());
    } else if (c instanceof ServingCommand.Depart d) {
      committed = old.withDepartures(merged(old.departures(), d.departures()));
    }
    return NO_BYTES;
  }

  private byte[] setZone(long index, ServingCommand.SetZone c) {
    Committed old = committed;
    boolean conditional = c.basis() != ServingCommand.SetZone.ANY_BASIS;
    if (conditional && c.basis() != old.zonesIndex()) {
      return SUPERSEDED;
    }
    Set<String> out = new TreeSet<>(old.zonesOut());
    boolean changed = c.out() ? out.add(c.zone()) : out.remove(c.zone());
    // A command that changes nothing is acknowledged as well, and supersedes delayed ones.
    if (changed || conditional) {
      committed = old.with(index, List.copyOf(out));
    }
    return NO_BYTES;
  }

  private static List<Departure> merged(List<Departure> old, List<Departure> added) {
    Map<String, Departure> all = new LinkedHashMap<>();
    old.forEach(d -> all.put(d.id(), d));
    for (Departure d : added) {
      Departure known = all.get(d.id());
      if (known == null || d.isLaterThan(known)) {
        all.remove(d.id());
        all.put(d.id(), d);
      }
    }
    return all.values().stream().skip(Math.max(0, all.size() - MAX_DEPARTURES)).toList();
  }

  /** Returns whether the result of a command says that a later one had been applied before it. */
  public static boolean isSuperseded(byte[] result) {
    return Arrays.equals(result, SUPERSEDED);
  }

  @Override
  public byte[] snapshot() {
    return ServingCodec.encodeState(committed);
  }

  @Override
  public void restore(byte[] snapshot) {
    committed = ServingCodec.decodeState(snapshot);
  }

  /**
   * The committed state.
   *
   * @param version the version of the configuration; 0 if there is none
   * @param content the configuration as the operator sent it, compressed by {@link Deflate}; empty
   *     if there is none
   * @param zonesIndex the log index of the last zone command; 0 if there is none
   * @param zonesOut the zones out of service, sorted
   * @param traffic whether the fleet has received its first request
   * @param entries the highest recorded number of entries that share the budgets; 0 if none was
   *     recorded
   * @param quarantine the prompt parts that are refused because they crash instances
   * @param departures the latest departure of each instance, the last {@link #MAX_DEPARTURES} in
   *     the order of the log
   */
  public record Committed(
      long version,
      byte[] content,
      long zonesIndex,
      List<String> zonesOut,
      boolean traffic,
      int entries,
      List<String> quarantine,
      List<Departure> departures) {
    /** Creates a state without departures. */
    public Committed(
        long version,
        byte[] content,
        long zonesIndex,
        List<String> zonesOut,
        boolean traffic,
        int entries,
        List<String> quarantine) {
      this(version, content, zonesIndex, zonesOut, traffic, entries, quarantine, List.of());
    }

    /** Returns the configuration as the operator sent it; empty if there is none. */
    public byte[] document() {
      return Deflate.unpack(content, MAX_DOCUMENT_BYTES);
    }

    /** Returns this state without the content, for a reader that already has the configuration. */
    public Committed withoutContent() {
      return with(version, NO_BYTES);
    }

    /** Returns this state without the departures, for a reader that has a table of instances. */
    public Committed withoutDepartures() {
      return withDepartures(List.of());
    }

    private Committed with(long newVersion, byte[] newContent) {
      return new Committed(
          newVersion, newContent, zonesIndex, zonesOut, traffic, entries, quarantine, departures);
    }

    private Committed with(long newZonesIndex, List<String> newZonesOut) {
      return new Committed(
          version, content, newZonesIndex, newZonesOut, traffic, entries, quarantine, departures);
    }

    private Committed withTraffic() {
      return new Committed(
          version, content, zonesIndex, zonesOut, true, entries, quarantine, departures);
    }

    private Committed withEntries(int newEntries) {
      return new Committed(
          version, content, zonesIndex, zonesOut, traffic, newEntries, quarantine, departures);
    }

    private Committed withQuarantine(List<String> parts) {
      return new Committed(
          version, content, zonesIndex, zonesOut, traffic, entries, parts, departures);
    }

    private Committed withDepartures(List<Departure> newDepartures) {
      return new Committed(
          version, content, zonesIndex, zonesOut, traffic, entries, quarantine, newDepartures);
    }
  }
}
