package org.ebonypond.server.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.junit.ByteMutator;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.time.HybridClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.slf4j.LoggerFactory;

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

  /** Guards against reusing a failed connection, so that a restarted peer is never reached. */
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

  /** Guards against waiting for the timeout if the peer has no handler for the request. */
  @Test
  void requestWithoutHandlerFailsAtOnce() throws IOException {
    InetSocketAddress at = freeAddress();
    try (PeerNetwork peer = network("peer")) {
      peer.listen(at);
      assertThrows(CompletionException.class, () -> ask(at).join());
    }
  }

  /** Guards against waiting forever for a peer that does not answer. */
  @Test
  void requestToSilentPeerFailsAtTheTimeout() throws IOException {
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

  /** Forwards connections to an address and counts them. */
  private static void forward(ServerSocket from, InetSocketAddress to, AtomicInteger connections) {
    startDaemon(
        () -> {
          while (true) {
            Socket in = from.accept();
            connections.incrementAndGet();
            Socket out = new Socket(to.getAddress(), to.getPort());
            startDaemon(() -> in.getInputStream().transferTo(out.getOutputStream()));
            startDaemon(() -> out.getInputStream().transferTo(in.getOutputStream()));
          }
        });
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void startDaemon(Task task) {
    Thread t =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The socket was closed at the end of the test.
                return;
              }
            });
    t.setDaemon(true);
    t.start();
  }

  /**
   * Guards against closing the connection to a replica that is slow to answer a poll, and losing
   * the messages of the log on it.
   */
  @Test
  void connectionOfBusyPeerIsKept() throws Exception {
    InetSocketAddress at = freeAddress();
    AtomicInteger connections = new AtomicInteger();
    try (PeerNetwork peer = network("peer");
        ServerSocket proxy = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
      Semaphore received = new Semaphore(0);
      peer.handle(
          FrameType.PROPOSE,
          f -> {
            received.release();
            return new CompletableFuture<>();
          });
      peer.listen(at);
      forward(proxy, at, connections);
      InetSocketAddress via = (InetSocketAddress) proxy.getLocalSocketAddress();
      for (int i = 0; i < 3; i++) {
        final long before = client.receivedBytes();
        final CompletableFuture<byte[]> answer = ask(via);
        assertTrue(received.tryAcquire(5, TimeUnit.SECONDS), "request " + i + " was lost");
        timers.advance(500);
        for (int n = 0; n < 500 && client.receivedBytes() == before; n++) {
          TimeUnit.MILLISECONDS.sleep(10);
        }
        timers.advance(500);
        assertThrows(CompletionException.class, answer::join);
      }
      assertEquals(1, connections.get());
    }
  }

  /** Counts the requests on a connection; a ping has no payload and is not counted. */
  private static void countFrames(Socket s, Semaphore requests) throws IOException {
    DataInputStream in = new DataInputStream(s.getInputStream());
    while (true) {
      byte[] frame = in.readNBytes(in.readInt());
      if (frame[frame.length - 1] == PING[PING.length - 1]) {
        requests.release();
      }
    }
  }

  /**
   * Guards against replacing the connection to a slow peer again and again, and losing the votes on
   * it: no leader was elected for 10 s after all replicas had lost power.
   */
  @Test
  void connectionsOfSlowPeerAreNotReplacedAgainAndAgain() throws Exception {
    AtomicInteger connections = new AtomicInteger();
    Semaphore received = new Semaphore(0);
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
      startDaemon(
          () -> {
            while (true) {
              Socket s = server.accept();
              connections.incrementAndGet();
              startDaemon(() -> countFrames(s, received));
            }
          });
      InetSocketAddress at = (InetSocketAddress) server.getLocalSocketAddress();
      for (int i = 0; i < 8; i++) {
        final CompletableFuture<byte[]> answer = ask(at);
        assertTrue(received.tryAcquire(5, TimeUnit.SECONDS), "request " + i + " was lost");
        timers.advance(1_000);
        assertThrows(CompletionException.class, answer::join);
        // Only then is a connection that was closed known to be closed.
        TimeUnit.MILLISECONDS.sleep(100);
      }
      assertTrue(connections.get() <= 4, connections.get() + " connections in 8 s");
      assertTrue(connections.get() >= 2, "a dead connection is replaced");
    }
  }

  /**
   * Guards against a large answer that never arrives because its connection is closed at the
   * timeout and the next request transfers it again from the start.
   */
  @Test
  void largeAnswerMayTakeLongerThanTheTimeoutWhileItsBytesArrive() throws Exception {
    byte[] large = new byte[400_000];
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      InetSocketAddress at = (InetSocketAddress) server.getLocalSocketAddress();
      CompletableFuture<byte[]> answer = ask(at);
      try (Socket s = server.accept()) {
        DataInputStream in = new DataInputStream(s.getInputStream());
        in.readFully(new byte[in.readInt()]);
        byte[] frame = answerFrame(large);
        DataOutputStream out = new DataOutputStream(s.getOutputStream());
        out.writeInt(frame.length);
        int part = frame.length / 4;
        for (int i = 0; i < 3; i++) {
          out.write(frame, i * part, part);
          out.flush();
          awaitReceived(4 + (i + 1L) * part);
          timers.advance(1_000);
          assertFalse(answer.isDone(), "after part " + i);
        }
        out.write(frame, 3 * part, frame.length - 3 * part);
        out.flush();
        assertArrayEquals(large, answer.get(10, TimeUnit.SECONDS));
      }
    }
  }

  /** Guards against a request that stays open forever while the peer sends single bytes. */
  @Test
  void answerThatNeverEndsFailsAfterSomeTimeouts() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      CompletableFuture<byte[]> answer = ask((InetSocketAddress) server.getLocalSocketAddress());
      try (Socket s = server.accept()) {
        DataOutputStream out = new DataOutputStream(s.getOutputStream());
        out.writeInt(1 << 20);
        for (int i = 1; i <= 20 && !answer.isDone(); i++) {
          out.write(0);
          out.flush();
          awaitReceived(4 + i);
          timers.advance(1_000);
        }
        assertThrows(CompletionException.class, answer::join);
      }
    }
  }

  private void awaitReceived(long bytes) throws InterruptedException {
    for (int i = 0; i < 1_000 && client.receivedBytes() < bytes; i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertEquals(bytes, client.receivedBytes());
  }

  private static byte[] answerFrame(byte[] payload) throws IOException {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packArrayHeader(7);
      p.packInt(FrameType.ANSWER.ordinal());
      p.packString("peer");
      p.packString("control");
      p.packLong(1);
      p.packLong(1);
      p.packInt(1);
      p.packBinaryHeader(payload.length);
      p.writePayload(payload);
      return p.toByteArray();
    }
  }

  /** Sends the length and the bytes of a frame on a new connection of an unknown sender. */
  private static void sendRawFrame(InetSocketAddress to, byte[] content) throws IOException {
    try (Socket s = new Socket(to.getAddress(), to.getPort())) {
      DataOutputStream out = new DataOutputStream(s.getOutputStream());
      out.writeInt(content.length);
      out.write(content);
      out.flush();
      s.shutdownOutput();
      s.setSoTimeout(5_000);
      s.getInputStream().readAllBytes();
    } catch (SocketException e) {
      // The peer may reset the connection after an invalid frame.
      assertNotNull(e.getMessage());
    }
  }

  private static byte[] proposal(int claimedPayload) throws IOException {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packArrayHeader(7);
      p.packInt(FrameType.PROPOSE.ordinal());
      p.packString("stranger");
      p.packString("control");
      p.packLong(1);
      p.packLong(1);
      p.packInt(1);
      p.packBinaryHeader(claimedPayload);
      p.writePayload(PING);
      return p.toByteArray();
    }
  }

  /** Guards against allocating the claimed payload length of a frame that has fewer bytes. */
  @Test
  void claimedLengthsAreNotAllocated() throws IOException {
    EmbeddedChannel c = new EmbeddedChannel(new FrameCodec());
    byte[] frame = proposal(Integer.MAX_VALUE - 8);
    DecoderException e =
        assertThrows(DecoderException.class, () -> c.writeInbound(Unpooled.wrappedBuffer(frame)));
    assertInstanceOf(EbonypondException.class, e.getCause());
  }

  /** Guards against damaged frames that stop the peer or are accepted as valid ones. */
  @Test
  void damagedFramesDoNotAffectOtherConnections() throws IOException {
    InetSocketAddress at = freeAddress();
    long frames = Long.getLong("ebonypond.seeds", 300);
    try (PeerNetwork peer = echo(at)) {
      for (long seed = 1; seed <= frames; seed++) {
        sendRawFrame(at, new ByteMutator(seed).mutate(proposal(PING.length)));
      }
      assertArrayEquals(PING, ask(at).join());
    }
  }

  /** Guards against processes that drop each other's messages without a trace in the logs. */
  @Test
  void frameThatCannotBeDecodedIsLogged() throws IOException {
    Logger logger = (Logger) LoggerFactory.getLogger(PeerNetwork.class);
    ListAppender<ILoggingEvent> lines = new ListAppender<>();
    lines.start();
    logger.addAppender(lines);
    InetSocketAddress at = freeAddress();
    try (PeerNetwork peer = echo(at)) {
      sendRawFrame(at, proposal(Integer.MAX_VALUE - 8));
    } finally {
      logger.detachAppender(lines);
    }
    assertTrue(
        lines.list.stream()
            .anyMatch(
                l ->
                    l.getLevel() == Level.WARN
                        && l.getMessage().equals("frame cannot be decoded")));
  }
}
