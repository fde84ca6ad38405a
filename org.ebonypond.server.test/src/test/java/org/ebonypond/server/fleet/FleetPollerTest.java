package org.ebonypond.server.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.PollCodec;
import org.ebonypond.fleet.RelayReport;
import org.ebonypond.fleet.ReplicaPollPlan;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.Peers;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class FleetPollerTest {
  private static final long PERIOD_MILLIS = 100;
  private static final String REPLICA = "10.0.0.1:7000";

  /** Answers each poll at once with the names of replicas. */
  private static final class KnownReplicas implements Peers {
    final List<InetSocketAddress> asked = new ArrayList<>();
    private final byte[] answer;

    /** Answers all polls if it is not null. */
    @Nullable CompletableFuture<byte[]> delayed;

    KnownReplicas(List<String> names) {
      answer =
          PollCodec.encodeResult(
              new FleetPollResult(
                  1,
                  1,
                  1,
                  0,
                  true,
                  null,
                  List.of(),
                  List.of(),
                  null,
                  1,
                  0,
                  names,
                  null,
                  List.of(),
                  List.of(),
                  FleetPollResult.UNCONFIRMED));
    }

    @Override
    public void send(InetSocketAddress to, FrameType type, String channel, byte[] payload) {
      throw new UnsupportedOperationException("polls expect answers");
    }

    @Override
    public CompletableFuture<byte[]> ask(
        InetSocketAddress to, FrameType type, String channel, byte[] payload, long timeoutMillis) {
      asked.add(to);
      return delayed == null ? CompletableFuture.completedFuture(answer) : delayed;
    }
  }

  private static FleetPoller poller(
      ManualTimerService timers, KnownReplicas peers, PollListener listener) {
    return new FleetPoller(
        "10.0.0.2:7000",
        "10.0.0.2:7000",
        peers,
        timers,
        new ReplicaDirectory(List.of(REPLICA)),
        new ReplicaPollPlan("10.0.0.2:7000"),
        Runnable::run,
        PERIOD_MILLIS,
        () -> 1,
        () -> 0,
        () -> 0,
        List::of,
        List::of,
        List::of,
        () -> RelayReport.NONE,
        listener);
  }

  /** Guards against a process that polls no replica again after one answer named an odd address. */
  @Test
  void malformedAddressOfReplicaDoesNotEndThePolls() {
    ManualTimerService timers = new ManualTimerService();
    KnownReplicas peers = new KnownReplicas(List.of("", "-:1", REPLICA));
    FleetPoller poller = poller(timers, peers, (name, result, sentAt) -> {});
    poller.start();
    timers.advance(10 * PERIOD_MILLIS);
    assertEquals(11, peers.asked.size());
  }

  /** Guards against an answer that was delayed and makes what it says look newer than it is. */
  @Test
  void answerIsDatedFromThePollAndNotFromItsArrival() {
    ManualTimerService timers = new ManualTimerService();
    KnownReplicas peers = new KnownReplicas(List.of(REPLICA));
    peers.delayed = new CompletableFuture<>();
    List<Long> sentAt = new ArrayList<>();
    FleetPoller poller = poller(timers, peers, (name, result, at) -> sentAt.add(at));
    timers.advance(1_000);
    final long start = timers.nowMillis();
    poller.start();
    timers.advance(700);
    peers.delayed.complete(peers.answer);
    assertEquals(List.of(start), sentAt);
  }
}
