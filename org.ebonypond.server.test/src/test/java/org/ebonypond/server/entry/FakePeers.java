package org.ebonypond.server.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ebonypond.consensus.CommittedEntries;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.server.control.ViewPollResult;
import org.ebonypond.server.settings.ReplicaAddress;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.Peers;
import org.ebonypond.time.TimerService;
import org.ebonypond.wire.MessagePackCodec;

/** One control replica that answers at once, or fails every request while it is disconnected. */
final class FakePeers implements Peers {
  static final List<ReplicaAddress> REPLICAS =
      List.of(new ReplicaAddress("r1", new InetSocketAddress("127.0.0.1", 1)));

  /** Whether the replica answers. */
  boolean connected = true;

  /** Whether the process was killed, so that no message leaves or reaches it. */
  boolean killed;

  /** Handlers that answer frames of a type in place of the replica. */
  final Map<FrameType, FrameHandler> handlers = new EnumMap<>(FrameType.class);

  /** Answers a request; may answer late, more than once or never. */
  interface FrameHandler {
    void ask(FrameType type, byte[] payload, Consumer<byte[]> reply);
  }

  private final TimerService timers;
  private final Map<FrameType, Supplier<byte[]>> answers = new HashMap<>();
  private long index;

  FakePeers(TimerService timers) {
    this.timers = timers;
    answers.put(FrameType.VIEW_POLL, () -> MessagePackCodec.encode(pollResult()));
  }

  /** Commits a log entry, so that the next poll changes the view. */
  void commit() {
    index++;
  }

  @Override
  public void send(InetSocketAddress to, FrameType type, String channel, byte[] payload) {}

  @Override
  public CompletableFuture<byte[]> ask(
      InetSocketAddress to, FrameType type, String channel, byte[] payload, long timeoutMillis) {
    if (killed) {
      return new CompletableFuture<>();
    }
    FrameHandler handler = handlers.get(type);
    if (handler != null) {
      return askHandler(handler, type, payload, timeoutMillis);
    }
    Supplier<byte[]> answer = answers.get(type);
    return connected && answer != null
        ? CompletableFuture.completedFuture(answer.get())
        : CompletableFuture.failedFuture(new IllegalStateException("no answer"));
  }

  private CompletableFuture<byte[]> askHandler(
      FrameHandler handler, FrameType type, byte[] payload, long timeoutMillis) {
    CompletableFuture<byte[]> out = new CompletableFuture<>();
    handler.ask(
        type,
        payload,
        answer -> {
          if (!killed) {
            out.complete(answer);
          }
        });
    timers.after(
        timeoutMillis,
        () -> {
          if (!killed) {
            out.completeExceptionally(new IllegalStateException("no answer in time"));
          }
        });
    return out;
  }

  private ViewPollResult pollResult() {
    List<LogEntry> entries = new ArrayList<>();
    for (long i = 1; i <= index; i++) {
      entries.add(new LogEntry(i, 1, EntryType.NOOP, new byte[0]));
    }
    return new ViewPollResult(
        true,
        Map.of("r1", "id1"),
        0,
        index,
        "r1",
        new CommittedEntries(null, entries, index),
        null);
  }
}
