package org.ebonypond.server.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.time.HybridClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {
  private static final byte[] PING = {1, 2, 3};

  private final ManualTimerService timers = new ManualTimerService();
  private final PeerNetwork client = network("client");

  private PeerNetwork network(String name) {
    return new PeerNetwork(name, new HybridClock(() -> 1_000), timers);
  }

  private PeerNetwork echo(InetSocketAddress at) {
    PeerNetwork n = network("echo");
    n.handle(FrameType.PROPOSE, f -> CompletableFuture.completedFuture(f.payload()));
    n.listen(at);
    return n;
  }

  private CompletableFuture<byte[]> ask(InetSocketAddress to) {
    return client.ask(to, FrameType.PROPOSE, "control", PING, 1_000);
  }

  private static InetSocketAddress freeAddress() throws IOException {
    InetAddress local = InetAddress.getByName("127.0.0.1");
    try (ServerSocket s = new ServerSocket(0, 1, local)) {
      return new InetSocketAddress(local, s.getLocalPort());
    }
  }

  @AfterEach
  void close() {
    client.close();
  }

  /** Guards against a failed connection that is kept, so that a restarted peer is never reached. */
  @Test
  void peerIsReachedAfterFailedConnection() throws IOException {
    InetSocketAddress at = freeAddress();
    for (int i = 0; i < 50; i++) {
      CompletionException e = assertThrows(CompletionException.class, () -> ask(at).join());
      assertEquals(ErrorCode.NO_QUORUM, ((EbonypondException) e.getCause()).code());
    }
    try (PeerNetwork peer = echo(at)) {
      assertArrayEquals(PING, ask(at).join());
    }
  }

  /** Guards against a question without a handler that waits for its timeout. */
  @Test
  void unknownQuestionFailsAtOnce() throws IOException {
    InetSocketAddress at = freeAddress();
    try (PeerNetwork peer = network("peer")) {
      peer.listen(at);
      assertThrows(CompletionException.class, () -> ask(at).join());
    }
  }

  /** Guards against an answer that is awaited forever when the peer is silent. */
  @Test
  void silentPeerFailsAtTheTimeout() throws IOException {
    InetSocketAddress at = freeAddress();
    try (PeerNetwork peer = network("peer")) {
      CompletableFuture<Void> received = new CompletableFuture<>();
      peer.handle(
          FrameType.PROPOSE,
          f -> {
            received.complete(null);
            return new CompletableFuture<>();
          });
      peer.listen(at);
      CompletableFuture<byte[]> answer = ask(at);
      received.join();
      timers.advance(1_000);
      assertThrows(CompletionException.class, answer::join);
    }
  }
}
