package org.ebonypond.server.backend;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.ebonypond.group.EngineState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpEngineAdminTest {
  private final BackendLoop loop = new BackendLoop();

  @AfterEach
  void stop() {
    loop.close();
  }

  /**
   * Guards against a leader that sends no more orders after one engine gave a malformed address.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "a b",
        "[",
        "10.0.0.1:x",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999999999"
      })
  void malformedAddressFailsOnlyItsOwnCall(String address) {
    CompletableFuture<EngineState> state = loop.admin().readState(address);
    assertThrows(ExecutionException.class, () -> state.get(5, TimeUnit.SECONDS));
  }
}
