package org.ebonypond.serving;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.ebonypond.consensus.StateMachine;
import org.ebonypond.wire.MessagePackCodec;

/**
 * The replicated configuration and the zones out of service. The highest version of a configuration
 * wins; an equal or lower one changes nothing, so that resent and overtaken changes are harmless.
 * Written on the thread of the log; {@link #current()} may be read on any thread.
 */
public final class ServingState implements StateMachine {
  private static final byte[] NOTHING = {};

  private volatile Committed committed = new Committed(0, NOTHING, 0, List.of());

  /** Returns the state after the last applied command. */
  public Committed current() {
    return committed;
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    ServingCommand c = MessagePackCodec.decode(command, ServingCommand.class);
    Committed old = committed;
    if (c instanceof ServingCommand.Install i && i.version() > old.version()) {
      committed = new Committed(i.version(), i.content(), old.zonesIndex(), old.zonesOut());
    } else if (c instanceof ServingCommand.SetZone z) {
      Set<String> out = new TreeSet<>(old.zonesOut());
      boolean changed = z.out() ? out.add(z.zone()) : out.remove(z.zone());
      if (changed) {
        committed = new Committed(old.version(), old.content(), index, List.copyOf(out));
      }
    }
    return NOTHING;
  }

  @Override
  public byte[] snapshot() {
    return MessagePackCodec.encode(committed);
  }

  @Override
  public void restore(byte[] snapshot) {
    committed = MessagePackCodec.decode(snapshot, Committed.class);
  }

  /**
   * The committed state.
   *
   * @param version the version of the configuration; 0 if there is none
   * @param content the configuration as the operator sent it; empty if there is none
   * @param zonesIndex the log index of the last change of the zones; 0 if there is none
   * @param zonesOut the zones out of service, sorted
   */
  public record Committed(long version, byte[] content, long zonesIndex, List<String> zonesOut) {}
}
