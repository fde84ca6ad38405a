package org.ebonypond.server.entry;

import org.ebonypond.ledger.StoredAnswer;
import org.ebonypond.server.http.Problem;

/** Receives the answer to a call of a plain service; exactly one method is called, once. */
public interface ServiceCallSink {
  /**
   * Called with the whole answer.
   *
   * @param answer the answer
   * @param replayed whether an earlier attempt ran the call
   */
  void answer(StoredAnswer answer, boolean replayed);

  /** Called when there is no answer. */
  void problem(Problem p);
}
