package org.ebonypond.junit.http;

/** Receives the answer to one request of the engine. */
public interface TokenSink {
  /**
   * Receives a token.
   *
   * @param index the position of the token in the answer, from 0
   * @param text the text of the token
   * @param last whether it is the last token
   */
  void token(int index, String text, boolean last);

  /** Ends the answer after its last token. */
  void end();

  /** Drops the connection before the answer is complete. */
  void drop();
}
