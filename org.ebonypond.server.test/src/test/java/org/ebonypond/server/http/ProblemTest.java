package org.ebonypond.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.junit.jupiter.api.Test;

class ProblemTest {
  /** Guards against a refusal without a retry delay. */
  @Test
  void refusalHasPositiveRetryDelay() {
    Problem p = Problem.notRun(ErrorCode.NO_CAPACITY, 0);
    assertEquals(503, p.status());
    assertEquals(1, p.retryAfterSeconds());
    assertTrue(p.toJson("r1").contains("\"outcome\":\"not-run\""));
  }

  /** Guards against a retry delay for a request that can never succeed. */
  @Test
  void invalidRequestHasNoRetryDelay() {
    Problem p = Problem.of(new EbonypondException(ErrorCode.UNKNOWN_MODEL, "m"));
    assertEquals(404, p.status());
    assertEquals(-1, p.retryAfterSeconds());
  }
}
