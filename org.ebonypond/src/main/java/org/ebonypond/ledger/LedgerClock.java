package org.ebonypond.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The time of a ledger: the lower median of the latest wall-clock time of each entry. A single
 * entry with a wrong clock can therefore neither expire records early nor keep them forever.
 */
final class LedgerClock {
  /** The median is recomputed once per this many commands to bound the cost with many entries. */
  private static final int COMMANDS_PER_UPDATE = 64;

  /** Number of commands after which an entry that sent none may have stopped and is ignored. */
  private static final long SILENT_COMMANDS = 10_000;

  /**
   * The time steps back only if it was ahead by more than this, for example because the first entry
   * had a wrong clock. Smaller differences between entries leave it unchanged.
   */
  private static final long STEP_BACK_MILLIS = 3_600_000;

  private final TreeMap<String, Reading> readings = new TreeMap<>();
  private long commands;
  private long now;

  /**
   * The latest wall-clock time of an entry.
   *
   * @param timeMillis the wall-clock time
   * @param command the number of the command that carried it
   */
  record Reading(long timeMillis, long command) {}

  /**
   * The state as it is stored in a snapshot.
   *
   * @param readings the latest wall-clock time of each entry
   * @param commands the number of commands so far
   * @param now the time of the ledger, in milliseconds since 1970
   */
  record State(Map<String, Reading> readings, long commands, long now) {}

  /**
   * Adds the wall-clock time of one command.
   *
   * @return whether the time stepped back
   */
  boolean observe(String entry, long timeMillis) {
    commands++;
    boolean added = readings.put(entry, new Reading(timeMillis, commands)) == null;
    boolean due = added || commands % COMMANDS_PER_UPDATE == 0 || readings.size() == 1;
    return due && update();
  }

  /** Returns the time in milliseconds since 1970, or 0 before the first command. */
  long now() {
    return now;
  }

  State state() {
    return new State(new TreeMap<>(readings), commands, now);
  }

  void restore(State state) {
    readings.clear();
    readings.putAll(state.readings());
    commands = state.commands();
    now = state.now();
  }

  private boolean update() {
    readings.values().removeIf(r -> r.command() <= commands - SILENT_COMMANDS);
    List<Long> times = new ArrayList<>();
    readings.values().forEach(r -> times.add(r.timeMillis()));
    times.sort(null);
    long median = times.get((times.size() - 1) / 2);
    boolean stepsBack = median < now - STEP_BACK_MILLIS;
    now = stepsBack ? median : Math.max(now, median);
    return stepsBack;
  }
}
