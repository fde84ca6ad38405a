package org.ebonypond.junit.consensus;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.ebonypond.consensus.StateMachine;

/**
 * A state machine whose results depend on all earlier commands. The state is the index and text of
 * the last command, the number of commands, and a hash over all of them.
 */
public final class HashingStateMachine implements StateMachine {
  private final SafetyChecker checker;
  private long lastIndex;
  private long count;
  private long hash;
  private byte[] last = {};
  private int padding;

  /** Creates an empty machine that reports to a checker. */
  public HashingStateMachine(SafetyChecker checker) {
    this.checker = checker;
  }

  /** Pads each snapshot with a number of bytes. */
  public void padSnapshots(int bytes) {
    padding = bytes;
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    lastIndex = index;
    count++;
    hash = hash * 1_000_003 + index * 31 + Arrays.hashCode(command);
    last = command;
    checker.onApplied(index, command, hash);
    return ByteBuffer.allocate(8).putLong(hash).array();
  }

  @Override
  public byte[] snapshot() {
    return ByteBuffer.allocate(28 + last.length + padding)
        .putLong(lastIndex)
        .putLong(count)
        .putLong(hash)
        .putInt(last.length)
        .put(last)
        .array();
  }

  @Override
  public void restore(byte[] snapshot) {
    ByteBuffer b = ByteBuffer.wrap(snapshot);
    lastIndex = b.getLong();
    count = b.getLong();
    hash = b.getLong();
    last = new byte[b.getInt()];
    b.get(last);
    checker.onRestored(lastIndex, hash);
  }

  /** Returns the number of applied commands. */
  public long count() {
    return count;
  }

  /** Returns the hash over all applied commands. */
  public long hash() {
    return hash;
  }

  /** Returns the text of the last command. */
  public String last() {
    return new String(last, StandardCharsets.UTF_8);
  }
}
