package org.ebonypond.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.ebonypond.admission.FairQueue.Waiting;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.document.WorkspaceSpec;
import org.ebonypond.errors.ErrorCode;

/**
 * Admits, queues or refuses the requests of an entry. A refusal is returned as soon as it is
 * certain. Thread-safe; each pool has its own queue and lock.
 *
 * @param <R> the type of reservations that admitted requests hold
 */
public final class AdmissionController<R> {
  /**
   * The time in milliseconds for which requests are queued while no target of their pool is in
   * service. It covers a false suspicion after a failed connection; a repair takes longer than most
   * deadlines.
   */
  public static final long NO_TARGET_GRACE_MILLIS = 1_000;

  /** The number of requests of a workspace that are searched for one with a cached prefix. */
  private static final int LOOK_AHEAD = 32;

  private final SlotSource<R> slots;
  private final ServiceRates rates;
  private final Map<String, Pool> pools = new ConcurrentHashMap<>();
  private volatile List<WorkspaceSpec> workspaces = List.of();

  /**
   * Creates a controller that reserves capacity from a source and estimates waits from measured
   * rates.
   */
  public AdmissionController(SlotSource<R> slots, ServiceRates rates) {
    this.slots = slots;
    this.rates = rates;
  }

  /** Applies the workspaces of a document. */
  public void configure(ServiceDocument document) {
    workspaces = document.workspaces();
  }

  /**
   * Decides on a new request.
   *
   * @param r the request
   * @param nowMillis the monotonic time in milliseconds
   */
  public Decision<R> arrive(AdmissionRequest r, long nowMillis) {
    Pool p = pool(r.pool());
    synchronized (p) {
      p.configure();
      if (!p.queue.knows(r.workspace())) {
        return new Decision.Refused<>(r, ErrorCode.UNKNOWN_WORKSPACE, 1, 0);
      }
      if (p.isUnavailable(nowMillis)) {
        return noCapacity(r);
      }
      long serviceMillis = rates.serviceMillis(r.pool(), r.tokens());
      long remaining = r.deadlineMillis() - nowMillis;
      if (remaining <= 0 || serviceMillis > remaining) {
        return deadlineTooClose(r, serviceMillis, remaining);
      }
      if (p.queue.size() == 0) {
        Optional<R> slot = slots.tryAcquire(r, nowMillis);
        if (slot.isPresent()) {
          p.queue.charge(r);
          rates.onDispatched(r.pool(), r.tokens(), nowMillis);
          return new Decision.Admitted<>(r, slot.get(), 0);
        }
      }
      return enqueue(p, r, serviceMillis, nowMillis);
    }
  }

  private Decision<R> enqueue(Pool p, AdmissionRequest r, long serviceMillis, long now) {
    long ahead = p.queue.tokensAhead(r.workspace(), r.priority());
    long wait = rates.waitMillis(r.pool(), ahead + rates.meanTokens(r.pool()), now);
    long remaining = r.deadlineMillis() - now;
    long maxWait = Math.round(rates.waitMargin(r.pool()) * wait);
    if (maxWait + serviceMillis > remaining) {
      return deadlineTooClose(r, maxWait + serviceMillis, remaining);
    }
    if (!p.queue.offer(r, wait, now)) {
      return new Decision.Refused<>(
          r, ErrorCode.QUEUE_FULL, RetryAfter.seconds(wait), wait + serviceMillis);
    }
    rates.onBacklog(r.pool(), p.queue.queuedTokens(), now);
    return new Decision.Queued<>(r, wait);
  }

  /**
   * Serves waiting requests after capacity was released or a load report arrived.
   *
   * @param pool the model or the service
   * @param nowMillis the monotonic time in milliseconds
   * @return the requests admitted or refused, in order
   */
  public List<Decision<R>> serveWaiting(String pool, long nowMillis) {
    Pool p = pools.get(pool);
    if (p == null) {
      return List.of();
    }
    synchronized (p) {
      p.configure();
      p.isUnavailable(nowMillis);
      if (p.queue.size() == 0) {
        return List.of();
      }
      List<Decision<R>> out = new ArrayList<>();
      refuseUnservable(p, out, nowMillis);
      serve(p, out, nowMillis);
      rates.onBacklog(pool, p.queue.queuedTokens(), nowMillis);
      return out;
    }
  }

