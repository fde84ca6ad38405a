package org.ebonypond.server.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.server.backend.EngineClient;
import org.ebonypond.server.backend.EngineListener;
import org.ebonypond.server.backend.EngineRequest;
import org.ebonypond.server.backend.FailureKind;

/** Engines whose attempts make progress only when a test says so. */
final class FakeEngines implements EngineClient {
  final List<FakeAttempt> attempts = new ArrayList<>();

  /** A lock under which no attempt may start. */
  Object forbidden = new Object();

  @Override
  public FakeAttempt start(EngineRequest request, EngineListener listener) {
    assertFalse(Thread.holdsLock(forbidden), "an attempt starts under a foreign lock");
    FakeAttempt a = new FakeAttempt(request, listener);
    attempts.add(a);
    return a;
  }

  FakeAttempt last() {
    return attempts.get(attempts.size() - 1);
  }

  /**
   * One attempt. Events may still be delivered after {@link #stop}, as those that were on their way
   * to the listener on another thread.
   */
  static final class FakeAttempt implements Attempt {
    final EngineRequest request;
    final EngineListener listener;
    boolean stopped;

    /** Whether the engine has done anything but refuse the request. */
    boolean mayHaveRun;

    /** Whether the attempt ended before the engine did anything. */
    boolean refused;

    /** The offset of the chunk after the last one that was sent. */
    long next;

    FakeAttempt(EngineRequest request, EngineListener listener) {
      this.request = request;
      this.listener = listener;
      this.next = request.resumeOffset();
    }

    void chunk(long offset, boolean last) {
      mayHaveRun = true;
      next = offset + 1;
      listener.onChunk(offset, json(offset, last));
    }

    void fail(FailureKind kind) {
      mayHaveRun |= kind != FailureKind.NOT_SENT && kind != FailureKind.NOT_RUN;
      refused |= !mayHaveRun;
      listener.onFailure(kind, "test");
    }

    void end() {
      mayHaveRun = true;
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
