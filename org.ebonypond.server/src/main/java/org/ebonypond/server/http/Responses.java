package org.ebonypond.server.http;

import ratpack.handling.Context;

/** Sends JSON and problem responses. */
final class Responses {
  static final String REQUEST_ID = "Ebonypond-Request-Id";
  private static final String JSON = "application/json";

  private Responses() {}

  static void json(Context ctx, int status, String body) {
    ctx.getResponse().status(status).contentType(JSON).send(body);
  }

  static void problem(Context ctx, Problem p, String requestId) {
    ctx.getResponse().status(p.status()).contentType(Problem.CONTENT_TYPE);
    if (p.retryAfterSeconds() >= 0) {
      ctx.getResponse().getHeaders().set("Retry-After", p.retryAfterSeconds());
    }
    if (!requestId.isEmpty()) {
      ctx.getResponse().getHeaders().set(REQUEST_ID, requestId);
    }
    ctx.getResponse().send(p.toJson(requestId));
  }
}
