package org.ebonypond.server.entry;

import org.ebonypond.ledger.StoredAnswer;
import org.ebonypond.server.http.Problem;

/** Receives the outcome of a call of a plain service. Exactly one method is called, once. */
public interface ServiceCallSink {
  /**
   * Called with the complete answer.
   *
   * @param answer the answer
   * @param replayed whether it is the recorded answer of an earlier attempt
   */
  void answer(StoredAnswer answer, boolean replayed);

  /** Called if there is no answer. */
  void problem(Problem p);
}
