package org.ebonypond.fleet;

import org.jspecify.annotations.Nullable;

/**
 * The sum of the loads that several entries reported of one instance. It remembers enough to leave
 * one entry out again, so that one sum serves the answers to all entries.
 */
final class LoadTotal {
  private final String instance;
  private long epoch;
  private int reports;
  private int active;
  private int prefillTokens;
  private long idleMillis = HeadLoad.NEVER;
  private long nextIdleMillis = HeadLoad.NEVER;
  private String leastIdle = "";
  private long suspectMillis;
  private long nextSuspectMillis;
  private String longestSuspecting = "";

  LoadTotal(String instance) {
    this.instance = instance;
  }

  /** Adds the report of an entry; what is said of an earlier group of the instance is dropped. */
  void add(String entry, HeadLoad l) {
    if (l.epoch() < epoch) {
      return;
    }
    if (l.epoch() > epoch) {
      forget();
      epoch = l.epoch();
    }
    reports++;
    active += l.active();
    prefillTokens += l.prefillTokens();
    if (reports == 1 || l.idleMillis() < idleMillis) {
      nextIdleMillis = idleMillis;
      idleMillis = l.idleMillis();
      leastIdle = entry;
    } else {
      nextIdleMillis = Math.min(nextIdleMillis, l.idleMillis());
    }
    if (reports == 1 || l.suspectMillis() > suspectMillis) {
      nextSuspectMillis = suspectMillis;
      suspectMillis = l.suspectMillis();
      longestSuspecting = entry;
    } else {
      nextSuspectMillis = Math.max(nextSuspectMillis, l.suspectMillis());
    }
  }

  /** Returns the sum of all reports. */
  HeadLoad all() {
    return new HeadLoad(instance, epoch, active, prefillTokens, idleMillis, suspectMillis);
  }

  /**
   * Returns the sum without one entry, or null if nothing is left.
   *
   * @param own the report of that entry that was added, or null if there was none
   */
  @Nullable HeadLoad without(String entry, @Nullable HeadLoad own) {
    if (own == null || own.epoch() != epoch) {
      return all();
    }
    if (reports == 1) {
      return null;
    }
    return new HeadLoad(
        instance,
        epoch,
        active - own.active(),
        prefillTokens - own.prefillTokens(),
        entry.equals(leastIdle) ? nextIdleMillis : idleMillis,
        entry.equals(longestSuspecting) ? nextSuspectMillis : suspectMillis);
  }

  private void forget() {
    reports = 0;
    active = 0;
    prefillTokens = 0;
    idleMillis = HeadLoad.NEVER;
    nextIdleMillis = HeadLoad.NEVER;
    suspectMillis = 0;
    nextSuspectMillis = 0;
  }
}