  private void refuseUnservable(Pool p, List<Decision<R>> out, long now) {
    if (p.isUnavailable(now)) {
      p.queue.removeIf(w -> true).forEach(w -> out.add(noCapacity(w.request())));
      return;
    }
    for (Waiting w :
        p.queue.removeIf(
            w -> now + Math.max(1, serviceMillis(w.request())) > w.request().deadlineMillis())) {
      AdmissionRequest r = w.request();
      rates.onWaited(r.pool(), w.expectedWaitMillis(), now - w.sinceMillis());
      out.add(deadlineTooClose(r, serviceMillis(r), r.deadlineMillis() - now));
    }
  }

  private void serve(Pool p, List<Decision<R>> out, long now) {
    while (true) {
      List<Waiting> next = p.queue.peek(now, LOOK_AHEAD);
      if (next.isEmpty()) {
        return;
      }
      Optional<SlotSource.Grant<R>> grant =
          slots.tryAcquireAny(next.stream().map(Waiting::request).toList(), now);
      if (grant.isEmpty()) {
        return;
      }
      AdmissionRequest r = grant.get().request();
      Waiting served = next.stream().filter(w -> w.request() == r).findFirst().orElseThrow();
      p.queue.serve(served);
      rates.onDispatched(r.pool(), r.tokens(), now);
      rates.onWaited(r.pool(), served.expectedWaitMillis(), now - served.sinceMillis());
      out.add(new Decision.Admitted<>(r, grant.get().reservation(), now - served.sinceMillis()));
    }
  }

  /**
   * Serves and refuses the waiting requests of every pool. To be called at least every 100 ms, so
   * that a request that can no longer meet its deadline is refused promptly.
   */
  public List<Decision<R>> tick(long nowMillis) {
    List<Decision<R>> out = new ArrayList<>();
    pools.keySet().forEach(pool -> out.addAll(serveWaiting(pool, nowMillis)));
    return out;
  }

  /** Removes a waiting request whose caller has disconnected; returns whether it was waiting. */
  public boolean cancel(String pool, String id, long nowMillis) {
    Pool p = pools.get(pool);
    if (p == null) {
      return false;
    }
    synchronized (p) {
      boolean found = p.queue.cancel(id);
      rates.onBacklog(pool, p.queue.queuedTokens(), nowMillis);
      return found;
    }
  }

  /**
   * Records that an admitted request was answered completely.
   *
   * @param r the request
   * @param actualTokens the actual tokens of the request
   * @param serviceMillis the time in milliseconds from dispatch to the end of the answer
   */
  public void onCompleted(AdmissionRequest r, long actualTokens, double serviceMillis) {
    rates.onCompleted(r.pool(), r.tokens(), actualTokens, serviceMillis);
    Pool p = pool(r.pool());
    synchronized (p) {
      p.queue.correct(r.workspace(), actualTokens - r.tokens());
    }
  }

  /** Records that an admitted request ended without a complete answer. */
  public void onAbandoned(AdmissionRequest r) {
    rates.onAbandoned(r.pool(), r.tokens());
  }

  /** Returns the number of waiting requests of a pool. */
  public int waiting(String pool) {
    Pool p = pools.get(pool);
    if (p == null) {
      return 0;
    }
    synchronized (p) {
      return p.queue.size();
    }
  }

  private long serviceMillis(AdmissionRequest r) {
    return rates.serviceMillis(r.pool(), r.tokens());
  }

  private Decision<R> noCapacity(AdmissionRequest r) {
    return new Decision.Refused<>(r, ErrorCode.NO_CAPACITY, RetryAfter.seconds(2_000), 0);
  }

  /**
   * A retry can succeed once the estimated time has decreased to the time remaining before the
   * deadline.
   */
  private Decision<R> deadlineTooClose(AdmissionRequest r, long expected, long remaining) {
    return new Decision.Refused<>(
        r, ErrorCode.DEADLINE_TOO_CLOSE, RetryAfter.seconds(expected - remaining), expected);
  }

  private Pool pool(String name) {
    return pools.computeIfAbsent(name, Pool::new);
  }

  /** Guarded by itself. */
  private final class Pool {
    private final String name;
    private final FairQueue queue = new FairQueue();
    private List<WorkspaceSpec> configured = List.of();
    private long unavailableSince = Long.MAX_VALUE;

    Pool(String name) {
      this.name = name;
    }

    void configure() {
      List<WorkspaceSpec> w = workspaces;
      if (w != configured) {
        configured = w;
        queue.configure(w);
      }
    }

    boolean isUnavailable(long now) {
      if (slots.inService(name)) {
        unavailableSince = Long.MAX_VALUE;
        return false;
      }
      unavailableSince = Math.min(unavailableSince, now);
      return now - unavailableSince >= NO_TARGET_GRACE_MILLIS;
    }
  }
}
