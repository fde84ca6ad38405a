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
 * A ledger shard that commits what reaches it. Proposals and replies may be lost, delayed or
 * doubled; lookups go to a replica that lags. Each command is applied on two replicas, whose
 * results and snapshots must be equal.
 */
public final class FakeMajorityLedger {
  private static final long LAG_MILLIS = 40;
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
   * @param maxRecords the size bound, in records
   */
  public FakeMajorityLedger(TimerService timers, Faults faults, long maxRecords) {
    this.timers = timers;
    this.faults = faults;
    this.leader = new RequestLedger(maxRecords, Long.MAX_VALUE / 2);
    this.follower = new RequestLedger(maxRecords, Long.MAX_VALUE / 2);
  }

  /** Sets whether proposals can be sent at all. */
  public void setReachable(boolean value) {
    reachable = value;
  }

  /**
   * Proposes a command.
   *
   * @return false if the proposal was surely not sent
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

  /** Looks a key up on the replica that lags. */
  public void lookup(String workspace, String key, Consumer<LedgerResult> reply) {
    if (reachable) {
      faults.deliver(
          () -> {
            LedgerResult result = follower.lookup(workspace, key);
            faults.deliver(() -> reply.accept(result));
          });
    }
  }

  /** Returns the state of the leader's replica. */
  public RequestLedger state() {
    return leader;
  }

  private LedgerResult commit(byte[] command) {
    long i = ++index;
    byte[] result = leader.apply(i, command);
    byte[] snapshot = i % COMMANDS_PER_SNAPSHOT == 0 ? leader.snapshot() : null;
    timers.after(LAG_MILLIS, () -> follow(i, command, result, snapshot));
    return MessagePackCodec.decode(result, LedgerResult.class);
  }

  private void follow(long i, byte[] command, byte[] result, byte @Nullable [] snapshot) {
    if (!Arrays.equals(result, follower.apply(i, command))) {
      throw violated("result differs at index " + i);
    }
    if (snapshot == null) {
      return;
    }
    if (!Arrays.equals(snapshot, follower.snapshot())) {
      throw violated("snapshot differs at index " + i);
    }
    follower.restore(snapshot);
  }

  private static EbonypondException violated(String text) {
    return new EbonypondException(ErrorCode.INVARIANT_VIOLATED, "ledger replicas: " + text);
  }
}
