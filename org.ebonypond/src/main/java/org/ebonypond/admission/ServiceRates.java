package org.ebonypond.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The measured service rates of each pool as this entry sees them: the time that a request takes
 * once it is dispatched, and the tokens that leave the queue per millisecond while requests wait.
 * Thread-safe; each pool has its own lock.
 */
public final class ServiceRates {
  /** Time constant in milliseconds of the drain rate: long enough to smooth single answers. */
  private static final double DRAIN_MILLIS = 5_000;

  /** The least backlogged time in milliseconds before the drain rate is used. */
  private static final double MIN_BACKLOG_MILLIS = 200;

  /** The weight that past answers keep with each new one: about the last hundred answers count. */
  private static final double KEEP = 0.99;

  /** The share of waits that stay within the margin. */
  private static final double WITHIN_MARGIN = 0.9;

  /** How far one wait moves the margin. */
  private static final double MARGIN_STEP = 0.05;

  private static final double MIN_MARGIN = 1.25;
  private static final double MAX_MARGIN = 4;

  /** The least estimated wait in milliseconds that says something about the margin. */
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
   * @param expectedTokens the tokens given when it was dispatched
   * @param actualTokens the tokens that it took
   * @param serviceMillis the time in milliseconds from dispatch to the end of the answer
   */
  public void onCompleted(
      String pool, long expectedTokens, long actualTokens, double serviceMillis) {
    Pool p = pool(pool);
    synchronized (p) {
      p.inFlightTokens = Math.max(0, p.inFlightTokens - expectedTokens);
      p.fit(actualTokens, serviceMillis);
    }
  }

  /** Records that a dispatched request ended without a complete answer. */
  public void onAbandoned(String pool, long expectedTokens) {
    Pool p = pool(pool);
    synchronized (p) {
      p.inFlightTokens = Math.max(0, p.inFlightTokens - expectedTokens);
    }
  }

  /** Records the tokens that wait in the queue of a pool. */
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
      return Math.round(p.service(tokens));
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
   * Records how long a request waited, or at least waited if it was refused.
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
   * Returns the factor by which waits exceed their estimate, except for one in ten. Requests that
   * arrive later may be served first, which the estimate on arrival cannot know.
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

  /** Returns the seconds until the present queue of a pool is expected to have drained. */
  public int retryAfter(String pool, long nowMillis) {
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
    private double backlogMillis;
    private double drained;
    private double margin = MIN_MARGIN;
    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    void advance(long now) {
      if (lastMillis != Long.MIN_VALUE && backlogTokens > 0 && now > lastMillis) {
        double dt = now - lastMillis;
        double keep = Math.exp(-dt / DRAIN_MILLIS);
        backlogMillis = backlogMillis * keep + dt;
        drained *= keep;
      }
      lastMillis = Math.max(lastMillis, now);
    }

    void fit(double x, double y) {
      weight = weight * KEEP + 1;
      sumX = sumX * KEEP + x;
      sumY = sumY * KEEP + y;
      sumXx = sumXx * KEEP + x * x;
      sumXy = sumXy * KEEP + x * y;
    }

    /** Evaluates the least-squares line through the answers, neither falling nor below zero. */
    double service(double tokens) {
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
