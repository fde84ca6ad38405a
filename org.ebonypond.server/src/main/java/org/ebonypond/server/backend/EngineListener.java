package org.ebonypond.server.backend;

/** Receives the progress of an attempt, in order, on one thread at a time. */
public interface EngineListener {
  /**
   * Called for each chunk.
   *
   * @param offset the offset of the chunk in the answer
   * @param json the JSON of the chunk
   */
  void onChunk(long offset, String json);

  /** Called once when the engine has marked the end of the answer. */
  void onDone();

  /**
   * Called once when the attempt ends without the end of the answer.
   *
   * @param kind how it failed
   * @param detail for logs and users
   */
  void onFailure(FailureKind kind, String detail);
}
