package org.ebonypond.junit.http;

/** Takes the answer to one request of the engine. */
public interface TokenSink {
  /** Takes the token at a position. */
  void token(int index, String text, boolean last);

  /** Ends the answer after its last token. */
  void end();

  /** Fails the answer: the connection is dropped. */
  void drop();
}
