package org.ebonypond.server.backend;

/** Receives the progress of an attempt, in order and never on two threads at once. */
public interface EngineListener {
  /**
   * Called for each chunk.
   *
   * @param offset the offset of the chunk in the answer
   * @param json the JSON of the chunk
   */
  void onChunk(long offset, String json);

  /** Called once after the engine marked the end of the answer. */
  void onDone();

  /**
   * Called once if the attempt ends before the end of the answer.
   *
   * @param kind how it failed
   * @param detail a description for logs and callers
   */
  void onFailure(FailureKind kind, String detail);
}
