package org.ebonypond.server.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.ledger.LedgerCommand;
import org.ebonypond.ledger.LedgerResult;
import org.ebonypond.ledger.LedgerSharding;
import org.ebonypond.server.control.ProposalClient;
import org.ebonypond.server.control.ReplicaChannels;
import org.ebonypond.server.replica.LedgerLookup;
import org.ebonypond.server.settings.ReplicaAddress;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.Peers;
import org.ebonypond.wire.MessagePackCodec;

/** Sends commands and lookups to the shard of the request ledger that holds a key. */
public final class LedgerClient {
  private static final long LOOKUP_TIMEOUT_MILLIS = 500;

  private final ProposalClient proposals;
  private final Peers network;
  private final List<ReplicaAddress> replicas;
  private final LedgerSharding sharding;
  private final int shards;

  /**
   * Creates a client.
   *
   * @param proposals sends commands to the leaders
   * @param network sends lookups to the replicas
   * @param replicas all control replicas
   * @param shards the number of ledger shards
   */
  public LedgerClient(
      ProposalClient proposals, Peers network, List<ReplicaAddress> replicas, int shards) {
    this.proposals = proposals;
    this.network = network;
    this.replicas = List.copyOf(replicas);
    this.sharding = new LedgerSharding(shards);
    this.shards = shards;
  }

  /**
   * Proposes a command about a key.
   *
   * @param timeoutMillis the time after which the proposal is not repeated, in milliseconds
   */
  public CompletableFuture<LedgerResult> propose(
      String workspace, String key, LedgerCommand command, long timeoutMillis) {
    return proposeTo(sharding.shardOf(workspace, key), command, timeoutMillis);
  }

  /** Proposes a command to every shard and returns one future per shard. */
  public List<CompletableFuture<LedgerResult>> proposeToAll(
      LedgerCommand command, long timeoutMillis) {
    List<CompletableFuture<LedgerResult>> all = new ArrayList<>();
    for (int i = 0; i < shards; i++) {
      all.add(proposeTo(i, command, timeoutMillis));
    }
    return all;
  }

  /** Reads the record of a key; fails if no leader answers in time. */
  public CompletableFuture<LedgerResult> lookup(String workspace, String key) {
    String channel = ReplicaChannels.ledger(sharding.shardOf(workspace, key));
    byte[] payload = MessagePackCodec.encode(new LedgerLookup(workspace, key));
    CompletableFuture<LedgerResult> result = new CompletableFuture<>();
    // Only the leader of the shard answers; the other replicas fail at once.
    CompletableFuture<?>[] asked = new CompletableFuture<?>[replicas.size()];
    for (int i = 0; i < asked.length; i++) {
      asked[i] =
          network
              .ask(
                  replicas.get(i).address(),
                  FrameType.LEDGER_LOOKUP,
                  channel,
                  payload,
                  LOOKUP_TIMEOUT_MILLIS)
              .thenAccept(b -> result.complete(MessagePackCodec.decode(b, LedgerResult.class)))
              .exceptionally(e -> null);
    }
    CompletableFuture.allOf(asked)
        .whenComplete(
            (ok, e) ->
                result.completeExceptionally(
                    new IllegalStateException("no leader of the shard answered")));
    return result;
  }

  private CompletableFuture<LedgerResult> proposeTo(
      int shard, LedgerCommand command, long timeoutMillis) {
    return proposals
        .propose(ReplicaChannels.ledger(shard), MessagePackCodec.encode(command), timeoutMillis)
        .thenApply(r -> MessagePackCodec.decode(r.result(), LedgerResult.class));
  }
}
