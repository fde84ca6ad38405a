package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.serving.ServingConfig;
import org.junit.jupiter.api.Test;

class ConfigLoaderTest {
  private final Queue<Runnable> tasks = new ArrayDeque<>();
  private int decoded;
  private final ConfigLoader loader = new ConfigLoader(this::decode, tasks::add);

  private ServingConfig decode(byte[] content) {
    decoded++;
    if (content.length == 0) {
      throw new EbonypondException(ErrorCode.DOCUMENT_BAD_VALUE, "", "is empty", "send a document");
    }
    return new ServingConfig(content[0], List.of(), Map.of(), List.of(), ClientLimits.DEFAULT);
  }

  private void runTasks() {
    for (Runnable t = tasks.poll(); t != null; t = tasks.poll()) {
      t.run();
    }
  }

  /** Guards against an event loop that stands still while a configuration is decoded. */
  @Test
  void decodingRunsOnTheExecutorOnly() {
    CompletableFuture<ServingConfig> c = loader.load(() -> new byte[] {1});
    assertEquals(0, decoded);
    assertFalse(c.isDone());
    runTasks();
    assertEquals(1, c.join().version());
  }

  /** Guards against decoding a configuration for each time that an operator sends it. */
  @Test
  void sameContentIsDecodedOnce() {
    CompletableFuture<ServingConfig> first = loader.load(() -> new byte[] {1});
    CompletableFuture<ServingConfig> second = loader.load(() -> new byte[] {1});
    runTasks();
    assertSame(first.join(), second.join());
    CompletableFuture<ServingConfig> other = loader.load(() -> new byte[] {2});
    runTasks();
    assertEquals(2, other.join().version());
    assertEquals(2, decoded);
  }

  /** Guards against an invalid configuration that is taken for the last valid one. */
  @Test
  void invalidContentFailsWithItsReason() {
    loader.load(() -> new byte[] {1});
    CompletableFuture<ServingConfig> c = loader.load(() -> new byte[0]);
    runTasks();
    Throwable cause = assertThrows(CompletionException.class, c::join).getCause();
    assertEquals(ErrorCode.DOCUMENT_BAD_VALUE, ((EbonypondException) cause).code());
  }
}
