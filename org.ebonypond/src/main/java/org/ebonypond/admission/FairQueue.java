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
 * A queue that shares capacity between workspaces by weight, measured in tokens, with start-time
 * fair queueing. Within a workspace, urgent requests go first; a request gains one level of
 * priority for each {@link #AGING_MILLIS} that it waits, so that none starves. Not thread-safe.
 */
public final class FairQueue {
  /**
   * The wait in milliseconds that makes up for one level of priority. A request of the lowest
   * priority overtakes new requests of the highest after 9 s, well within the default deadline of
   * 30 s.
   */
  public static final long AGING_MILLIS = 1_000;

  /** How often a request may be passed over by others of its workspace and priority. */
  public static final int MAX_PASSES = 16;

  private static final int LEVELS = AdmissionRequest.MAX_PRIORITY + 1;

  private final Map<String, Lane> lanes = new TreeMap<>();
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

  /** Sets the workspaces. Requests of a workspace that is gone are served with weight 1. */
  public void configure(List<WorkspaceSpec> workspaces) {
    Map<String, WorkspaceSpec> specs = new HashMap<>();
    workspaces.forEach(w -> specs.put(w.name(), w));
    lanes.entrySet().removeIf(e -> !specs.containsKey(e.getKey()) && e.getValue().count == 0);
    for (Lane l : lanes.values()) {
      l.weight = 1;
      l.maxQueued = 0;
    }
    for (WorkspaceSpec w : workspaces) {
      Lane l = lanes.computeIfAbsent(w.name(), k -> new Lane());
      l.weight = Math.max(1, w.weight());
      l.maxQueued = w.maxQueued();
    }
  }

  /** Returns whether the workspace is configured or still has waiting requests. */
  public boolean knows(String workspace) {
    return lanes.containsKey(workspace);
  }

  /**
   * Adds a request.
   *
   * @param r the request
   * @param expectedWaitMillis the estimated wait in milliseconds, kept with the request
   * @param nowMillis the monotonic time in milliseconds
   * @return whether the workspace had room
   * @throws EbonypondException {@code unknown-workspace} if the workspace is not configured, {@code
   *     bad-request} if a request with the same identity is waiting
   */
  public boolean offer(AdmissionRequest r, long expectedWaitMillis, long nowMillis) {
    Lane l = lane(r.workspace());
    if (l.count >= l.maxQueued) {
      return false;
    }
    Waiting w = new Waiting(r, nowMillis, expectedWaitMillis);
    if (byId.putIfAbsent(r.id(), w) != null) {
      throw new EbonypondException(
          ErrorCode.BAD_REQUEST, "request " + r.id() + " is already waiting");
    }
    if (l.count == 0) {
      l.virtual = Math.max(l.virtual, virtualTime);
    }
    l.add(w);
    queuedTokens += r.tokens();
    return true;
  }

  /** Returns the request whose turn it is. */
  public Optional<Waiting> peek(long nowMillis) {
    List<Waiting> first = peek(nowMillis, 1);
    return first.isEmpty() ? Optional.empty() : Optional.of(first.get(0));
  }

  /**
   * Returns the requests that may be served next: the one whose turn it is, then others of the same
   * workspace and priority. Once it was passed over {@link #MAX_PASSES} times, it is the only one.
   *
   * @param nowMillis the monotonic time in milliseconds
   * @param limit the most requests to return, at least 1
   */
  public List<Waiting> peek(long nowMillis, int limit) {
    Lane best = null;
    for (Lane l : lanes.values()) {
      if (l.count > 0 && (best == null || l.virtual < best.virtual)) {
        best = l;
      }
    }
    return best == null ? List.of() : best.next(nowMillis, limit);
  }

  /** Removes a request that is served now and charges its workspace. */
  public void serve(Waiting w) {
    lane(w.request().workspace()).countPass(w);
    remove(w);
    charge(w.request());
  }

  /** Charges a workspace for a request that is served without waiting. */
  public void charge(AdmissionRequest r) {
    Lane l = lane(r.workspace());
    l.virtual = Math.max(l.virtual, virtualTime);
    virtualTime = l.virtual;
    l.virtual += (double) r.tokens() / l.weight;
  }

  /**
   * Corrects the charge of a served request once its length is known.
   *
   * @param workspace the workspace
   * @param tokens the tokens that it took beyond those charged; negative if it took fewer
   */
  public void correct(String workspace, long tokens) {
    Lane l = lanes.get(workspace);
    if (l != null) {
      l.virtual += (double) tokens / l.weight;
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

  /** Removes and returns the waiting requests that a predicate selects. */
  public List<Waiting> removeIf(Predicate<Waiting> p) {
    List<Waiting> out = new ArrayList<>();
    for (Lane l : lanes.values()) {
      l.forEach(
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
    Lane l = lanes.get(workspace);
    return l == null ? 0 : l.count;
  }

  /** Returns the tokens of all waiting requests. */
  public long queuedTokens() {
    return queuedTokens;
  }

  /** Returns the estimated tokens that are served before a request that arrives now. */
  public long tokensAhead(String workspace, int priority) {
    Lane own = lane(workspace);
    long ahead = 0;
    for (int i = priority; i < LEVELS; i++) {
      ahead += own.levelTokens[i];
    }
    double start = own.count == 0 ? Math.max(own.virtual, virtualTime) : own.virtual;
    double finish = start + (double) ahead / own.weight;
    double total = ahead;
    for (Lane l : lanes.values()) {
      if (l != own && l.count > 0) {
        total += Math.min(l.tokens, Math.max(0, (finish - l.virtual) * l.weight));
      }
    }
    return Math.round(total);
  }

  private Lane lane(String workspace) {
    Lane l = lanes.get(workspace);
    if (l == null) {
      throw new EbonypondException(ErrorCode.UNKNOWN_WORKSPACE, workspace);
    }
    return l;
  }

  private void remove(Waiting w) {
    AdmissionRequest r = w.request();
    if (byId.remove(r.id()) == null || !lane(r.workspace()).remove(w)) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED, "request " + r.id() + " left the queue twice");
    }
    queuedTokens -= r.tokens();
    if (queuedTokens < 0 || (byId.isEmpty() && queuedTokens != 0)) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED, "queued tokens do not match the queue: " + queuedTokens);
    }
  }

  /** The waiting requests of a workspace. */
  private static final class Lane {
    private final List<LinkedHashMap<String, Waiting>> levels = new ArrayList<>(LEVELS);
    private final long[] levelTokens = new long[LEVELS];
    private int weight = 1;
    private int maxQueued;
    private int count;
    private long tokens;
    private double virtual;
    private String passed = "";
    private int passes;

    Lane() {
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
            ErrorCode.INVARIANT_VIOLATED, "a lane counts requests but holds none");
      }
      return best;
    }

    List<Waiting> next(long now, int limit) {
      Waiting head = head(now);
      List<Waiting> out = new ArrayList<>();
      out.add(head);
      if (head.request().id().equals(passed) && passes >= MAX_PASSES) {
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

    /** Counts how often the first request of the served one's level was passed over. */
    void countPass(Waiting served) {
      Waiting first = levels.get(served.request().priority()).values().iterator().next();
      if (first == served) {
        return;
      }
      passes = first.request().id().equals(passed) ? passes + 1 : 1;
      passed = first.request().id();
    }

    void forEach(Consumer<Waiting> c) {
      levels.forEach(l -> l.values().forEach(c));
    }
  }
}
