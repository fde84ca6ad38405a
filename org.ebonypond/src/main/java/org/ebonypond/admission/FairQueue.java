package org.ebonypond.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.ebonypond.document.WorkspaceSpec;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/**
 * A start-time fair queue that shares capacity, measured in tokens, between workspaces by weight.
 * Within a workspace, requests of higher priority are served first; a waiting request gains one
 * priority level per {@link #AGING_MILLIS}, which prevents starvation. Not thread-safe.
 */
public final class FairQueue {
  /**
   * The wait in milliseconds that raises a request by one priority level. A request of the lowest
   * priority precedes new requests of the highest after 9 s, well within the default deadline of 30
   * s.
   */
  public static final long AGING_MILLIS = 1_000;

  /**
   * How often others of the same workspace and priority may be served before the next request in
   * order.
   */
  public static final int MAX_SKIPS = 16;

  private static final int LEVELS = AdmissionRequest.MAX_PRIORITY + 1;

  private final Map<String, WorkspaceQueue> workspaceQueues = new TreeMap<>();
  private final Map<String, Waiting> byId = new HashMap<>();
  private double virtualTime;
  private long queuedTokens;

  /**
   * A waiting request.
   *
   * @param request the request
   * @param sinceMillis when it entered the queue, in milliseconds of the entry's clock
   * @param expectedWaitMillis the wait that was estimated on arrival, in milliseconds
   */
  public record Waiting(AdmissionRequest request, long sinceMillis, long expectedWaitMillis) {}

  /** Sets the workspaces. Waiting requests of a removed workspace are served with weight 1. */
  public void configure(List<WorkspaceSpec> workspaces) {
    Map<String, WorkspaceSpec> specs = new HashMap<>();
    workspaces.forEach(w -> specs.put(w.name(), w));
    workspaceQueues
        .entrySet()
        .removeIf(e -> !specs.containsKey(e.getKey()) && e.getValue().count == 0);
    for (WorkspaceQueue q : workspaceQueues.values()) {
      q.weight = 1;
      q.maxQueued = 0;
    }
    for (WorkspaceSpec w : workspaces) {
      WorkspaceQueue q = workspaceQueues.computeIfAbsent(w.name(), k -> new WorkspaceQueue());
      q.weight = Math.max(1, w.weight());
      q.maxQueued = w.maxQueued();
    }
  }

  /** Returns whether the workspace is configured or still has waiting requests. */
  public boolean knows(String workspace) {
    return workspaceQueues.containsKey(workspace);
  }

  /**
   * Adds a request.
   *
   * @param r the request
   * @param expectedWaitMillis the estimated wait in milliseconds, kept with the request
   * @param nowMillis the monotonic time in milliseconds
   * @return whether the request was added; false if the queue of the workspace is full
   * @throws EbonypondException {@code unknown-workspace} if the workspace is not configured, {@code
   *     bad-request} if a request with the same identity is waiting
   */
  public boolean offer(AdmissionRequest r, long expectedWaitMillis, long nowMillis) {
    WorkspaceQueue q = workspaceQueue(r.workspace());
    if (q.count >= q.maxQueued) {
      return false;
    }
    Waiting w = new Waiting(r, nowMillis, expectedWaitMillis);
    if (byId.putIfAbsent(r.id(), w) != null) {
      throw new EbonypondException(
          ErrorCode.BAD_REQUEST, "request " + r.id() + " is already waiting");
    }
    if (q.count == 0) {
      q.startTag = Math.max(q.startTag, virtualTime);
    }
    q.add(w);
    queuedTokens += r.tokens();
    return true;
  }

  /** Returns the next request in queue order. */
  public Optional<Waiting> peek(long nowMillis) {
    List<Waiting> first = peek(nowMillis, 1);
    return first.isEmpty() ? Optional.empty() : Optional.of(first.get(0));
  }

  /**
   * Returns the requests that may be served next: the next in queue order, then others of the same
   * workspace and priority. A request that was skipped {@link #MAX_SKIPS} times is returned alone.
   *
   * @param nowMillis the monotonic time in milliseconds
   * @param limit the maximum number of requests to return, at least 1
   */
  public List<Waiting> peek(long nowMillis, int limit) {
    WorkspaceQueue best = null;
    for (WorkspaceQueue q : workspaceQueues.values()) {
      if (q.count > 0 && (best == null || q.startTag < best.startTag)) {
        best = q;
      }
    }
    return best == null ? List.of() : best.next(nowMillis, limit);
  }

  /** Removes a request that is about to be served and charges its workspace. */
  public void serve(Waiting w) {
    workspaceQueue(w.request().workspace()).countSkip(w);
    remove(w);
    charge(w.request());
  }

  /** Charges a workspace for a request that is served without waiting. */
  public void charge(AdmissionRequest r) {
    WorkspaceQueue q = workspaceQueue(r.workspace());
    q.startTag = Math.max(q.startTag, virtualTime);
    virtualTime = q.startTag;
    q.startTag += (double) r.tokens() / q.weight;
  }

  /**
   * Corrects the charge of a served request once its actual length is known.
   *
   * @param workspace the workspace
   * @param tokens the actual tokens minus those charged; negative if it used fewer
   */
  public void correct(String workspace, long tokens) {
    WorkspaceQueue q = workspaceQueues.get(workspace);
    if (q != null) {
      q.startTag += (double) tokens / q.weight;
    }
  }

