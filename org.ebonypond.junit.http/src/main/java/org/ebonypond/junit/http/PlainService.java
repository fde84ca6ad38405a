package org.ebonypond.junit.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * A simulated plain service without its HTTP interface: admission, overload, lost answers and
 * counters. Not thread-safe. Times are monotonic milliseconds.
 */
public final class PlainService {
  private final String zone;
  private final int maxConcurrency;
  private final long latencyMillis;
  private final Lifecycle lifecycle;
  private final SplittableRandom random;
  private final ExecutionCounts executionCounts = new ExecutionCounts();
  private final RequestCounts requestCounts = new RequestCounts();
  private double answerLossRatio;
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
   * @param maxConcurrency the number of concurrent calls above which latency rises
   * @param latencyMillis the latency of a call at up to {@code maxConcurrency} concurrent calls, in
   *     milliseconds
   * @param answerLossRatio the ratio, from 0 to 1, of calls that run but whose answer is lost
   * @param lifecycle the boot identity, overload state and injected faults
   * @param seed the seed for the random choice of lost answers
   */
  public PlainService(
      String zone,
      int maxConcurrency,
      long latencyMillis,
      double answerLossRatio,
      Lifecycle lifecycle,
      long seed) {
    this.zone = zone;
    this.maxConcurrency = maxConcurrency;
    this.latencyMillis = latencyMillis;
    this.answerLossRatio = answerLossRatio;
    this.lifecycle = lifecycle;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Begins a call. A call that is not idempotent takes effect here, before it is answered.
   *
   * @param call the call
   * @param now monotonic milliseconds
   * @param wallMillis wall time in milliseconds since the epoch, for the counters
   */
  public BeginResult begin(ServiceCall call, long now, long wallMillis) {
    if (lifecycle.down(now)) {
      return new BeginResult(Admission.DOWN, 0, false, generation);
    }
    String expected = call.expectedBoot();
    if (expected != null && !expected.equals(lifecycle.boot())) {
      wrongBoot++;
      return new BeginResult(Admission.WRONG_BOOT, 0, false, generation);
    }
    if (lifecycle.failIfOverloaded(active + 1, now)) {
      discardCalls();
      return new BeginResult(Admission.FELL_OVER, 0, false, generation);
    }
    active++;
    requestCounts.started(zone, lifecycle.leaving(), lifecycle.leavingFor(now), wallMillis);
    if (call.idempotent()) {
      lookups++;
    } else {
      executionCounts.add(call.workspace(), call.key(), call.requestId());
    }
    boolean lost = random.nextDouble() < answerLossRatio;
    answersLost += lost ? 1 : 0;
    int rounds = (active + maxConcurrency - 1) / maxConcurrency;
    long latency = (long) (latencyMillis * rounds * lifecycle.slowFactor(now));
    return new BeginResult(Admission.ACCEPTED, latency, lost, generation);
  }

  /** Ends a call. Has no effect if the service went down or restarted since the call began. */
  public void end(BeginResult begun) {
    if (begun.admission() == Admission.ACCEPTED && begun.generation() == generation) {
      active--;
      completed++;
    }
  }

  /** Restarts with a new boot identity. */
  public void restart(long now) {
    lifecycle.restart(now);
    discardCalls();
  }

  /** Sets the ratio, from 0 to 1, of calls whose answer is lost. */
  public void setAnswerLossRatio(double ratio) {
    answerLossRatio = ratio;
  }

  /** Returns the lifecycle: boot identity, overload state and injected faults. */
  public Lifecycle lifecycle() {
    return lifecycle;
  }

  /** Returns the execution counts by idempotency key and by request identity. */
  public ExecutionCounts executionCounts() {
    return executionCounts;
  }

  /** Returns the number of calls in flight. */
  public int active() {
    return active;
  }

  /** Returns the current load. */
  public LoadHistory.Sample load(long now, long wallMillis) {
    int running = Math.min(active, maxConcurrency);
    return new LoadHistory.Sample(now, wallMillis, running, active - running, 0);
  }

  /** Returns all counters by name. */
  public Map<String, Object> counters() {
    Map<String, Object> out = new LinkedHashMap<>(requestCounts.values());
    out.put("overloads", lifecycle.overloads());
    out.put("lookups", lookups);
    out.put("completed", completed);
    out.put("doubledExecutions", executionCounts.duplicates());
    out.put("answersLost", answersLost);
    out.put("refusedWrongBoot", wrongBoot);
    return out;
  }

  /** Sets the counters to 0 and ends the injected faults. */
  public void reset() {
    requestCounts.reset();
    lifecycle.reset();
    executionCounts.reset();
    lookups = 0;
    answersLost = 0;
    completed = 0;
    wrongBoot = 0;
  }

  private void discardCalls() {
    active = 0;
    generation++;
  }

  /**
   * The result of beginning a call.
   *
   * @param admission whether the call was admitted, or why not
   * @param latencyMillis the time until the answer, in milliseconds
   * @param answerLost whether the connection is dropped instead of answering
   * @param generation the service's generation, which changes when it goes down or restarts
   */
  public record BeginResult(
      Admission admission, long latencyMillis, boolean answerLost, long generation) {}

  /**
   * A call of the service.
   *
   * @param idempotent whether the call only reads
   * @param workspace the workspace; empty if the call names none
   * @param key the idempotency key; empty if the call has none
   * @param requestId the request identity; empty if the call has none
   * @param expectedBoot the boot identity that the caller expects, or null to accept any
   */
  public record ServiceCall(
      boolean idempotent,
      String workspace,
      String key,
      String requestId,
      @Nullable String expectedBoot) {}
}
