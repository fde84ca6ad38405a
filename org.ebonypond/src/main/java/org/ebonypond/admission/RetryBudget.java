package org.ebonypond.admission;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Limits retries to a percentage of the first attempts in a sliding window, for the entry and for
 * each workspace, so that failures do not multiply the load. A small constant allowance per window
 * permits retries at low load. Thread-safe; each workspace has its own lock.
 */
public final class RetryBudget {
  /** The length of the sliding window in milliseconds. */
  public static final long WINDOW_MILLIS = 10_000;

  /** Retries per window that the entry may make in addition to the percentage. */
  public static final int ENTRY_FLOOR = 10;

  /**
   * Retries per window that a workspace may make in addition to the percentage, within the budget
   * of the entry.
   */
  public static final int WORKSPACE_FLOOR = 3;

  private final Window entry = new Window();
  private final Map<String, Window> workspaces = new ConcurrentHashMap<>();
  private volatile int percent;

  /**
   * Creates a budget.
   *
   * @param percent the maximum number of retries as a percentage of first attempts
   */
  public RetryBudget(int percent) {
    this.percent = percent;
  }

  /** Sets the percentage from a new document. */
  public void setPercent(int percent) {
    this.percent = percent;
  }

  /** Records a first attempt. */
  public void onFirstAttempt(String workspace, long nowMillis) {
    Window w = window(workspace);
    synchronized (w) {
      w.addFirst(nowMillis);
    }
    synchronized (entry) {
      entry.addFirst(nowMillis);
    }
  }

  /**
   * Charges a retry to the budgets of the workspace and of the entry.
   *
   * @param workspace the caller's workspace
   * @param nowMillis the monotonic time in milliseconds
   * @return whether both budgets allow the retry; if not, neither is charged
   */
  public boolean tryRetry(String workspace, long nowMillis) {
    Window w = window(workspace);
    // The lock of a workspace is always taken before the lock of the entry.
    synchronized (w) {
      if (!w.allows(percent, WORKSPACE_FLOOR, nowMillis)) {
        return false;
      }
      synchronized (entry) {
        if (!entry.allows(percent, ENTRY_FLOOR, nowMillis)) {
          return false;
        }
        entry.addRetry(nowMillis);
      }
      w.addRetry(nowMillis);
      return true;
    }
  }

  private Window window(String workspace) {
    return workspaces.computeIfAbsent(workspace, k -> new Window());
  }

  /** A sliding window of counts in buckets; guarded by itself. */
  private static final class Window {
    private static final int BUCKETS = 10;
    private static final long BUCKET_MILLIS = WINDOW_MILLIS / BUCKETS;

    private final long[] firsts = new long[BUCKETS];
    private final long[] retries = new long[BUCKETS];
    private long head = Long.MIN_VALUE;

    void addFirst(long now) {
      firsts[slot(now)]++;
    }

    void addRetry(long now) {
      retries[slot(now)]++;
    }

    boolean allows(int percent, int floor, long now) {
      slot(now);
      long firstAttempts = 0;
      long usedRetries = 0;
      for (int i = 0; i < BUCKETS; i++) {
        firstAttempts += firsts[i];
        usedRetries += retries[i];
      }
      return usedRetries < floor + firstAttempts * percent / 100;
    }

    private int slot(long now) {
      long bucket = Math.floorDiv(now, BUCKET_MILLIS);
      if (head == Long.MIN_VALUE || bucket - head >= BUCKETS) {
        Arrays.fill(firsts, 0);
        Arrays.fill(retries, 0);
        head = bucket;
      }
      for (; head < bucket; ) {
        head++;
        int i = Math.floorMod(head, BUCKETS);
        firsts[i] = 0;
        retries[i] = 0;
      }
      return Math.floorMod(head, BUCKETS);
    }
  }
}
