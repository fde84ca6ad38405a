package org.ebonypond.junit.http;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The decisions of the engine stand-in: orders, admission, batching, failures and counts. Not
 * thread-safe; times are monotonic milliseconds.
 */
public final class Engine {
  private final String zone;
  private final boolean failsOnMissingMember;
  private final Lifecycle lifecycle;
  private final EngineState state;
  private final ContinuousBatch batch;
  private final PrefixCache cache;
  private final MemberWatch members = new MemberWatch();
  private final WorkCounts work = new WorkCounts();
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
   * @param failsOnMissingMember whether requests fail when a member is missing; if not, the engine
   *     answers and counts
   * @param lifecycle the boot identity and overload
   * @param state orders and the loaded model
   * @param batch the running and waiting requests
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
   * Admits a request or says why not.
   *
   * @param r the request
   * @param expectedBoot the boot identity that the caller expects, or null
   * @param now the time
   * @param wallMillis wall time in milliseconds since the epoch, for the counts
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
      lose();
      return Admission.FELL_OVER;
    }
    work.started(zone, lifecycle.leaving(), lifecycle.leavingFor(now), wallMillis);
    resumed += r.offset() > 0 ? 1 : 0;
    batch.add(r);
    return Admission.ACCEPTED;
  }

  /** Carries out an order; returns false if it is old and was refused. */
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

  /** Produces the tokens that are due and fails requests when a member is missing. */
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

  /** Cancels the requests of an identity; returns how many there were. */
  public int cancel(String id) {
    int n = drop(r -> r.id().equals(id));
    cancelled += n;
    return n;
  }

  /** Forgets a request whose caller has disconnected. */
  public void disconnected(EngineRequest request) {
    cancelled += batch.remove(r -> r == request).size();
  }

  /** Restarts with a new boot identity, without a model, and drops all requests. */
  public void restart(long now) {
    lifecycle.restart(now);
    lose();
  }

  /** Returns the announced status. */
  public String status(long now) {
    return lifecycle.leaving() ? "leaving" : groupStatus(now);
  }

  /** Returns the boot identity and faults. */
  public Lifecycle lifecycle() {
    return lifecycle;
  }

  /** Returns the orders and the loaded model. */
  public EngineState state() {
    return state;
  }

  /** Returns the members of the group. */
  public MemberWatch members() {
    return members;
  }

  /** Returns the prefix cache. */
  public PrefixCache cache() {
    return cache;
  }

  /** Returns the present load. */
  public LoadHistory.Sample load(long now, long wallMillis) {
    return new LoadHistory.Sample(
        now, wallMillis, batch.running(), batch.waiting(), batch.tokens());
  }

  /** Returns all counts by name. */
  public Map<String, Object> counters() {
    Map<String, Object> out = new LinkedHashMap<>(work.values());
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

  /** Sets the counts to 0 and ends the injected faults. */
  public void reset() {
    work.reset();
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

  /** Rank 0 is ready only after it has seen all members loaded under the order in force. */
  private String groupStatus(long now) {
    String own = state.status(now);
    boolean waits = state.current().rank() == 0 && !members.complete();
    return own.equals("ready") && waits ? "loading" : own;
  }

  private void lose() {
    state.forget();
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
