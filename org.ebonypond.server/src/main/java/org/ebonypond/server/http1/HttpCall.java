package org.ebonypond.server.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/** A completely received request and the means to answer it. Confined to its event loop. */
public interface HttpCall {
  /** Returns the method. */
  HttpMethod method();

  /** Returns the request target as it was sent. */
  String uri();

  /** Returns the headers. */
  HttpHeaders headers();

  /** Returns the body; it is released when the call ends. */
  ByteBuf body();

  /** Returns the address of the caller, for logs. */
  String peer();

  /** Sets the task that runs if the caller's connection closes before the answer is complete. */
  void onClosed(Runnable task);

  /**
   * Sends a complete answer.
   *
   * @param head the status and headers; the content length is set by this method
   * @param body the body, which is released
   */
  void answer(HttpResponse head, ByteBuf body);

  /** Sends a complete answer with a text body. */
  void answer(HttpResponseStatus status, String contentType, String text);

  /** Starts an answer whose body is sent in chunks. */
  void start(HttpResponse head);

  /** Sends a part of the body of a started answer. */
  void writeContent(ByteBuf bytes);

  /** Returns whether the outbound buffer has room; false while the caller reads too slowly. */
  boolean isWritable();

  /** Sets the task that runs each time {@link #isWritable} becomes true again. */
  void onWritable(Runnable task);

  /** Completes a started answer. */
  void end();

  /** Resets the connection, so that a started answer cannot be mistaken for a complete one. */
  void abort();
}
