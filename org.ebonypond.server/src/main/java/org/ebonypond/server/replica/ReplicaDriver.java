package org.ebonypond.server.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.ebonypond.consensus.CommittedEntries;
import org.ebonypond.consensus.ProposalResult;
import org.ebonypond.consensus.RaftCodec;
import org.ebonypond.consensus.RaftMessage;
import org.ebonypond.consensus.RaftNode;
import org.ebonypond.consensus.RaftOutput;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.time.SuspensionDetector;
import org.ebonypond.time.TimerService;

/**
 * Runs one replica on its own thread and its syncs on a second one. Each round drains the inbox,
 * starts the next sync unless one is running, sends the messages that may be sent and completes the
 * proposals. A slow sync does not delay heartbeats, and all proposals that arrive during it share
 * the next sync.
 */
public final class ReplicaDriver implements AutoCloseable {
  /** Maximum time between two ticks, in milliseconds; a tenth of the heartbeat interval. */
  private static final long TICK_MILLIS = 10;

  private final String channel;
  private final RaftNode node;
  private final RaftTransport transport;
  private final TimerService timers;
  private final SuspensionDetector suspensions;
  private final ReplicaListener listener;
  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final Map<Long, CompletableFuture<ProposalResult>> proposals = new HashMap<>();
  private final List<Runnable> reads = new ArrayList<>();
  private final Thread thread;
  private final ExecutorService syncs;
  private long nextProposal;
  private final Map<CompletableFuture<?>, Runnable> pendingFutures = new ConcurrentHashMap<>();

  /** Whether {@link #close} was called. */
  private volatile boolean stopped;

  /** Whether no further round runs; a task that is queued later completes by its onEnd. */
  private volatile boolean ended;

  private volatile ReplicaStatus status;

