package org.ebonypond.ledger;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ebonypond.consensus.StateMachine;
import org.ebonypond.ledger.LedgerRecord.Phase;
import org.ebonypond.ledger.LedgerResult.Kind;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;

/**
 * One shard of the request ledger, driven by a replicated log. Deterministic: the time is taken
 * from the commands. Not thread-safe.
 */
public final class RequestLedger implements StateMachine {
  /** Time for which a key is kept, in milliseconds. */
  public static final long RETENTION_MILLIS = 24 * 3_600_000L;

  /**
   * Maximum lead of the time in a key over the ledger's time. Records are kept this much longer
   * than the retention time, so that a key is refused as expired before its record is removed.
   */
  private static final long KEY_SKEW_MILLIS = 5 * 60_000L;

  private final long maxRecords;
  private final long maxBytes;
  private final LedgerClock clock = new LedgerClock();
  // Ordered by creation time, which is also the order of expiry.
  private final LinkedHashMap<String, LedgerRecord> records = new LinkedHashMap<>();
  private final Map<String, Set<String>> runningByEntry = new TreeMap<>();
  private final TreeMap<String, Long> incarnations = new TreeMap<>();
  private long bytes;

  /**
   * Creates an empty ledger.
   *
   * @param maxRecords the maximum number of kept keys; equal on all replicas
   * @param maxBytes the maximum estimated memory use of the records, in bytes; equal on all
   *     replicas
   */
  public RequestLedger(long maxRecords, long maxBytes) {
    this.maxRecords = maxRecords;
    this.maxBytes = maxBytes;
  }

  /** The encoded state. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private record State(
      LedgerClock.State clock,
      Map<String, Long> incarnations,
      List<String> keys,
      List<LedgerRecord> records) {}

  @Override
  public byte[] apply(long index, byte[] command) {
    return MessagePackCodec.encode(execute(MessagePackCodec.decode(command, LedgerCommand.class)));
  }

  /** Applies one command. */
  public LedgerResult execute(LedgerCommand command) {
    if (clock.observe(command.sender(), command.timeMillis())) {
      // Limits creation times to the corrected time, which preserves the order of expiry.
      records.replaceAll((key, r) -> r.withCreatedAtMost(clock.now()));
    }
    expire();
    if (command instanceof LedgerCommand.RecordIntent c) {
      return recordIntent(c);
    }
    if (command instanceof LedgerCommand.RecordOutcome c) {
      return recordOutcome(c);
    }
    if (command instanceof LedgerCommand.RecordNotRun c) {
      return recordNotRun(c);
    }
    if (command instanceof LedgerCommand.RecordUnknown c) {
      return recordUnknown(c);
    }
    return entryRestarted((LedgerCommand.EntryRestarted) command);
  }

  /**
   * Reads the phase of a key without a log entry. The result may be stale on a replica that lags,
   * but {@code DONE} is final on every replica.
   *
   * @return one of {@code JOIN}, {@code DONE}, {@code UNKNOWN}, {@code RELEASED}, {@code ABSENT}
   */
  public LedgerResult lookup(String workspace, String key) {
    LedgerRecord r = records.get(mapKey(workspace, key));
    return r == null ? LedgerResult.of(Kind.ABSENT) : describe(r);
  }

  /** Returns the number of kept keys. */
  public int size() {
    return records.size();
  }

  /** Returns the estimated memory use of the records, in bytes. */
  public long bytes() {
    return bytes;
  }

  @Override
  public byte[] snapshot() {
    return MessagePackCodec.encode(
        new State(
            clock.state(),
            incarnations,
            new ArrayList<>(records.keySet()),
            new ArrayList<>(records.values())));
  }

  @Override
  public void restore(byte[] snapshot) {
    load(MessagePackCodec.decode(snapshot, State.class));
  }

  private void load(State s) {
    records.clear();
    runningByEntry.clear();
    incarnations.clear();
    bytes = 0;
    clock.restore(s.clock());
    incarnations.putAll(s.incarnations());
    for (int i = 0; i < s.keys().size(); i++) {
      put(s.keys().get(i), s.records().get(i));
    }
  }

  private LedgerResult recordIntent(LedgerCommand.RecordIntent c) {
    String recordKey = mapKey(c.workspace(), c.key());
    LedgerRecord r = records.get(recordKey);
    if (r == null) {
      return firstIntent(recordKey, c);
    }
    if (!r.digest().equals(c.digest())) {
      return LedgerResult.of(Kind.MISMATCH);
    }
    if (r.phase() != Phase.RELEASED) {
      boolean owner = r.phase() == Phase.RUNNING && r.owner().equals(c.attempt());
      return owner ? run(c.attempt()) : describe(r);
    }
    if (r.givenUp().contains(c.attempt()) || isOld(c.attempt())) {
      return fenced(c.attempt());
    }
    put(recordKey, r.runningBy(c.attempt()));
    return run(c.attempt());
  }

  private LedgerResult firstIntent(String recordKey, LedgerCommand.RecordIntent c) {
    long keyTime = KeyTime.of(c.key());
    if (keyTime != KeyTime.NONE && keyTime < clock.now() - RETENTION_MILLIS) {
      return LedgerResult.of(Kind.KEY_EXPIRED);
    }
    if (isOld(c.attempt())) {
      return fenced(c.attempt());
    }
    LedgerRecord r =
        new LedgerRecord(c.digest(), Phase.RUNNING, c.attempt(), clock.now(), null, List.of());
    if (!fits(r)) {
      return LedgerResult.of(Kind.FULL);
    }
    put(recordKey, r);
    return run(c.attempt());
  }

