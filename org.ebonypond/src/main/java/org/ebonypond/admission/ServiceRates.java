package org.ebonypond.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The service rates of each pool as measured by this entry: the duration of a request after its
 * dispatch, and the tokens per millisecond that leave the queue while requests wait. Thread-safe;
 * each pool has its own lock.
 */
public final class ServiceRates {
  /**
   * The time constant in milliseconds of the drain rate, long enough to smooth out single answers.
   */
  private static final double DRAIN_MILLIS = 5_000;

  /** The minimum time in milliseconds with a backlog before the drain rate is used. */
  private static final double MIN_BACKLOG_MILLIS = 200;

  /**
   * The decay of past answers with each new one; the average covers about the last hundred answers.
   */
  private static final double DECAY = 0.99;

  /** The target fraction of waits that stay within the margin. */
  private static final double WITHIN_MARGIN = 0.9;

  /** The step by which one wait adjusts the margin. */
  private static final double MARGIN_STEP = 0.05;

  private static final double MIN_MARGIN = 1.25;
  private static final double MAX_MARGIN = 4;

  /**
   * The minimum estimated wait in milliseconds that adjusts the margin; shorter ones are not
   * significant.
   */
  private static final long MIN_WAIT_MILLIS = 100;

  private final Map<String, Pool> pools = new ConcurrentHashMap<>();

  private Pool pool(String name) {
    return pools.computeIfAbsent(name, k -> new Pool());
  }

  /** Records that a request was dispatched. */
  public void onDispatched(String pool, long tokens, long nowMillis) {
    Pool p = pool(pool);
    synchronized (p) {
      p.advance(nowMillis);
      p.inFlightTokens += tokens;
      if (p.backlogTokens > 0) {
        p.drained += tokens;
      }
    }
  }

  /**
   * Records that a request was answered completely.
   *
   * @param pool the model or the service
   * @param expectedTokens the tokens that were recorded at its dispatch
   * @param actualTokens the actual tokens of the request
   * @param serviceMillis the time in milliseconds from dispatch to the end of the answer
   */
  public void onCompleted(
      String pool, long expectedTokens, long actualTokens, double serviceMillis) {
    Pool p = pool(pool);
    synchronized (p) {
      p.inFlightTokens = Math.max(0, p.inFlightTokens - expectedTokens);
      p.addSample(actualTokens, serviceMillis);
    }
  }

  /** Records that a dispatched request ended without a complete answer. */
  public void onAbandoned(String pool, long expectedTokens) {
    Pool p = pool(pool);
    synchronized (p) {
      p.inFlightTokens = Math.max(0, p.inFlightTokens - expectedTokens);
    }
  }

  /** Records the total tokens in the queue of a pool. */
  public void onBacklog(String pool, long queuedTokens, long nowMillis) {
    Pool p = pool(pool);
    synchronized (p) {
      p.advance(nowMillis);
      p.backlogTokens = queuedTokens;
    }
  }

  /**
   * Returns the estimated time in milliseconds from the dispatch of a request to the end of its
   * answer, or 0 if nothing was measured yet.
   */
  public long serviceMillis(String pool, long tokens) {
    Pool p = pool(pool);
    synchronized (p) {
      return Math.round(p.predictMillis(tokens));
    }
  }

  /**
   * Returns the estimated time in milliseconds until a number of queued tokens have been
   * dispatched, or 0 if nothing was measured yet.
   */
  public long waitMillis(String pool, long queuedTokens, long nowMillis) {
    Pool p = pool(pool);
    synchronized (p) {
      p.advance(nowMillis);
      return Math.round(p.drainMillis(queuedTokens));
    }
  }

  /**
   * Records the wait of a request; for a request refused while it waited, this is a lower bound.
   *
   * @param pool the model or the service
   * @param expectedMillis the wait estimated on arrival, in milliseconds
   * @param actualMillis the wait in milliseconds
   */
  public void onWaited(String pool, long expectedMillis, long actualMillis) {
    if (expectedMillis < MIN_WAIT_MILLIS) {
      return;
    }
    Pool p = pool(pool);
    synchronized (p) {
      boolean within = actualMillis <= p.margin * expectedMillis;
      double step = MARGIN_STEP * (within ? WITHIN_MARGIN - 1 : WITHIN_MARGIN);
      p.margin = Math.max(MIN_MARGIN, Math.min(MAX_MARGIN, p.margin + step));
    }
  }

  /**
   * Returns the factor of the estimate that nine in ten waits do not exceed. Waits can exceed the
   * estimate because requests that arrive later may be served first, which is unknown on arrival.
   */
  public double waitMargin(String pool) {
    Pool p = pool(pool);
    synchronized (p) {
      return p.margin;
    }
  }

  /** Returns the mean tokens of an answered request, or 0 if nothing was measured yet. */
  public long meanTokens(String pool) {
    Pool p = pool(pool);
    synchronized (p) {
      return p.weight == 0 ? 0 : Math.round(p.sumX / p.weight);
    }
  }

  /** Returns the estimated seconds until the current queue of a pool is drained. */
  public int retryAfterSeconds(String pool, long nowMillis) {
    Pool p = pool(pool);
    synchronized (p) {
      p.advance(nowMillis);
      return RetryAfter.seconds(p.drainMillis(p.backlogTokens));
    }
  }

  /** Guarded by itself. */
  private static final class Pool {
    private long lastMillis = Long.MIN_VALUE;
    private long backlogTokens;
    private long inFlightTokens;
    // The time with a backlog and the tokens dispatched in it; older parts decay.
    private double backlogMillis;
    private double drained;
    private double margin = MIN_MARGIN;
    // Decayed sums over the answered requests: x is the tokens, y the service time in milliseconds.
    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    void advance(long now) {
      if (lastMillis != Long.MIN_VALUE && backlogTokens > 0 && now > lastMillis) {
        double dt = now - lastMillis;
        double decay = Math.exp(-dt / DRAIN_MILLIS);
        backlogMillis = backlogMillis * decay + dt;
        drained *= decay;
      }
      lastMillis = Math.max(lastMillis, now);
    }

    void addSample(double x, double y) {
      weight = weight * DECAY + 1;
      sumX = sumX * DECAY + x;
      sumY = sumY * DECAY + y;
      sumXx = sumXx * DECAY + x * x;
      sumXy = sumXy * DECAY + x * y;
    }

    /**
     * Evaluates the least-squares line through the answers; the slope and the result are never
     * negative.
     */
    double predictMillis(double tokens) {
      if (weight == 0) {
        return 0;
      }
      double meanX = sumX / weight;
      double meanY = sumY / weight;
      double varX = sumXx / weight - meanX * meanX;
      double cov = sumXy / weight - meanX * meanY;
      double slope = varX > 1e-6 * meanX * meanX ? Math.max(0, cov / varX) : 0;
      return Math.max(0, meanY + slope * (tokens - meanX));
    }

    double drainMillis(double tokens) {
      if (tokens <= 0) {
        return 0;
      }
      if (backlogMillis >= MIN_BACKLOG_MILLIS) {
        return tokens / Math.max(drained / backlogMillis, 1e-6);
      }
      if (weight == 0 || inFlightTokens == 0) {
        return 0;
      }
      // Little's law: the requests in flight leave at the rate at which they are served.
      double rate = inFlightTokens / Math.max(1, sumY / weight);
      return tokens / rate;
    }
  }
}