  /**
   * Creates a driver; its thread is started by {@link #start()}.
   *
   * @param channel the name of the replicated log, for example {@code control}
   * @param suspensions detects the suspensions of this process
   */
  public ReplicaDriver(
      String channel,
      RaftNode node,
      RaftTransport transport,
      TimerService timers,
      SuspensionDetector suspensions,
      ReplicaListener listener) {
    this.channel = channel;
    this.node = node;
    this.transport = transport;
    this.timers = timers;
    this.suspensions = suspensions;
    this.listener = listener;
    this.status = ReplicaStatus.of(node);
    this.thread = new Thread(this::run, "raft-" + channel);
    thread.setDaemon(true);
    this.syncs = Executors.newSingleThreadExecutor(this::syncThread);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /**
   * Returns the status after the last round. If the process was suspended, the replica does not
   * lead before a majority has answered a request that it sent afterwards.
   */
  public ReplicaStatus status() {
    return status.afterSuspension(suspensions.resumedAt());
  }

  /**
   * Queues a message of another replica.
   *
   * @param fromReplica the name of the sending replica
   * @param payload the encoded message
   * @throws EbonypondException {@code frame-invalid} if the payload is not a message
   */
  public void receive(String fromReplica, byte[] payload) {
    RaftMessage m = RaftCodec.decodeMessage(payload);
    inbox.add(() -> node.receive(timers.nowMillis(), fromReplica, m));
  }

  /** Adds a replica that may join, see {@link RaftNode#discover}. */
  public void discover(String name) {
    inbox.add(() -> node.discover(name));
  }

  /**
   * Proposes a command.
   *
   * @return the result of the proposal; a refusal or an unknown outcome is a result, not an
   *     exception
   */
  public CompletableFuture<ProposalResult> propose(byte[] command) {
    CompletableFuture<ProposalResult> future = new CompletableFuture<>();
    submit(
        future,
        () -> {
          long id = nextProposal++;
          proposals.put(id, future);
          node.propose(timers.nowMillis(), id, command);
        },
        () -> future.complete(ProposalResult.failed(0, ErrorCode.NOT_LEADER, null)));
    return future;
  }

  /**
   * Reads the state machine on the thread of the replica if this replica holds the leader's lease,
   * so that the result reflects every proposal that completed before the call.
   *
   * @return the value; fails with {@code not-leader} if this replica may not act as the leader
   */
  public <T> CompletableFuture<T> read(Supplier<T> reader) {
    CompletableFuture<T> future = new CompletableFuture<>();
    submit(future, () -> reads.add(() -> finishRead(future, reader)), () -> failEnded(future));
    return future;
  }

  /** Returns committed entries, see {@link RaftNode#entriesAfter}. */
  public CompletableFuture<CommittedEntries> entriesAfter(long index, int max) {
    return inspect(n -> n.entriesAfter(index, max));
  }

  /** Applies a function to the replica on its thread, at the end of a round. */
  public <T> CompletableFuture<T> inspect(Function<RaftNode, T> function) {
    CompletableFuture<T> future = new CompletableFuture<>();
    submit(
        future,
        () -> reads.add(() -> finish(future, () -> function.apply(node))),
        () -> failEnded(future));
    return future;
  }

  /** Runs one round including syncs on the calling thread; for tests without a started driver. */
  public void runOnce() {
    List<Runnable> batch = new ArrayList<>();
    inbox.drainTo(batch);
    runRound(batch, node::flush);
  }

  /**
   * Stops the threads and completes all pending futures; returns after a running sync has ended.
   * The storage remains open; its owner must close it.
   */
  @Override
  public void close() {
    stopped = true;
    inbox.add(() -> {});
    if (Thread.currentThread() == thread) {
      return;
    }
    if (thread.getState() == Thread.State.NEW) {
      end();
      return;
    }
    try {
      thread.join();
      syncs.awaitTermination(Long.MAX_VALUE, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Queues a task.
   *
   * @param onEnd completes the future if the replica ends before the task has run
   */
  private void submit(CompletableFuture<?> future, Runnable task, Runnable onEnd) {
    pendingFutures.put(future, onEnd);
    future.whenComplete((r, e) -> pendingFutures.remove(future));
    inbox.add(task);
    // If the replica ended before the task was added, nothing else completes the future.
    if (ended) {
      onEnd.run();
    }
  }

  private void run() {
    try {
      while (!stopped && !ended) {
        List<Runnable> batch = new ArrayList<>();
        Runnable first = inbox.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          inbox.drainTo(batch);
        }
        runRound(batch, this::advance);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      end();
    }
  }

  /** Advances the replica and starts its next sync on the other thread. */
  private RaftOutput advance(long now) {
    RaftOutput output = node.advance(now);
    Runnable sync = node.beginSync();
    if (sync != null) {
      syncs.execute(() -> inbox.add(resultOf(sync)));
    }
    return output;
  }

  /** Runs a sync; returns the task that reports its result to the replica. */
  private Runnable resultOf(Runnable sync) {
    try {
      sync.run();
      return () -> node.syncEnded(timers.nowMillis());
    } catch (RuntimeException e) {
      return () -> {
        node.syncFailed(e);
        throw e;
      };
    } catch (Error e) {
      return () -> {
        throw e;
      };
    }
  }

  private Thread syncThread(Runnable task) {
    Thread t = new Thread(task, "raft-" + channel + "-sync");
    t.setDaemon(true);
    return t;
  }

  private void runRound(List<Runnable> batch, LongFunction<RaftOutput> advance) {
    if (ended) {
      return;
    }
    try {
      // The tick comes first, so that a leader that was frozen steps down before handling tasks.
      node.tick(timers.nowMillis());
      batch.forEach(Runnable::run);
      RaftOutput output = advance.apply(timers.nowMillis());
      status = ReplicaStatus.of(node);
      output
          .messages()
          .forEach(m -> transport.send(channel, m.to(), RaftCodec.encodeMessage(m.message())));
      output.completed().forEach(this::complete);
      output.roleChanges().forEach(listener::roleChanged);
      reads.forEach(Runnable::run);
      reads.clear();
    } catch (RuntimeException | Error e) {
      fail(e);
    }
  }

  private void complete(ProposalResult r) {
    CompletableFuture<ProposalResult> future = proposals.remove(r.proposalId());
    if (future != null) {
      future.complete(r);
    }
  }

  private <T> void finishRead(CompletableFuture<T> future, Supplier<T> reader) {
    if (status().mayLead(timers.nowMillis())) {
      finish(future, reader);
      return;
    }
    String hint = String.valueOf(node.leaderHint());
    future.completeExceptionally(new EbonypondException(ErrorCode.NOT_LEADER, hint));
  }

  /** Completes a read; a failing reader does not stop the replica. */
  private static <T> void finish(CompletableFuture<T> future, Supplier<T> reader) {
    try {
      future.complete(reader.get());
    } catch (RuntimeException e) {
      future.completeExceptionally(e);
    }
  }

  private static void failEnded(CompletableFuture<?> future) {
    future.completeExceptionally(new EbonypondException(ErrorCode.SHUTTING_DOWN));
  }

  private void fail(Throwable cause) {
    end();
    listener.failed(cause);
  }

  private void end() {
    status = status.ended();
    syncs.shutdown();
    // Proposals that reached the replica may still be committed, so their outcome is unknown. They
    // are completed first; the remaining ones certainly were not run.
    proposals.forEach(
        (id, f) -> f.complete(ProposalResult.failed(id, ErrorCode.OUTCOME_UNKNOWN, null)));
    proposals.clear();
    ended = true;
    List.copyOf(pendingFutures.values()).forEach(Runnable::run);
  }
}
