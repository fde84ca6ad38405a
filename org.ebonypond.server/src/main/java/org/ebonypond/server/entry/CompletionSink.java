package org.ebonypond.server.entry;

import org.ebonypond.server.http.Problem;

/** Receives the answer to a completion, in order and never on two threads at once. */
public interface CompletionSink {
  /**
   * Called for each chunk, in order and without gaps.
   *
   * @param offset the offset of the chunk in the answer
   * @param json the JSON of the chunk
   */
  void chunk(long offset, String json);

  /** Called once after the last chunk. */
  void done();

  /** Called once when the answer cannot be completed. */
  void problem(Problem p);
}
