package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that was received whole, and the way to answer it. Used on its event loop only. */
public interface HttpCall {
  /** Returns the method. */
  HttpMethod method();

  /** Returns the request target as it was sent. */
  String uri();

  /** Returns the headers. */
  HttpHeaders headers();

  /** Returns the body; it is released with the call. */
  ByteBuf body();

  /** Returns the address of the caller, for logs. */
  String peer();

  /** Runs a task when the caller's connection closes before the answer is complete. */
  void onClosed(Runnable task);

  /**
   * Answers with a whole body.
   *
   * @param head the status and headers; the length is set here
   * @param body the body, which is released
   */
  void answer(HttpResponse head, ByteBuf body);

  /** Answers with a status, a content type and a text. */
  void answer(HttpResponseStatus status, String contentType, String text);

  /** Starts an answer whose body comes in pieces. */
  void start(HttpResponse head);

  /** Sends a piece of a started answer. */
  void piece(ByteBuf bytes);

  /** Returns whether the caller reads its answer fast enough for another piece. */
  boolean isWritable();

  /** Runs a task each time the caller has read so much that {@link #isWritable} holds again. */
  void onWritable(Runnable task);

  /** Completes a started answer. */
  void end();

  /** Breaks the connection off, so that a started answer cannot be taken for a complete one. */
  void abort();
}
