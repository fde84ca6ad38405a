package org.ebonypond.server.entry;

import java.util.Random;
import java.util.function.Consumer;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.junit.Faults;
import org.ebonypond.ledger.RequestLedger;
import org.ebonypond.server.control.ProposalReply;
import org.ebonypond.server.replica.LedgerLookup;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.time.TimerService;
import org.ebonypond.wire.MessagePackCodec;

/** A request ledger shared by several entries, whose messages are lost, delayed or duplicated. */
final class FakeLedgerReplica {
  final Faults faults;

  /** The fraction of proposals that are refused as if the replica were not the leader. */
  double notLeaderRate;

  private final RequestLedger ledger = new RequestLedger(1_000_000, Long.MAX_VALUE / 2);
  private long index;

  FakeLedgerReplica(TimerService timers, Random random) {
    this.faults = new Faults(timers, random);
  }

  void ask(FrameType type, byte[] payload, Consumer<byte[]> reply) {
    faults.deliver(
        () -> {
          byte[] answer = type == FrameType.PROPOSE ? propose(payload) : lookup(payload);
          faults.deliver(() -> reply.accept(answer));
        });
  }

  private byte[] propose(byte[] command) {
    if (faults.occurs(notLeaderRate)) {
      return new ProposalReply(0, new byte[0], ErrorCode.NOT_LEADER, null).encode();
    }
    long i = ++index;
    return new ProposalReply(i, ledger.apply(i, command), null, null).encode();
  }

  private byte[] lookup(byte[] payload) {
    LedgerLookup l = MessagePackCodec.decode(payload, LedgerLookup.class);
    return MessagePackCodec.encode(ledger.lookup(l.workspace(), l.key()));
  }
}
