package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.server.backend.EngineClient;
import org.ebonypond.server.backend.EngineListener;
import org.ebonypond.server.backend.EngineRequest;
import org.ebonypond.server.backend.FailureKind;

/** Engines whose attempts progress only when a test delivers an event. */
final class FakeEngines implements EngineClient {
  final List<FakeAttempt> attempts = new ArrayList<>();

  /** A lock that must not be held when an attempt starts. */
  Object forbiddenLock = new Object();

  @Override
  public FakeAttempt start(EngineRequest request, EngineListener listener) {
    assertFalse(Thread.holdsLock(forbiddenLock), "an attempt starts under the forbidden lock");
    FakeAttempt a = new FakeAttempt(request, listener);
    attempts.add(a);
    return a;
  }

  FakeAttempt last() {
    return attempts.get(attempts.size() - 1);
  }

  /**
   * One attempt. Events may still be delivered after {@link #stop}, like those that another thread
   * was about to deliver.
   */
  static final class FakeAttempt implements Attempt {
    final EngineRequest request;
    final EngineListener listener;
    boolean stopped;

    /** Whether the engine has sent the end of its answer, or the attempt has failed. */
    boolean ended;

    /** Whether the engine may have run the request. */
    boolean mayHaveRun;

    /** Whether the attempt failed before the engine can have run the request. */
    boolean refused;

    /** The offset after that of the last chunk sent. */
    long next;

    FakeAttempt(EngineRequest request, EngineListener listener) {
      this.request = request;
      this.listener = listener;
      this.next = request.resumeOffset();
    }

    void chunk(long offset, boolean last) {
      mayHaveRun = true;
      next = offset + 1;
      ended |= last;
      listener.onChunk(offset, json(offset, last));
    }

    void fail(FailureKind kind) {
      mayHaveRun |= kind != FailureKind.NOT_SENT && kind != FailureKind.NOT_RUN;
      refused |= !mayHaveRun;
      ended = true;
      listener.onFailure(kind, "test");
    }

    void end() {
      mayHaveRun = true;
      ended = true;
      listener.onDone();
    }

    @Override
    public void stop() {
      mayHaveRun = true;
      stopped = true;
    }

    private static String json(long offset, boolean last) {
      return "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t"
          + offset
          + "\"},\"finish_reason\":"
          + (last ? "\"stop\"" : "null")
          + "}]}";
    }
  }
}
