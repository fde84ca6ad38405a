package org.ebonypond.server.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.ebonypond.server.http1.HttpCall;

/** Translates requests and answers between their HTTP form and ebonypond's types. */
public interface CallDialect {
  /**
   * Decodes the head of a caller's request.
   *
   * @throws org.ebonypond.errors.EbonypondException {@code bad-request} if a field is malformed
   */
  CallHead decode(HttpCall call);

  /** Returns the head of the request to a backend server. */
  HttpRequest encode(HttpCall call, Dispatch dispatch);

  /** Decodes the head of a backend server's answer. */
  BackendReply reply(HttpResponse head);

  /** Returns the headers of a backend server's answer that the caller gets. */
  HttpHeaders passedOn(HttpResponse head);

  /**
   * Returns the head of an answer of ebonypond's own.
   *
   * @param status the status
   * @param id the caller's attempt; empty if it is not known
   * @param pauseMillis the time after which the caller may return; 0 to say nothing
   */
  HttpResponse own(HttpResponseStatus status, String id, long pauseMillis);
}
