package org.ebonypond.junit;

import java.util.Arrays;
import java.util.function.Consumer;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.ledger.LedgerCommand;
import org.ebonypond.ledger.LedgerResult;
import org.ebonypond.ledger.RequestLedger;
import org.ebonypond.time.TimerService;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;

/**
 * A ledger shard that commits every proposal that arrives. Proposals and replies may be lost,
 * delayed or duplicated; lookups go to a follower with a replication lag. Both replicas apply each
 * command, and their results and snapshots must be equal.
 */
public final class FakeLedgerShard {
  private static final long REPLICATION_LAG_MILLIS = 40;
  private static final int COMMANDS_PER_SNAPSHOT = 50;

  private final TimerService timers;
  private final Faults faults;
  private final RequestLedger leader;
  private final RequestLedger follower;
  private boolean reachable = true;
  private long index;

  /**
   * Creates an empty ledger.
   *
   * @param timers the timers
   * @param faults the faults of proposals, replies and lookups
   * @param maxRecords the capacity, in records
   */
  public FakeLedgerShard(TimerService timers, Faults faults, long maxRecords) {
    this.timers = timers;
    this.faults = faults;
    this.leader = new RequestLedger(maxRecords, Long.MAX_VALUE / 2);
    this.follower = new RequestLedger(maxRecords, Long.MAX_VALUE / 2);
  }

  /** Sets whether proposals and lookups can be sent. */
  public void setReachable(boolean value) {
    reachable = value;
  }

  /**
   * Proposes a command.
   *
   * @return false if the proposal was certainly not sent
   */
  public boolean propose(LedgerCommand command, Consumer<LedgerResult> reply) {
    if (!reachable) {
      return false;
    }
    byte[] encoded = MessagePackCodec.encode(command);
    faults.deliver(
        () -> {
          LedgerResult result = commit(encoded);
          faults.deliver(() -> reply.accept(result));
        });
    return true;
  }

  /** Looks up a key on the follower. */
  public void lookup(String workspace, String key, Consumer<LedgerResult> reply) {
    if (reachable) {
      faults.deliver(
          () -> {
            LedgerResult result = follower.lookup(workspace, key);
            faults.deliver(() -> reply.accept(result));
          });
    }
  }

  /** Returns the state of the leader. */
  public RequestLedger state() {
    return leader;
  }

  private LedgerResult commit(byte[] command) {
    long i = ++index;
    byte[] result = leader.apply(i, command);
    byte[] snapshot = i % COMMANDS_PER_SNAPSHOT == 0 ? leader.snapshot() : null;
    timers.after(REPLICATION_LAG_MILLIS, () -> applyOnFollower(i, command, result, snapshot));
    return MessagePackCodec.decode(result, LedgerResult.class);
  }

  private void applyOnFollower(long i, byte[] command, byte[] result, byte @Nullable [] snapshot) {
    if (!Arrays.equals(result, follower.apply(i, command))) {
      throw violation("result differs at index " + i);
    }
    if (snapshot == null) {
      return;
    }
    if (!Arrays.equals(snapshot, follower.snapshot())) {
      throw violation("snapshot differs at index " + i);
    }
    follower.restore(snapshot);
  }

  private static EbonypondException violation(String text) {
    return new EbonypondException(ErrorCode.INVARIANT_VIOLATED, "ledger replicas: " + text);
  }
}