  private LedgerResult recordOutcome(LedgerCommand.RecordOutcome c) {
    String recordKey = mapKey(c.workspace(), c.key());
    LedgerRecord r = records.get(recordKey);
    if (r == null) {
      return LedgerResult.of(Kind.ABSENT);
    }
    if (r.phase() == Phase.RELEASED) {
      return LedgerResult.of(r.givenUp().contains(c.attempt()) ? Kind.CONFLICT : Kind.FENCED);
    }
    if (!r.owner().equals(c.attempt())) {
      return LedgerResult.of(Kind.FENCED);
    }
    if (r.phase() == Phase.DONE) {
      return LedgerResult.of(Kind.RECORDED);
    }
    StoredAnswer a = c.answer().bounded();
    if (bytes + a.size() > maxBytes) {
      a = a.withoutBody();
    }
    put(recordKey, r.done(a));
    return LedgerResult.of(Kind.RECORDED);
  }

  private LedgerResult recordNotRun(LedgerCommand.RecordNotRun c) {
    String recordKey = mapKey(c.workspace(), c.key());
    LedgerRecord r = records.get(recordKey);
    if (r == null) {
      // The attempt's intent may still commit; this record makes the ledger refuse it.
      LedgerRecord fence =
          new LedgerRecord(
              c.digest(), Phase.RELEASED, c.attempt(), clock.now(), null, List.of(c.attempt()));
      if (fits(fence)) {
        put(recordKey, fence);
      }
      return LedgerResult.of(Kind.RECORDED);
    }
    boolean owner = r.owner().equals(c.attempt());
    if (owner && r.phase() == Phase.DONE) {
      return LedgerResult.of(Kind.CONFLICT);
    }
    if (owner && (r.phase() == Phase.RUNNING || r.phase() == Phase.UNKNOWN)) {
      r = r.withPhase(Phase.RELEASED);
    }
    put(recordKey, r.phase() == Phase.DONE ? r : r.giveUp(c.attempt()));
    return LedgerResult.of(Kind.RECORDED);
  }

  private LedgerResult recordUnknown(LedgerCommand.RecordUnknown c) {
    String recordKey = mapKey(c.workspace(), c.key());
    LedgerRecord r = records.get(recordKey);
    if (r == null) {
      return LedgerResult.of(Kind.ABSENT);
    }
    if (r.phase() == Phase.RUNNING && r.owner().equals(c.attempt())) {
      put(recordKey, r.withPhase(Phase.UNKNOWN));
    }
    return LedgerResult.of(Kind.RECORDED);
  }

  /**
   * Returns the known incarnation, so that an entry wrongly considered lost can use a higher one.
   */
  private LedgerResult fenced(AttemptId attempt) {
    long known = incarnations.getOrDefault(attempt.entry(), 0L);
    return new LedgerResult(Kind.FENCED, null, null, known);
  }

  private LedgerResult entryRestarted(LedgerCommand.EntryRestarted c) {
    long known = incarnations.merge(c.entry(), c.incarnation(), Math::max);
    if (known > c.incarnation()) {
      return new LedgerResult(Kind.FENCED, null, null, known);
    }
    for (String recordKey : List.copyOf(runningByEntry.getOrDefault(c.entry(), Set.of()))) {
      LedgerRecord r = records.get(recordKey);
      if (r != null && r.owner().incarnation() < c.incarnation()) {
        put(recordKey, r.withPhase(Phase.UNKNOWN));
      }
    }
    return new LedgerResult(Kind.RECORDED, null, null, known);
  }

  private LedgerResult run(AttemptId attempt) {
    return new LedgerResult(Kind.RUN, attempt, null, 0);
  }

  private LedgerResult describe(LedgerRecord r) {
    return switch (r.phase()) {
      case RUNNING -> new LedgerResult(Kind.JOIN, r.owner(), null, 0);
      case UNKNOWN -> new LedgerResult(Kind.UNKNOWN, r.owner(), null, 0);
      case DONE -> new LedgerResult(Kind.DONE, r.owner(), r.answer(), 0);
      case RELEASED -> LedgerResult.of(Kind.RELEASED);
    };
  }

  private boolean isOld(AttemptId attempt) {
    return attempt.incarnation() < incarnations.getOrDefault(attempt.entry(), Long.MIN_VALUE);
  }

  private boolean fits(LedgerRecord r) {
    return records.size() < maxRecords && bytes + r.bytes() <= maxBytes;
  }

  private void expire() {
    long limit = clock.now() - RETENTION_MILLIS - KEY_SKEW_MILLIS;
    Iterator<Map.Entry<String, LedgerRecord>> it = records.entrySet().iterator();
    while (it.hasNext()) {
      Map.Entry<String, LedgerRecord> e = it.next();
      if (e.getValue().created() >= limit) {
        return;
      }
      it.remove();
      untrack(e.getKey(), e.getValue());
    }
  }

  private void put(String recordKey, LedgerRecord r) {
    untrack(recordKey, records.put(recordKey, r));
    bytes += r.bytes();
    if (r.phase() == Phase.RUNNING) {
      runningByEntry.computeIfAbsent(r.owner().entry(), e -> new LinkedHashSet<>()).add(recordKey);
    }
  }

  private void untrack(String recordKey, @Nullable LedgerRecord r) {
    if (r == null) {
      return;
    }
    bytes -= r.bytes();
    Set<String> running = runningByEntry.get(r.owner().entry());
    if (running != null && running.remove(recordKey) && running.isEmpty()) {
      runningByEntry.remove(r.owner().entry());
    }
  }

  private static String mapKey(String workspace, String key) {
    // The length prefix distinguishes pairs whose concatenations are equal.
    return workspace.length() + ":" + workspace + key;
  }
}
