package org.ebonypond.server.backend;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.ebonypond.group.EngineState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;

class RatpackEngineAdminTest {
  private final ExecController controller = new DefaultExecController(1);
  private RatpackEngineAdmin admin;

  @BeforeEach
  void create() throws Exception {
    admin = new RatpackEngineAdmin(controller, HttpClient.of(c -> c.execController(controller)));
  }

  @AfterEach
  void stop() {
    controller.close();
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
    CompletableFuture<EngineState> state = admin.readState(address);
    assertThrows(ExecutionException.class, () -> state.get(5, TimeUnit.SECONDS));
  }
}
