package org.ebonypond.junit;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.ebonypond.time.TimerService;

/**
 * A timer service whose time advances only when a test advances it. Tasks run on the caller's
 * thread, ordered by due time, then by order of scheduling. Not thread-safe.
 */
public final class ManualTimerService implements TimerService {
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong((Task t) -> t.due).thenComparing(t -> t.order));
  private long now;
  private long nextOrder;

  @Override
  public long nowMillis() {
    return now;
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    return add(delayMillis, 0, task);
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    if (periodMillis <= 0) {
      throw new IllegalArgumentException("period must be positive: " + periodMillis);
    }
    return add(periodMillis, periodMillis, task);
  }

  /**
   * Advances the time and runs every task that becomes due.
   *
   * @param millis the time to add, in milliseconds
   */
  public void advance(long millis) {
    long end = now + millis;
    while (!tasks.isEmpty() && tasks.peek().due <= end) {
      Task t = tasks.remove();
      now = Math.max(now, t.due);
      if (t.cancelled) {
        continue;
      }
      if (t.period > 0) {
        t.due += t.period;
        t.order = nextOrder++;
        tasks.add(t);
      }
      t.body.run();
    }
    now = end;
  }

  /**
   * Advances the time during a pause of the process: tasks that become due run late, when the time
   * advances next.
   *
   * @param millis the duration of the pause, in milliseconds
   */
  public void jump(long millis) {
    now += millis;
  }

  private Subscription add(long delay, long period, Runnable body) {
    Task t = new Task(now + Math.max(0, delay), nextOrder++, period, body);
    tasks.add(t);
    return t;
  }

  private static final class Task implements Subscription {
    private final long period;
    private final Runnable body;
    private long due;
    private long order;
    private boolean cancelled;

    Task(long due, long order, long period, Runnable body) {
      this.due = due;
      this.order = order;
      this.period = period;
      this.body = body;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }
}
