package org.ebonypond.server.control;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.server.settings.ReplicaAddress;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.Peers;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Sends commands to the leader of a replicated log. A command may be sent more than once when a
 * reply is lost, so applying a command must be idempotent.
 */
public final class ProposalClient {
  private static final long ATTEMPT_TIMEOUT_MILLIS = 1_500;
  private static final long RETRY_DELAY_MILLIS = 100;

  private final Peers network;
  private final TimerService timers;
  private final Supplier<List<ReplicaAddress>> replicas;
  private final Supplier<@Nullable String> leader;
  private final Map<String, Integer> leaderIndexes = new ConcurrentHashMap<>();

  /**
   * Creates a client.
   *
   * @param network sends the proposals
   * @param timers provides the time and delays attempts
   * @param replicas every control replica
   */
  public ProposalClient(Peers network, TimerService timers, List<ReplicaAddress> replicas) {
    this(network, timers, () -> replicas, () -> null);
  }

  /**
   * Creates a client of replicas that may change.
   *
   * @param replicas returns the currently known control replicas, at least one
   * @param leader returns the name of the leader if this process knows it from the log itself, or
   *     null; the first attempt of each proposal goes there
   */
  public ProposalClient(
      Peers network,
      TimerService timers,
      Supplier<List<ReplicaAddress>> replicas,
      Supplier<@Nullable String> leader) {
    this.leader = leader;
    this.network = network;
    this.timers = timers;
    this.replicas = replicas;
  }

  /**
   * Proposes a command repeatedly until a leader has applied it.
   *
   * @param channel the replicated log
   * @param command the encoded command
   * @param timeoutMillis the time in milliseconds after which no further attempt is made
   * @return the reply to the applied command; fails with {@code no-quorum} if no leader replied in
   *     time, in which case the command may still be applied, except after {@link
   *     ProposalFailure#notSent()}
   */
  public CompletableFuture<ProposalReply> propose(
      String channel, byte[] command, long timeoutMillis) {
    Proposal p = new Proposal(channel, command, timers.nowMillis() + timeoutMillis);
    p.attempt();
    return p.done;
  }

  /** The failure of a proposal. */
  public static final class ProposalFailure extends EbonypondException {
    private static final long serialVersionUID = 1L;

    private final boolean notSent;

    ProposalFailure(boolean notSent) {
      super(ErrorCode.NO_QUORUM);
      this.notSent = notSent;
    }

    /** Returns whether the command was certainly not received by a leader. */
    public boolean notSent() {
      return notSent;
    }
  }

  private final class Proposal {
    private final String channel;
    private final byte[] command;
    private final long deadlineMillis;
    private final CompletableFuture<ProposalReply> done = new CompletableFuture<>();
    private boolean mayBeAccepted;
    private boolean tried;

    Proposal(String channel, byte[] command, long deadlineMillis) {
      this.channel = channel;
      this.command = command;
      this.deadlineMillis = deadlineMillis;
    }

    void attempt() {
      long left = deadlineMillis - timers.nowMillis();
      if (left <= 0) {
        done.completeExceptionally(new ProposalFailure(!mayBeAccepted));
        return;
      }
      List<ReplicaAddress> known = replicas.get();
      int target = indexOf(known, tried ? null : leader.get());
      if (target < 0) {
        target = leaderIndexes.getOrDefault(channel, 0) % known.size();
      }
      tried = true;
      final int asked = target;
      InetSocketAddress to = known.get(target).address();
      network
          .ask(to, FrameType.PROPOSE, channel, command, Math.min(left, ATTEMPT_TIMEOUT_MILLIS))
          .thenApply(ProposalReply::decode)
          .whenComplete((reply, failure) -> onReply(asked, reply, failure));
    }

    private void onReply(int target, @Nullable ProposalReply reply, @Nullable Throwable failure) {
      if (reply != null && reply.failure() == null) {
        done.complete(reply);
        return;
      }
      boolean refused = reply != null && reply.failure() == ErrorCode.NOT_LEADER;
      mayBeAccepted |= !refused;
      int next = next(target, reply == null ? null : reply.leader());
      // Another proposal may have found the leader since this one was sent.
      leaderIndexes.compute(
          channel, (k, current) -> current == null || current == target ? next : current);
      timers.after(RETRY_DELAY_MILLIS, this::attempt);
    }

    private int next(int target, @Nullable String hint) {
      List<ReplicaAddress> known = replicas.get();
      int hinted = indexOf(known, hint);
      return hinted >= 0 && hinted != target ? hinted : (target + 1) % known.size();
    }

    private static int indexOf(List<ReplicaAddress> known, @Nullable String name) {
      for (int i = 0; i < known.size(); i++) {
        if (known.get(i).name().equals(name)) {
          return i;
        }
      }
      return -1;
    }
  }
}
