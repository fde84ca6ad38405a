package org.ebonypond.bench;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.ebonypond.lease.HolderId;
import org.ebonypond.lease.ShareGrant;
import org.ebonypond.lease.ShareHolder;
import org.ebonypond.lease.ShareRequest;
import org.ebonypond.lease.ShareTarget;
import org.ebonypond.ledger.AnswerHeader;
import org.ebonypond.ledger.AtMostOnceCall;
import org.ebonypond.ledger.AttemptId;
import org.ebonypond.ledger.CallRequest;
import org.ebonypond.ledger.LedgerCommand;
import org.ebonypond.ledger.LedgerResult;
import org.ebonypond.ledger.RequestDigest;
import org.ebonypond.ledger.RequestLedger;
import org.ebonypond.ledger.StoredAnswer;
import org.ebonypond.wire.MessagePackCodec;

/**
 * Measures the request ledger and the checks that run for every request: applied commands per
 * second, bytes per record on the heap and in a snapshot, and nanoseconds per check.
 *
 * <p>Argument: the number of keys, 200000 if absent.
 */
public final class LedgerBench {
  private static final int DEFAULT_KEYS = 200_000;
  private static final int BODY_BYTES = 200;
  private static final int CHECKS = 2_000_000;
  private static final long WALL_MILLIS = 1_790_000_000_000L;

  /** The number of entries that write records; the clock of the ledger keeps a reading of each. */
  private static final int ENTRIES = 9;

  private final int keys;
  private final PrintStream out;

  private LedgerBench(int keys, PrintStream out) {
    this.keys = keys;
    this.out = out;
  }

  /** Runs the measurement. */
  public static void main(String[] args) {
    int keys = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_KEYS;
    LedgerBench bench = new LedgerBench(keys, System.out);
    // The first round is a warm-up of the JIT compiler.
    bench.measureLedger(false);
    bench.measureLedger(true);
    bench.measureCall(false);
    bench.measureCall(true);
    bench.measureShares(false);
    bench.measureShares(true);
  }

  private void measureLedger(boolean print) {
    RequestLedger ledger = new RequestLedger(Long.MAX_VALUE, Long.MAX_VALUE);
    long heapBefore = usedHeap();
    long applyNanos = 0;
    long index = 0;
    for (int i = 0; i < keys; i++) {
      byte[] intent = MessagePackCodec.encode(intent(i));
      byte[] outcome = MessagePackCodec.encode(outcome(i));
      long start = System.nanoTime();
      ledger.apply(++index, intent);
      ledger.apply(++index, outcome);
      applyNanos += System.nanoTime() - start;
    }
    if (print) {
      print("applies per second, one thread", 2.0 * keys * 1e9 / applyNanos);
      print("heap bytes per record", (double) (usedHeap() - heapBefore) / keys);
      print("estimated bytes per record", (double) ledger.bytes() / keys);
      measureSnapshot(ledger);
    }
  }

  private void measureSnapshot(RequestLedger ledger) {
    long start = System.nanoTime();
    final byte[] snapshot = ledger.snapshot();
    print("snapshot, ns per record", (double) (System.nanoTime() - start) / keys);
    print("snapshot bytes per record", (double) snapshot.length / keys);
    start = System.nanoTime();
    new RequestLedger(Long.MAX_VALUE, Long.MAX_VALUE).restore(snapshot);
    print("restore, ns per record", (double) (System.nanoTime() - start) / keys);
  }

  private void measureCall(boolean print) {
    AttemptId attempt = new AttemptId("entry-1", 1, 1);
    LedgerResult run = new LedgerResult(LedgerResult.Kind.RUN, attempt, null, 0);
    LedgerResult recorded = LedgerResult.of(LedgerResult.Kind.RECORDED);
    StoredAnswer answer = answer();
    long actions = 0;
    final long start = System.nanoTime();
    for (int i = 0; i < CHECKS; i++) {
      AtMostOnceCall call =
          new AtMostOnceCall(
              new CallRequest("surabaya", "key", "digest", attempt, i, i + 30_000, WALL_MILLIS));
      actions += call.start(i).size();
      actions += call.onIntentResult(run, i).size();
      actions += call.onAnswer(answer, i).size();
      actions += call.onRecordResult(recorded, i).size();
    }
    report(print, "AtMostOnceCall, ns per call", start, actions == 4L * CHECKS);
    byte[] body = new byte[BODY_BYTES];
    long length = 0;
    final long digestStart = System.nanoTime();
    for (int i = 0; i < CHECKS; i++) {
      body[0] = (byte) i;
      length += RequestDigest.of("POST", "/orders", body).length();
    }
    report(print, "RequestDigest, ns per call", digestStart, length == 22L * CHECKS);
  }

  private void measureShares(boolean print) {
    ShareTarget target = new ShareTarget("server-1", "boot-1");
    ShareHolder holder = new ShareHolder(new HolderId("entry-1", 1));
    holder.onBoot(target);
    ShareRequest request = holder.request(0);
    holder.onGrant(
        new ShareGrant(
            new HolderId("entry-1", 1),
            1,
            request.sequence(),
            List.of(new ShareGrant.Item(target, 4, false))));
    long started = 0;
    final long start = System.nanoTime();
    for (int i = 0; i < CHECKS; i++) {
      if (holder.tryStart(target, i & 1_023)) {
        started++;
        holder.finished(target);
      }
    }
    report(print, "ShareHolder start and end, ns per request", start, started == CHECKS);
  }

  private void report(boolean print, String name, long start, boolean complete) {
    double nanos = (double) (System.nanoTime() - start) / CHECKS;
    if (!complete) {
      throw new IllegalStateException("incomplete measurement: " + name);
    }
    if (print) {
      print(name, nanos);
    }
  }

  private void print(String name, double value) {
    out.printf(Locale.ROOT, "%-50s %,14.1f%n", name, value);
  }

  private static AttemptId attempt(int i) {
    return new AttemptId("entry-" + i % ENTRIES, 1, i);
  }

  private static String key(int i) {
    return String.format(Locale.ROOT, "01931e5c-1234-4abc-8def-%012d", i);
  }

  private static LedgerCommand intent(int i) {
    String digest = RequestDigest.of("POST", "/orders", key(i).getBytes(StandardCharsets.UTF_8));
    return new LedgerCommand.RecordIntent("surabaya", key(i), digest, attempt(i), WALL_MILLIS + i);
  }

  private static LedgerCommand outcome(int i) {
    return new LedgerCommand.RecordOutcome(
        "surabaya", key(i), attempt(i), answer(), WALL_MILLIS + i);
  }

  private static StoredAnswer answer() {
    return new StoredAnswer(
        201,
        List.of(new AnswerHeader("Content-Type", "application/json")),
        new byte[BODY_BYTES],
        true);
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