  /** Removes a waiting request; returns whether it was waiting. */
  public boolean cancel(String id) {
    Waiting w = byId.get(id);
    if (w == null) {
      return false;
    }
    remove(w);
    return true;
  }

  /** Removes and returns the waiting requests that match a predicate. */
  public List<Waiting> removeIf(Predicate<Waiting> p) {
    List<Waiting> out = new ArrayList<>();
    for (WorkspaceQueue q : workspaceQueues.values()) {
      q.forEach(
          w -> {
            if (p.test(w)) {
              out.add(w);
            }
          });
    }
    out.forEach(this::remove);
    return out;
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return byId.size();
  }

  /** Returns the number of waiting requests of a workspace. */
  public int size(String workspace) {
    WorkspaceQueue q = workspaceQueues.get(workspace);
    return q == null ? 0 : q.count;
  }

  /** Returns the tokens of all waiting requests. */
  public long queuedTokens() {
    return queuedTokens;
  }

  /** Returns the estimated number of tokens that are served before a request that arrives now. */
  public long tokensAhead(String workspace, int priority) {
    WorkspaceQueue own = workspaceQueue(workspace);
    long ahead = 0;
    for (int i = priority; i < LEVELS; i++) {
      ahead += own.levelTokens[i];
    }
    double start = own.count == 0 ? Math.max(own.startTag, virtualTime) : own.startTag;
    double finish = start + (double) ahead / own.weight;
    double total = ahead;
    for (WorkspaceQueue q : workspaceQueues.values()) {
      if (q != own && q.count > 0) {
        total += Math.min(q.tokens, Math.max(0, (finish - q.startTag) * q.weight));
      }
    }
    return Math.round(total);
  }

  private WorkspaceQueue workspaceQueue(String workspace) {
    WorkspaceQueue q = workspaceQueues.get(workspace);
    if (q == null) {
      throw new EbonypondException(ErrorCode.UNKNOWN_WORKSPACE, workspace);
    }
    return q;
  }

  private void remove(Waiting w) {
    AdmissionRequest r = w.request();
    if (byId.remove(r.id()) == null || !workspaceQueue(r.workspace()).remove(w)) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED, "request " + r.id() + " was removed from the queue twice");
    }
    queuedTokens -= r.tokens();
    if (queuedTokens < 0 || (byId.isEmpty() && queuedTokens != 0)) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED, "queued tokens do not match the queue: " + queuedTokens);
    }
  }

  /** The waiting requests of a workspace. */
  private static final class WorkspaceQueue {
    private final List<LinkedHashMap<String, Waiting>> levels = new ArrayList<>(LEVELS);
    private final long[] levelTokens = new long[LEVELS];
    private int weight = 1;
    private int maxQueued;
    private int count;
    private long tokens;
    // The virtual time at which the next request of the workspace is due.
    private double startTag;
    // The request that was skipped last and how often.
    private String skippedId = "";
    private int skips;

    WorkspaceQueue() {
      for (int i = 0; i < LEVELS; i++) {
        levels.add(new LinkedHashMap<>());
      }
    }

    void add(Waiting w) {
      AdmissionRequest r = w.request();
      levels.get(r.priority()).put(r.id(), w);
      levelTokens[r.priority()] += r.tokens();
      tokens += r.tokens();
      count++;
    }

    boolean remove(Waiting w) {
      AdmissionRequest r = w.request();
      if (levels.get(r.priority()).remove(r.id()) == null) {
        return false;
      }
      levelTokens[r.priority()] -= r.tokens();
      tokens -= r.tokens();
      count--;
      return true;
    }

    Waiting head(long now) {
      Waiting best = null;
      double bestLevel = 0;
      for (int i = LEVELS - 1; i >= 0; i--) {
        Iterator<Waiting> first = levels.get(i).values().iterator();
        if (!first.hasNext()) {
          continue;
        }
        Waiting w = first.next();
        double level = i + (double) (now - w.sinceMillis()) / AGING_MILLIS;
        if (best == null || level > bestLevel) {
          best = w;
          bestLevel = level;
        }
      }
      if (best == null) {
        throw new EbonypondException(
            ErrorCode.INVARIANT_VIOLATED,
            "the queue of a workspace counts requests but holds none");
      }
      return best;
    }

    List<Waiting> next(long now, int limit) {
      Waiting head = head(now);
      List<Waiting> out = new ArrayList<>();
      out.add(head);
      if (head.request().id().equals(skippedId) && skips >= MAX_SKIPS) {
        return out;
      }
      for (Waiting w : levels.get(head.request().priority()).values()) {
        if (out.size() >= limit) {
          break;
        }
        if (w != head) {
          out.add(w);
        }
      }
      return out;
    }

    /** Counts how often the first request of the served request's level was skipped. */
    void countSkip(Waiting served) {
      Waiting first = levels.get(served.request().priority()).values().iterator().next();
      if (first == served) {
        return;
      }
      skips = first.request().id().equals(skippedId) ? skips + 1 : 1;
      skippedId = first.request().id();
    }

    void forEach(Consumer<Waiting> c) {
      levels.forEach(q -> q.values().forEach(c));
    }
  }
}
