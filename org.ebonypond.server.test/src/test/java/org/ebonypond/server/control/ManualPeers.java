package org.ebonypond.server.control;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.server.settings.ReplicaAddress;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.Peers;
import org.ebonypond.wire.MessagePackCodec;

/** Three replicas, r0 to r2, that reply only when the test tells them to. */
public final class ManualPeers implements Peers {
  static final List<ReplicaAddress> REPLICAS =
      List.of(replica("r0", 0), replica("r1", 1), replica("r2", 2));

  final List<Request> requests = new ArrayList<>();
  final List<byte[]> sent = new ArrayList<>();

  private static ReplicaAddress replica(String name, int port) {
    return new ReplicaAddress(name, new InetSocketAddress("127.0.0.1", port));
  }

  Request last() {
    return requests.get(requests.size() - 1);
  }

  @Override
  public void send(InetSocketAddress to, FrameType type, String channel, byte[] payload) {
    sent.add(payload);
  }

  @Override
  public CompletableFuture<byte[]> ask(
      InetSocketAddress to, FrameType type, String channel, byte[] payload, long timeoutMillis) {
    Request q = new Request(to.getPort(), payload, new CompletableFuture<>());
    requests.add(q);
    return q.answer;
  }

  /** A request to a replica. */
  record Request(int replica, byte[] payload, CompletableFuture<byte[]> answer) {
    void reply(Object message) {
      answer.complete(MessagePackCodec.encode(message));
    }

    void fail() {
      answer.completeExceptionally(new IllegalStateException("no answer in time"));
    }
  }
}
