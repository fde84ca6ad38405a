package org.ebonypond.junit.http;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** What an engine has loaded and for which group, under fencing numbers. Not thread-safe. */
public final class EngineState {
  private static final EngineOrder NONE =
      new EngineOrder(0, "unload", "", "", List.of(), "", 0, List.of());

  private final boolean checksFencing;
  private final long loadMillis;
  private final long weightMegabytes;
  private final long megabytesPerSecond;
  private EngineOrder current = NONE;
  private long loadedAt;
  private long staleRefused;
  private long staleApplied;

  /**
   * Creates the state of an engine without a model.
   *
   * @param checksFencing whether orders with an old fencing number are refused
   * @param loadMillis the fixed part of the load time, in milliseconds
   * @param weightMegabytes the size of the weights
   * @param megabytesPerSecond the rate of the weight store; 0 means no limit
   */
  public EngineState(
      boolean checksFencing, long loadMillis, long weightMegabytes, long megabytesPerSecond) {
    this.checksFencing = checksFencing;
    this.loadMillis = loadMillis;
    this.weightMegabytes = weightMegabytes;
    this.megabytesPerSecond = megabytesPerSecond;
  }

  /**
   * Carries out an order.
   *
   * @param order the order
   * @param now the time
   * @return false if the order is old and was refused
   */
  public boolean apply(EngineOrder order, long now) {
    if (order.fencing() < current.fencing()) {
      if (checksFencing) {
        staleRefused++;
        return false;
      }
      staleApplied++;
    }
    if (order.type().equals("load") && !sameWeights(order)) {
      loadedAt = now + loadMillis + weightMillis();
    }
    current = order.type().equals("role") ? withModelOfCurrent(order) : order;
    return true;
  }

  /** Forgets everything, as a restart does; counts are kept. */
  public void forget() {
    current = NONE;
  }

  /** Returns {@code idle}, {@code loading} or {@code ready}. */
  public String status(long now) {
    if (current.model().isEmpty() || current.type().equals("unload")) {
      return "idle";
    }
    return now < loadedAt ? "loading" : "ready";
  }

  /** Returns the order in force. */
  public EngineOrder current() {
    return current;
  }

  /** Returns when the weights are loaded. */
  public long loadedAt() {
    return loadedAt;
  }

  /** Returns the group, or null if there is none. */
  public @Nullable String group() {
    return current.type().equals("unload") || current.group().isEmpty() ? null : current.group();
  }

  /** Returns how many old orders were refused. */
  public long staleRefused() {
    return staleRefused;
  }

  /** Returns how many old orders were carried out. */
  public long staleApplied() {
    return staleApplied;
  }

  /** Sets the counts to 0. */
  public void reset() {
    staleRefused = 0;
    staleApplied = 0;
  }

  private boolean sameWeights(EngineOrder o) {
    return !current.type().equals("unload")
        && current.model().equals(o.model())
        && current.version().equals(o.version())
        && current.adapters().equals(o.adapters());
  }

  private EngineOrder withModelOfCurrent(EngineOrder o) {
    return new EngineOrder(
        o.fencing(),
        current.type(),
        current.model(),
        current.version(),
        current.adapters(),
        o.group(),
        o.rank(),
        o.members());
  }

  private long weightMillis() {
    return megabytesPerSecond == 0 ? 0 : weightMegabytes * 1000 / megabytesPerSecond;
  }
}
