package org.ebonypond.server.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.ebonypond.errors.EbonypondException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsParserTest {
  private static final String VALID =
      """
      node = "entry-a"
      zone = "java-a"
      http = "127.0.0.1:8080"
      peer = "127.0.0.1:9080"
      data_folder = "data"
      [[replica]]
      name = "entry-a"
      peer = "127.0.0.1:9080"
      """;

  @Test
  void readsValidSettings() {
    DaemonSettings s = SettingsParser.parse(VALID);
    assertTrue(s.isReplica());
    assertEquals(9080, s.replicas().get(0).address().getPort());
    assertEquals("prefix-tokens", s.routingPolicy());
    assertFalse(SettingsParser.parse(entryOnly()).isReplica());
  }

  /** Guards against a daemon that starts with invalid settings. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "127.0.0.1:8080|localhost:8080|line 3: key \"http\": \"localhost:8080\" is not an IP",
        "127.0.0.1:8080|127.0.0.1:70000|line 3: key \"http\": 70000 is not a port",
        "zone = \"java-a\"|zones = \"java-a\"|line 1: key \"zone\" is missing",
        "data_folder = \"data\"|data_dir = \"data\"|line 5: unknown key \"data_dir\"",
        "data_folder = \"data\"|ledger_shards = 2|line 1: key \"data_folder\": is missing",
        "data_folder = \"data\"|trace_max_mb = 0|line 5: key \"trace_max_mb\": 0 is out of range",
        "name = \"entry-a\"|name = \"entry-b\"|line 5: key \"data_folder\": is set, but no"
      })
  void rejectsInvalidSettings(String original, String replacement, String message) {
    String text = VALID.replace(original, replacement);
    EbonypondException e = assertThrows(EbonypondException.class, () -> SettingsParser.parse(text));
    assertTrue(e.getMessage().startsWith(message), e.getMessage());
  }

  private static String entryOnly() {
    return VALID
        .replace("data_folder = \"data\"\n", "")
        .replace("name = \"entry-a\"", "name = \"entry-b\"");
  }
}
