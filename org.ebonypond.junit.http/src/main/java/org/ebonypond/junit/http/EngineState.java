package org.ebonypond.junit.http;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** The order in force of an engine and the loading of its model. Not thread-safe. */
public final class EngineState {
  private static final EngineOrder NO_ORDER =
      new EngineOrder(0, "unload", "", "", List.of(), "", 0, List.of());

  private final boolean checksFencing;
  private final long loadMillis;
  private final long weightMegabytes;
  private final long megabytesPerSecond;
  private EngineOrder current = NO_ORDER;
  private long loadedAt;
  private long staleRefused;
  private long staleApplied;

  /**
   * Creates the state of an engine without a model.
   *
   * @param checksFencing whether orders with an old fencing number are refused; if not, they are
   *     executed and counted
   * @param loadMillis the fixed part of the load time, in milliseconds
   * @param weightMegabytes the size of the weights, in megabytes
   * @param megabytesPerSecond the read rate of the weight store; 0 means no limit
   */
  public EngineState(
      boolean checksFencing, long loadMillis, long weightMegabytes, long megabytesPerSecond) {
    this.checksFencing = checksFencing;
    this.loadMillis = loadMillis;
    this.weightMegabytes = weightMegabytes;
    this.megabytesPerSecond = megabytesPerSecond;
  }

  /**
   * Executes an order.
   *
   * @param order the order
   * @param now monotonic milliseconds
   * @return false if the order was refused because its fencing number is old
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

  /** Discards the order in force and the model, as a restart does. Keeps the counters. */
  public void clear() {
    current = NO_ORDER;
  }

  /** Returns the loading status: {@code idle}, {@code loading} or {@code ready}. */
  public String status(long now) {
    if (current.model().isEmpty() || current.type().equals("unload")) {
      return "idle";
    }
    return now < loadedAt ? "loading" : "ready";
  }

  /** Returns the order in force, an unload with fencing number 0 if there was none. */
  public EngineOrder current() {
    return current;
  }

  /** Returns when loading completes, in monotonic milliseconds. */
  public long loadedAt() {
    return loadedAt;
  }

  /** Returns the group, or null without a group. */
  public @Nullable String group() {
    return current.type().equals("unload") || current.group().isEmpty() ? null : current.group();
  }

  /** Returns how many orders with an old fencing number were refused. */
  public long staleRefused() {
    return staleRefused;
  }

  /** Returns how many orders with an old fencing number were executed. */
  public long staleApplied() {
    return staleApplied;
  }

  /** Sets the counters to 0. */
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
