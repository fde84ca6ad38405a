package org.ebonypond.junit;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.ledger.AnswerHeader;
import org.ebonypond.ledger.StoredAnswer;
import org.ebonypond.time.TimerService;

/**
 * A plain service that executes each request it receives and counts executions by key. A second
 * execution of a key, or the execution of a request that was answered as not run, fails the test
 * with {@code invariant-violated}.
 */
public final class FakePlainService {
  private final TimerService timers;
  private final Faults faults;
  private final Map<String, Integer> executions = new HashMap<>();
  private final Set<String> executedRequests = new HashSet<>();
  private final Set<String> declaredNotRun = new HashSet<>();
  private LongSupplier executionMillis = () -> 1;
  private double refuseRate;
  private double cutRate;

  /** Receives the outcome of a dispatched request; at most one method is called. */
  public interface Client {
    /** The connection failed before anything was written. */
    void notWritten();

    /** The connection failed after the request was written. */
    void connectionLost();

    /** The answer was received. */
    void answered(StoredAnswer answer);
  }

  /**
   * Creates a service.
   *
   * @param timers the timers
   * @param faults the random source, and the delays of requests and answers
   */
  public FakePlainService(TimerService timers, Faults faults) {
    this.timers = timers;
    this.faults = faults;
  }

  /**
   * Sets the execution time and the rates of connection failures, each from 0 to 1.
   *
   * @param durationMillis supplies the duration of each execution, in milliseconds
   * @param refuse the fraction of connections that fail before anything is written
   * @param cut the fraction of connections that fail after the request is written
   */
  public void set(LongSupplier durationMillis, double refuse, double cut) {
    executionMillis = durationMillis;
    refuseRate = refuse;
    cutRate = cut;
  }

  /** Receives a request over a new connection. */
  public void send(String request, String key, Client client) {
    if (faults.occurs(refuseRate)) {
      timers.after(faults.delay(), client::notWritten);
      return;
    }
    boolean cut = faults.occurs(cutRate);
    boolean arrives = !cut || faults.occurs(0.5);
    if (cut) {
      timers.after(faults.delay(), client::connectionLost);
    }
    if (arrives) {
      timers.after(faults.delay(), () -> execute(request, key, cut, client));
    }
  }

  /** Records that a request was answered as not run. */
  public void declareNotRun(String request) {
    declaredNotRun.add(request);
    check(!executedRequests.contains(request), "executed, then answered as not run: " + request);
  }

  /** Returns the number of executions of a key. */
  public int executions(String key) {
    return executions.getOrDefault(key, 0);
  }

  /** Returns the answer to the execution of a key. */
  public static StoredAnswer answerOf(String key) {
    byte[] body = ("done " + key).getBytes(StandardCharsets.UTF_8);
    return new StoredAnswer(
        201, new ArrayList<>(List.of(new AnswerHeader("Location", "/orders/" + key))), body, true);
  }

  private void execute(String request, String key, boolean cut, Client client) {
    check(executions.merge(key, 1, Integer::sum) == 1, "executed twice: " + key);
    executedRequests.add(request);
    check(!declaredNotRun.contains(request), "answered as not run, then executed: " + request);
    if (!cut) {
      timers.after(
          executionMillis.getAsLong() + faults.delay(), () -> client.answered(answerOf(key)));
    }
  }

  private static void check(boolean condition, String text) {
    if (!condition) {
      throw new EbonypondException(ErrorCode.INVARIANT_VIOLATED, "plain service: " + text);
    }
  }
}
