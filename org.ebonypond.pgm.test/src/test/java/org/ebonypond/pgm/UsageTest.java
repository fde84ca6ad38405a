package org.ebonypond.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class UsageTest extends ToolTestBase {
  /** Guards against reporting a wrong command line as success or as a refusal. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "bogus",
        "zone",
        "zone out",
        "zone out a/b --entry 127.0.0.1:1",
        "apply",
        "apply /nonexistent/file",
        "get",
        "get --bogus",
        "get --entry nocolon",
        "get --entry 127.0.0.1:1 --timeout-ms 0",
        "timeline --since 5q --entry 127.0.0.1:1",
        "explain request --entry 127.0.0.1:1",
        "explain zone z --entry 127.0.0.1:1",
        "replay",
        "replay /nonexistent/file",
        "replay /nonexistent/file --expect /nonexistent/file"
      })
  void wrongCommandLine(String line) {
    assertEquals(2, run(line.split(" ")));
    assertFalse(err().isBlank());
  }

  /** Guards against a command whose help is missing, incomplete or needs arguments. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "validate",
        "apply",
        "get",
        "zone out",
        "zone in",
        "status",
        "timeline",
        "explain",
        "replay"
      })
  void everyCommandHasHelp(String command) {
    assertEquals(0, run((command + " --help").split(" ")));
    assertTrue(out().contains("ebonypond " + command), out());
    assertTrue(out().contains("EXIT CODES") && out().contains("--json"), out());
  }

  /** Guards against a message without a text, whose lookup would hide the real error. */
  @ParameterizedTest
  @EnumSource(ToolMessage.class)
  void everyMessageHasText(ToolMessage m) {
    assertFalse(m.format("a", "b", "c", "d", "e").isBlank());
  }
}
