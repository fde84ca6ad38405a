package org.ebonypond.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.junit.jupiter.api.Test;

class ProblemTest {
  /** Guards against a refusal that does not tell the caller when to come back. */
  @Test
  void refusalCarriesTheTimeToComeBack() {
    Problem p = Problem.notRun(ErrorCode.NO_CAPACITY, 0);
    assertEquals(503, p.status());
    assertEquals(1, p.retryAfterSeconds());
    assertTrue(p.toJson("r1").contains("\"outcome\":\"not-run\""));
  }

  /** Guards against a caller that repeats a call which can never succeed. */
  @Test
  void invalidRequestIsNotToBeRetried() {
    Problem p = Problem.of(new EbonypondException(ErrorCode.UNKNOWN_MODEL, "m"));
    assertEquals(404, p.status());
    assertEquals(-1, p.retryAfterSeconds());
  }
}
