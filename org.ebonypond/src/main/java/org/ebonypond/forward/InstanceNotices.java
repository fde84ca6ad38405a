package org.ebonypond.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What instances have told one entry of themselves in their answers: that they are leaving, or that
 * they want no requests for some time. A notice ends with the start of the instance that gave it.
 * Not thread-safe.
 */
public final class InstanceNotices {
  private final Map<String, Notice> notices = new HashMap<>();

  /**
   * Records that an instance is leaving.
   *
   * @param startMillis the start of the instance, which tells it from a later one of the same name
   * @return whether this is news
   */
  public boolean leaves(String instance, long startMillis) {
    Notice n = notice(instance, startMillis);
    boolean news = !n.leaving;
    n.leaving = true;
    return news;
  }

  /**
   * Records that an instance wants no requests until a time, in milliseconds.
   *
   * @return whether it asked for no pause before, or that one has ended
   */
  public boolean pauses(String instance, long startMillis, long until, long now) {
    Notice n = notice(instance, startMillis);
    boolean news = now >= n.pausedUntil;
    n.pausedUntil = Math.max(n.pausedUntil, until);
    return news;
  }

  /** Returns whether an instance is leaving. */
  public boolean isLeaving(String instance, long startMillis) {
    Notice n = notices.get(instance);
    return n != null && n.startMillis == startMillis && n.leaving;
  }

  /** Returns whether an instance wants no requests at a time. */
  public boolean isPaused(String instance, long startMillis, long now) {
    Notice n = notices.get(instance);
    return n != null && n.startMillis == startMillis && now < n.pausedUntil;
  }

  /** Forgets all instances but those that are still known. */
  public void retain(Predicate<String> isKnown) {
    notices.keySet().removeIf(isKnown.negate());
  }

  private Notice notice(String instance, long startMillis) {
    Notice n = notices.get(instance);
    if (n == null || n.startMillis != startMillis) {
      n = new Notice(startMillis);
      notices.put(instance, n);
    }
    return n;
  }

  private static final class Notice {
    final long startMillis;
    boolean leaving;
    long pausedUntil = Long.MIN_VALUE;

    Notice(long startMillis) {
      this.startMillis = startMillis;
    }
  }
}
