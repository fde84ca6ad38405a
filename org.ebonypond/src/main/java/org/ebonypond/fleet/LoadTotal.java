package org.ebonypond.fleet;

import org.jspecify.annotations.Nullable;

/**
 * The sum of the loads that several entries report for one instance. Any one entry can be
 * subtracted again, so that one sum serves the answers to all entries.
 */
final class LoadTotal {
  private final String instance;
  private long epoch;
  private int reports;
  private int active;
  private int prefillTokens;
  // The shortest idle time, its entry and the next longer time, which holds without that entry.
  private long idleMillis = InstanceLoad.NEVER;
  private long nextIdleMillis = InstanceLoad.NEVER;
  private String leastIdleEntry = "";
  // The longest suspicion, its entry and the next shorter one, which holds without that entry.
  private long failingMillis;
  private long nextFailingMillis;
  private String longestFailingEntry = "";

  LoadTotal(String instance) {
    this.instance = instance;
  }

  /** Adds the report of an entry; reports for an earlier epoch of the instance are ignored. */
  void add(String entry, InstanceLoad l) {
    if (l.epoch() < epoch) {
      return;
    }
    if (l.epoch() > epoch) {
      reset();
      epoch = l.epoch();
    }
    reports++;
    active += l.active();
    prefillTokens += l.prefillTokens();
    if (reports == 1 || l.idleMillis() < idleMillis) {
      nextIdleMillis = idleMillis;
      idleMillis = l.idleMillis();
      leastIdleEntry = entry;
    } else {
      nextIdleMillis = Math.min(nextIdleMillis, l.idleMillis());
    }
    if (reports == 1 || l.failingMillis() > failingMillis) {
      nextFailingMillis = failingMillis;
      failingMillis = l.failingMillis();
      longestFailingEntry = entry;
    } else {
      nextFailingMillis = Math.max(nextFailingMillis, l.failingMillis());
    }
  }

  /** Returns the sum of all reports. */
  InstanceLoad all() {
    return new InstanceLoad(instance, epoch, active, prefillTokens, idleMillis, failingMillis);
  }

  /**
   * Returns the sum without one entry, or null if there is no other report.
   *
   * @param own the report of that entry that is part of the sum, or null if there is none
   */
  @Nullable InstanceLoad without(String entry, @Nullable InstanceLoad own) {
    if (own == null || own.epoch() != epoch) {
      return all();
    }
    if (reports == 1) {
      return null;
    }
    return new InstanceLoad(
        instance,
        epoch,
        active - own.active(),
        prefillTokens - own.prefillTokens(),
        entry.equals(leastIdleEntry) ? nextIdleMillis : idleMillis,
        entry.equals(longestFailingEntry) ? nextFailingMillis : failingMillis);
  }

  private void reset() {
    reports = 0;
    active = 0;
    prefillTokens = 0;
    idleMillis = InstanceLoad.NEVER;
    nextIdleMillis = InstanceLoad.NEVER;
    failingMillis = 0;
    nextFailingMillis = 0;
  }
}
