package org.ebonypond.server.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.ebonypond.server.http1.HttpCall;

/** Converts requests and answers between HTTP and the types of the forwarding path. */
public interface CallDialect {
  /**
   * Decodes the request line and headers of a caller's request.
   *
   * @throws org.ebonypond.errors.EbonypondException {@code bad-request} if a field is malformed
   */
  CallHead decode(HttpCall call);

  /** Returns the request line and headers that are sent to a backend server. */
  HttpRequest encode(HttpCall call, Dispatch dispatch);

  /** Decodes the status line and headers of a backend server's answer. */
  BackendReply decodeReply(HttpResponse head);

  /** Returns the headers of a backend server's answer that are forwarded to the caller. */
  HttpHeaders forwardedHeaders(HttpResponse head);

  /**
   * Returns the status line and headers of an answer that this process generates itself.
   *
   * @param status the HTTP status
   * @param id the caller's request identifier; empty if it is not known
   * @param retryAfterMillis the time after which the caller may retry, in milliseconds; 0 to send
   *     no such header
   */
  HttpResponse localResponse(HttpResponseStatus status, String id, long retryAfterMillis);
}
