package org.ebonypond.junit.http;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * A simulated model engine without its HTTP interface: orders, admission, batching, failures and
 * counters. Not thread-safe. Times are monotonic milliseconds.
 */
public final class Engine {
  private final String zone;
  private final boolean failsOnMissingMember;
  private final Lifecycle lifecycle;
  private final EngineState state;
  private final ContinuousBatch batch;
  private final PrefixCache cache;
  private final MemberWatch members = new MemberWatch();
  private final RequestCounts requestCounts = new RequestCounts();
  private long completed;
  private long resumed;
  private long cancelled;
  private long wrongBoot;
  private long notLoaded;
  private long failedForMissingMember;
  private long startedWhileMemberMissing;
  private long servedWhileMemberMissing;
  private long longestMissingAtStart;
  private long lastLoadedAt = -1;

  /**
   * Creates an engine.
   *
   * @param zone the availability zone
   * @param failsOnMissingMember whether requests fail while a member is missing; if not, the engine
   *     answers them and counts the answers
   * @param lifecycle the boot identity, overload state and injected faults
   * @param state the order in force and the loaded model
   * @param batch the requests in progress
   * @param cache the prefix cache
   */
  public Engine(
      String zone,
      boolean failsOnMissingMember,
      Lifecycle lifecycle,
      EngineState state,
      ContinuousBatch batch,
      PrefixCache cache) {
    this.zone = zone;
    this.failsOnMissingMember = failsOnMissingMember;
    this.lifecycle = lifecycle;
    this.state = state;
    this.batch = batch;
    this.cache = cache;
  }

  /**
   * Admits a request or returns why it was not admitted.
   *
   * @param r the request
   * @param expectedBoot the boot identity that the caller expects, or null to accept any
   * @param now monotonic milliseconds
   * @param wallMillis wall time in milliseconds since the epoch, for the counters
   */
  public Admission submit(
      EngineRequest r, @Nullable String expectedBoot, long now, long wallMillis) {
    advance(now);
    if (lifecycle.down(now)) {
      return Admission.DOWN;
    }
    if (expectedBoot != null && !expectedBoot.equals(lifecycle.boot())) {
      wrongBoot++;
      return Admission.WRONG_BOOT;
    }
    if (!serves(r.model(), now)) {
      notLoaded++;
      return Admission.NOT_LOADED;
    }
    if (members.missing()) {
      startedWhileMemberMissing++;
      longestMissingAtStart = Math.max(longestMissingAtStart, members.missingFor(now));
      if (failsOnMissingMember) {
        failedForMissingMember++;
        return Admission.MEMBER_MISSING;
      }
    }
    if (lifecycle.failIfOverloaded(batch.running() + batch.waiting() + 1, now)) {
      discardState();
      return Admission.FELL_OVER;
    }
    requestCounts.started(zone, lifecycle.leaving(), lifecycle.leavingFor(now), wallMillis);
    resumed += r.offset() > 0 ? 1 : 0;
    batch.add(r);
    return Admission.ACCEPTED;
  }

  /** Executes an order; returns false if it was refused because its fencing number is old. */
  public boolean order(EngineOrder o, long now) {
    advance(now);
    if (!state.apply(o, now)) {
      return false;
    }
    if (!state.status(now).equals("ready")) {
      lastLoadedAt = -1;
      drop(r -> true);
      cache.clear();
    }
    members.watch(state.current(), now);
    return true;
  }

  /** Produces the tokens that are due, or fails all requests if a member is missing. */
  public void advance(long now) {
    if (state.status(now).equals("ready") && state.loadedAt() != lastLoadedAt) {
      lastLoadedAt = state.loadedAt();
      lifecycle.coldStart(lastLoadedAt);
    }
    if (failsOnMissingMember && members.missing()) {
      failedForMissingMember += drop(r -> true);
      return;
    }
    int ended = batch.advance(now, lifecycle.slowFactor(now), cache).size();
    completed += ended;
    servedWhileMemberMissing += members.missing() ? ended : 0;
  }

  /** Cancels all requests with an identity; returns their number. */
  public int cancel(String id) {
    int n = drop(r -> r.id().equals(id));
    cancelled += n;
    return n;
  }

  /** Cancels a request whose caller has disconnected. */
  public void disconnected(EngineRequest request) {
    cancelled += batch.remove(r -> r == request).size();
  }

  /** Restarts with a new boot identity and no model, and drops all requests. */
  public void restart(long now) {
    lifecycle.restart(now);
    discardState();
  }

  /** Returns the status to announce. */
  public String status(long now) {
    return lifecycle.leaving() ? "leaving" : groupStatus(now);
  }

  /** Returns the lifecycle: boot identity, overload state and injected faults. */
  public Lifecycle lifecycle() {
    return lifecycle;
  }

  /** Returns the order in force and the loaded model. */
  public EngineState state() {
    return state;
  }

  /** Returns the presence of the other members of the group. */
  public MemberWatch members() {
    return members;
  }

  /** Returns the prefix cache. */
  public PrefixCache cache() {
    return cache;
  }

  /** Returns the current load. */
  public LoadHistory.Sample load(long now, long wallMillis) {
    return new LoadHistory.Sample(
        now, wallMillis, batch.running(), batch.waiting(), batch.remainingTokens());
  }

  /** Returns all counters by name. */
  public Map<String, Object> counters() {
    Map<String, Object> out = new LinkedHashMap<>(requestCounts.values());
    out.put("overloads", lifecycle.overloads());
    out.put("completed", completed);
    out.put("resumed", resumed);
    out.put("cancelled", cancelled);
    out.put("refusedWrongBoot", wrongBoot);
    out.put("refusedNotLoaded", notLoaded);
    out.put("failedForMissingMember", failedForMissingMember);
    out.put("startedWhileMemberMissing", startedWhileMemberMissing);
    out.put("servedWhileMemberMissing", servedWhileMemberMissing);
    out.put("longestMissingAtStartMillis", longestMissingAtStart);
    out.put("staleOrdersRefused", state.staleRefused());
    out.put("staleOrdersApplied", state.staleApplied());
    return out;
  }

  /** Sets the counters to 0 and ends the injected faults. */
  public void reset() {
    requestCounts.reset();
    lifecycle.reset();
    state.reset();
    completed = 0;
    resumed = 0;
    cancelled = 0;
    wrongBoot = 0;
    notLoaded = 0;
    failedForMissingMember = 0;
    startedWhileMemberMissing = 0;
    servedWhileMemberMissing = 0;
    longestMissingAtStart = 0;
  }

  private boolean serves(String model, long now) {
    EngineOrder o = state.current();
    boolean modelMatches =
        model.isEmpty() || model.equals(o.model()) || o.adapters().contains(model);
    return groupStatus(now).equals("ready") && o.rank() == 0 && modelMatches;
  }

  /** Rank 0 is ready only after all members have reported that they loaded the current order. */
  private String groupStatus(long now) {
    String own = state.status(now);
    boolean waitsForMembers = state.current().rank() == 0 && !members.complete();
    return own.equals("ready") && waitsForMembers ? "loading" : own;
  }

  private void discardState() {
    state.clear();
    cache.clear();
    lastLoadedAt = -1;
    drop(r -> true);
    members.watch(state.current(), 0);
  }

  private int drop(Predicate<EngineRequest> which) {
    List<EngineRequest> removed = batch.remove(which);
    removed.forEach(r -> r.sink().drop());
    return removed.size();
  }
}
