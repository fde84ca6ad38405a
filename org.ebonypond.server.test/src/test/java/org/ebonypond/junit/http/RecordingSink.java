package org.ebonypond.junit.http;

import java.util.ArrayList;
import java.util.List;

/** A sink that records the answer. */
final class RecordingSink implements TokenSink {
  final List<Integer> offsets = new ArrayList<>();
  final StringBuilder text = new StringBuilder();
  boolean ended;
  boolean dropped;

  @Override
  public void token(int index, String t, boolean last) {
    offsets.add(index);
    text.append(t);
  }

  @Override
  public void end() {
    ended = true;
  }

  @Override
  public void drop() {
    dropped = true;
  }
}
