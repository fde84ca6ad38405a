package org.ebonypond.ledger;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A command of a request ledger. Each carries the wall-clock time of the entry that proposes it,
 * because replicas must not read their own clocks.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = LedgerCommand.RecordIntent.class, name = "intent"),
  @JsonSubTypes.Type(value = LedgerCommand.RecordOutcome.class, name = "outcome"),
  @JsonSubTypes.Type(value = LedgerCommand.RecordNotRun.class, name = "notRun"),
  @JsonSubTypes.Type(value = LedgerCommand.RecordUnknown.class, name = "unknown"),
  @JsonSubTypes.Type(value = LedgerCommand.EntryRestarted.class, name = "entryRestarted")
})
public sealed interface LedgerCommand {
  /** Returns the wall-clock time of the proposing entry, in milliseconds since 1970. */
  long timeMillis();

  /** Returns the name of the proposing entry. */
  String sender();

  /**
   * Asks for the right to run a call. An intent counts as dispatched once it is committed.
   *
   * @param workspace the caller's workspace
   * @param key the idempotency key
   * @param digest a value of {@link RequestDigest}
   * @param attempt the attempt that would run the call
   * @param timeMillis the entry's wall-clock time
   */
  record RecordIntent(
      String workspace, String key, String digest, AttemptId attempt, long timeMillis)
      implements LedgerCommand {
    @Override
    public String sender() {
      return attempt.entry();
    }
  }

  /**
   * Records the answer of a call.
   *
   * @param workspace the caller's workspace
   * @param key the idempotency key
   * @param attempt the attempt that owns the run
   * @param answer the answer, limited by {@link StoredAnswer#bounded}
   * @param timeMillis the entry's wall-clock time
   */
  record RecordOutcome(
      String workspace, String key, AttemptId attempt, StoredAnswer answer, long timeMillis)
      implements LedgerCommand {
    @Override
    public String sender() {
      return attempt.entry();
    }
  }

  /**
   * Records that an attempt did not and will not run the call. Another attempt may then run it.
   *
   * @param workspace the caller's workspace
   * @param key the idempotency key
   * @param digest a value of {@link RequestDigest}
   * @param attempt the attempt that did not and will not run the call
   * @param timeMillis the entry's wall-clock time
   */
  record RecordNotRun(
      String workspace, String key, String digest, AttemptId attempt, long timeMillis)
      implements LedgerCommand {
    @Override
    public String sender() {
      return attempt.entry();
    }
  }

  /**
   * Records that the owner dispatched the call but did not receive its answer.
   *
   * @param workspace the caller's workspace
   * @param key the idempotency key
   * @param attempt the attempt that owns the run
   * @param timeMillis the entry's wall-clock time
   */
  record RecordUnknown(String workspace, String key, AttemptId attempt, long timeMillis)
      implements LedgerCommand {
    @Override
    public String sender() {
      return attempt.entry();
    }
  }

  /**
   * Records that an entry has restarted. The runs of its older incarnations become unknown, and
   * intents of older incarnations that arrive later are refused. Sent to every shard.
   *
   * @param entry the name of the entry
   * @param incarnation the new incarnation
   * @param timeMillis the entry's wall-clock time
   */
  record EntryRestarted(String entry, long incarnation, long timeMillis) implements LedgerCommand {
    @Override
    public String sender() {
      return entry;
    }
  }
}
