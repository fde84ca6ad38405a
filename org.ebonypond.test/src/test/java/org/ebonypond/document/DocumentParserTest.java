package org.ebonypond.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.regex.Pattern;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DocumentParserTest {
  private static final String VALID =
      """
      version = 1
      [[engine_kind]]
      name = "batcher"
      checks_fencing = true
      [[model]]
      name = "drafter"
      version = "2026-11"
      engine_kind = "batcher"
      zones = ["java-a", "java-b"]
      groups_per_zone = 1
      instances_per_group = 2
      max_concurrency = 16
      cold_ceiling = 2
      warm_seconds = 20
      [[service]]
      name = "orders"
      max_concurrency = 32
      cold_ceiling = 4
      warm_seconds = 10
      idempotent = ["GET /orders/*", "GET /history/**"]
      [[workspace]]
      name = "surabaya"
      """;

  @Test
  void readsValidDocument() {
    ServiceDocument d = DocumentParser.parse(VALID);
    assertEquals(2, d.model("drafter").orElseThrow().instancesPerGroup());
    assertTrue(d.checksFencing("batcher"));
    assertFalse(d.checksFencing("other"));
    assertEquals(LimitsSpec.DEFAULT, d.limits());
    assertEquals(1, d.workspace("surabaya").orElseThrow().weight());
  }

  /** Guards against a call that may be retried because a pattern matches too many paths. */
  @ParameterizedTest
  @CsvSource({
    "GET,/orders/7,true",
    "GET,/orders/,false",
    "GET,/orders/7/cancel,false",
    "POST,/orders/7,false",
    "GET,/orders/..,false",
    "GET,/history/2026/11,true",
    "GET,/history,false"
  })
  void matchesIdempotentCalls(String method, String path, boolean expected) {
    ServiceSpec s = DocumentParser.parse(VALID).service("orders").orElseThrow();
    assertEquals(expected, s.isIdempotent(method, path));
  }

  /** Guards against an invalid document that is accepted or rejected without naming the line. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "warm_seconds = 20|warm_seconds = \"20\"|DOCUMENT_BAD_VALUE|line 14: key \"model.warm",
        "cold_ceiling = 2|cold_ceiling = 17|DOCUMENT_BAD_VALUE|line 13: key \"model.cold",
        "groups_per_zone = 1|groups_per_zone = -1|DOCUMENT_BAD_VALUE|line 10: key \"model.groups",
        "max_concurrency = 16|max_conc = 16|DOCUMENT_MISSING_KEY|line 5: key \"model.max_conc",
        "checks_fencing = true|fencing = true|DOCUMENT_UNKNOWN_KEY|line 4: unknown key",
        "engine_kind = \"batcher\"|engine_kind = \"b\"|DOCUMENT_BAD_REFERENCE|line 8: key",
        "GET /orders/*|FETCH /orders/*|DOCUMENT_BAD_VALUE|line 20: key \"service.idempotent",
        "name = \"drafter\"|name = drafter|DOCUMENT_SYNTAX|line 6, column",
        "version = 1|version = 0|DOCUMENT_BAD_VALUE|line 1: key \"version"
      })
  void rejectsInvalidDocumentAndNamesTheLine(
      String good, String bad, ErrorCode code, String message) {
    String text = VALID.replaceFirst(Pattern.quote(good), bad);
    EbonypondException e = assertThrows(EbonypondException.class, () -> DocumentParser.parse(text));
    assertEquals(code, e.code());
    assertTrue(e.getMessage().startsWith(message), e.getMessage());
  }
}
