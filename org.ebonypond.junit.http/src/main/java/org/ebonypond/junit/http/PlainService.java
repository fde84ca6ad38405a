package org.ebonypond.junit.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * The decisions of the service stand-in: admission, overload, lost answers and counts. Not
 * thread-safe; times are monotonic milliseconds.
 */
public final class PlainService {
  private final String zone;
  private final int maxConcurrency;
  private final long latencyMillis;
  private final Lifecycle lifecycle;
  private final SplittableRandom random;
  private final ExecutionLedger ledger = new ExecutionLedger();
  private final WorkCounts work = new WorkCounts();
  private double answerLost;
  private int active;
  private long generation;
  private long lookups;
  private long answersLost;
  private long completed;
  private long wrongBoot;

  /**
   * Creates a service.
   *
   * @param zone the availability zone
   * @param maxConcurrency the calls that run together without slowing each other down
   * @param latencyMillis the time of one call, in milliseconds
   * @param answerLost the share of calls that run but whose answer is lost
   * @param lifecycle the boot identity and overload
   * @param seed the seed of the choice of lost answers
   */
  public PlainService(
      String zone,
      int maxConcurrency,
      long latencyMillis,
      double answerLost,
      Lifecycle lifecycle,
      long seed) {
    this.zone = zone;
    this.maxConcurrency = maxConcurrency;
    this.latencyMillis = latencyMillis;
    this.answerLost = answerLost;
    this.lifecycle = lifecycle;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Begins a call. A call that is not idempotent has its effect here, before its answer.
   *
   * @param call the call
   * @param now the time
   * @param wallMillis wall time in milliseconds since the epoch, for the counts
   */
  public Started begin(ServiceCall call, long now, long wallMillis) {
    if (lifecycle.down(now)) {
      return new Started(Admission.DOWN, 0, false, generation);
    }
    String expected = call.expectedBoot();
    if (expected != null && !expected.equals(lifecycle.boot())) {
      wrongBoot++;
      return new Started(Admission.WRONG_BOOT, 0, false, generation);
    }
    if (lifecycle.failIfOverloaded(active + 1, now)) {
      lose();
      return new Started(Admission.FELL_OVER, 0, false, generation);
    }
    active++;
    work.started(zone, lifecycle.leaving(), lifecycle.leavingFor(now), wallMillis);
    if (call.idempotent()) {
      lookups++;
    } else {
      ledger.executed(call.workspace(), call.key(), call.requestId());
    }
    boolean lost = random.nextDouble() < answerLost;
    answersLost += lost ? 1 : 0;
    int rounds = (active + maxConcurrency - 1) / maxConcurrency;
    long latency = (long) (latencyMillis * rounds * lifecycle.slowFactor(now));
    return new Started(Admission.ACCEPTED, latency, lost, generation);
  }

  /** Ends a call; has no effect if the service has failed or restarted since it began. */
  public void end(Started started) {
    if (started.admission() == Admission.ACCEPTED && started.generation() == generation) {
      active--;
      completed++;
    }
  }

  /** Restarts with a new boot identity. */
  public void restart(long now) {
    lifecycle.restart(now);
    lose();
  }

  /** Sets the share of calls whose answer is lost. */
  public void loseAnswers(double share) {
    answerLost = share;
  }

  /** Returns the boot identity and faults. */
  public Lifecycle lifecycle() {
    return lifecycle;
  }

  /** Returns the executions by key and by request. */
  public ExecutionLedger ledger() {
    return ledger;
  }

  /** Returns the number of calls in flight. */
  public int active() {
    return active;
  }

  /** Returns the present load. */
  public LoadHistory.Sample load(long now, long wallMillis) {
    int running = Math.min(active, maxConcurrency);
    return new LoadHistory.Sample(now, wallMillis, running, active - running, 0);
  }

  /** Returns all counts by name. */
  public Map<String, Object> counters() {
    Map<String, Object> out = new LinkedHashMap<>(work.values());
    out.put("overloads", lifecycle.overloads());
    out.put("lookups", lookups);
    out.put("completed", completed);
    out.put("doubledExecutions", ledger.doubled());
    out.put("answersLost", answersLost);
    out.put("refusedWrongBoot", wrongBoot);
    return out;
  }

  /** Sets the counts to 0 and ends the injected faults. */
  public void reset() {
    work.reset();
    lifecycle.reset();
    ledger.reset();
    lookups = 0;
    answersLost = 0;
    completed = 0;
    wrongBoot = 0;
  }

  private void lose() {
    active = 0;
    generation++;
  }

  /**
   * A call that has begun.
   *
   * @param admission what the service does with it
   * @param latencyMillis the time to its answer, in milliseconds
   * @param answerLost whether the connection is dropped instead of the answer
   * @param generation changes when the service fails or restarts
   */
  public record Started(
      Admission admission, long latencyMillis, boolean answerLost, long generation) {}

  /**
   * A call.
   *
   * @param idempotent whether it only reads
   * @param workspace the workspace; empty if the call names none
   * @param key the idempotency key; empty if the call has none
   * @param requestId the request identity; empty if the call has none
   * @param expectedBoot the boot identity that the caller expects, or null
   */
  public record ServiceCall(
      boolean idempotent,
      String workspace,
      String key,
      String requestId,
      @Nullable String expectedBoot) {}
}
