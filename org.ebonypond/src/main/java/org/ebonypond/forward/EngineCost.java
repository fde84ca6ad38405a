package org.ebonypond.forward;

import org.ebonypond.serving.EngineProfile;
import org.ebonypond.serving.ModelProfile;

/** Predicts request latencies at a group from the cost model that its engine publishes. */
public final class EngineCost {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final EngineProfile engine;

  /** Creates predictions for one kind of engine. */
  public EngineCost(EngineProfile engine) {
    this.engine = engine;
  }

  /**
   * Returns the duration of one decoding pass in milliseconds, which produces one event for each
   * request.
   *
   * @param decoding the number of requests that are decoding
   * @param contextTokens the mean context length of a request in tokens
   */
  public double passMillis(ModelProfile model, int decoding, int contextTokens) {
    int batch = Math.min(decoding, engine.slots());
    double context = engine.contextPerThousandMillis() * batch * contextTokens / 1_000.0;
    double stepMillis = engine.stepMillis() + batch * engine.perSequenceMillis() + context;
    return model.timeFactor() * engine.stride() * stepMillis;
  }

  /** Returns the time in milliseconds to prefill prompt tokens at an otherwise idle engine. */
  public double prefillMillis(ModelProfile model, int tokens) {
    return model.timeFactor() * tokens * MILLIS_PER_SECOND / engine.prefillPerSecond();
  }

  /**
   * Predicts the time in milliseconds until the first event of a new request.
   *
   * @param active the requests in flight at the group
   * @param prefillBacklog the prompt tokens queued there
   * @param promptTokens the prompt tokens of the new request
   * @param meanEvents the mean number of events of a request
   */
  public double firstEventMillis(
      ModelProfile model, int active, int prefillBacklog, int promptTokens, int meanEvents) {
    double pass = passMillis(model, active + 1, promptTokens);
    double queued = Math.max(0, active - engine.slots() + 1);
    // The mean time until the next of the busy slots becomes free.
    double slotMillis = meanEvents * pass / engine.slots();
    return prefillMillis(model, prefillBacklog + promptTokens) + pass + queued * slotMillis;
  }

  /**
   * Predicts the duration of an answer in milliseconds, without a queue.
   *
   * @param active the other requests in flight at the group
   * @param promptTokens the prompt tokens of the request
   * @param outputTokens the expected tokens of the answer
   */
  public double answerMillis(ModelProfile model, int active, int promptTokens, int outputTokens) {
    int events = Math.max(1, outputTokens / tokensPerEvent());
    return prefillMillis(model, promptTokens)
        + events * passMillis(model, active + 1, promptTokens);
  }

  /** Returns the number of requests that a group processes concurrently. */
  public int slots() {
    return engine.slots();
  }

  /** Returns the number of tokens per event, at least 1. */
  public int tokensPerEvent() {
    return Math.max(1, engine.stride());
  }
}
