package org.ebonypond.forward;

import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;

/** Predicts the times of requests at a group from the published cost of its passes. */
public final class EngineCost {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final EngineProfile engine;

  /** Creates predictions for one kind of engine. */
  public EngineCost(EngineProfile engine) {
    this.engine = engine;
  }

  /**
   * Returns the time of one pass, which makes one event for each request.
   *
   * @param decoding the requests that are decoding
   * @param contextTokens the mean context of each
   */
  public double passMillis(ModelProfile model, int decoding, int contextTokens) {
    int n = Math.min(decoding, engine.slots());
    double context = engine.contextPerThousandMillis() * n * contextTokens / 1_000.0;
    double step = engine.stepMillis() + n * engine.perSequenceMillis() + context;
    return model.timeFactor() * engine.stride() * step;
  }

  /** Returns the time to read prompt tokens when nothing else is done. */
  public double prefillMillis(ModelProfile model, int tokens) {
    return model.timeFactor() * tokens * MILLIS_PER_SECOND / engine.prefillPerSecond();
  }

  /**
   * Predicts the time until the first event of a new request.
   *
   * @param active the requests in flight at the group
   * @param prefillBacklog the prompt tokens that wait there
   * @param promptTokens the prompt tokens of the new request
   * @param meanEvents the mean number of events of a request
   */
  public double firstEventMillis(
      ModelProfile model, int active, int prefillBacklog, int promptTokens, int meanEvents) {
    double pass = passMillis(model, active + 1, promptTokens);
    double queued = Math.max(0, active - engine.slots() + 1);
    double turn = meanEvents * pass / engine.slots();
    return prefillMillis(model, prefillBacklog + promptTokens) + pass + queued * turn;
  }

  /** Returns the requests that a group processes at once. */
  public int slots() {
    return engine.slots();
  }

  /** Returns the tokens of one event. */
  public int tokensPerEvent() {
    return Math.max(1, engine.stride());
  }
}
