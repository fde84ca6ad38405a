package org.ebonypond.bench.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.ebonypond.consensus.CommittedEntries;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlCommand.InstanceDown;
import org.ebonypond.control.ControlState;
import org.ebonypond.control.InstanceKind;
import org.ebonypond.events.EventSink;
import org.ebonypond.group.EngineStatus;
import org.ebonypond.group.InstanceAnnouncement;
import org.ebonypond.server.control.EntryInfo;
import org.ebonypond.server.control.InstanceReport;
import org.ebonypond.server.control.LeaderDigest;
import org.ebonypond.server.control.ReportedLoad;
import org.ebonypond.server.control.ViewPoll;
import org.ebonypond.server.control.ViewPollResult;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;

/**
 * Measures the encoded sizes of messages and of the control state by number of instances, and the
 * time to apply commands and to create views.
 */
final class SizeRows {
  /** The maximum number of groups of a model whose loads an entry requests. */
  private static final int MAX_LOADS = 64;

  private static final String SOURCE = "SizeRows";
  private static final int REPEATS = 15;

  private final Rows rows;
  private final int[] sizes;

  SizeRows(Rows rows, int[] sizes) {
    this.rows = rows;
    this.sizes = sizes.clone();
  }

  void measure() {
    rows.add("size.poll", encodedBytes(poll(7)), "B", SOURCE);
    rows.add("size.poll." + MAX_LOADS, encodedBytes(pollForLoads(MAX_LOADS)), "B", SOURCE);
    LeaderDigest loadSubset = new LeaderDigest(List.of(), loads(MAX_LOADS));
    rows.add("size.digest." + MAX_LOADS, encodedBytes(result(loadSubset)), "B", SOURCE);
    rows.add("size.poll-result.empty", encodedBytes(result(null)), "B", SOURCE);
    rows.add("size.announcement", IdleAnnouncer.body(1).length(), "B", SOURCE);
    rows.add("size.command.register", encodedBytes(register()), "B", SOURCE);
    rows.add("size.command.document", encodedBytes(document()), "B", SOURCE);
    Map<String, double[]> valuesById = new HashMap<>();
    for (int i = 0; i < sizes.length; i++) {
      measure(sizes[i], i, valuesById);
    }
    double[] x = Arrays.stream(sizes).asDoubleStream().toArray();
    slope("size.digest", "B/instance", x, valuesById);
    slope("size.report", "B/instance", x, valuesById);
    slope("state.snapshot", "B/instance", x, valuesById);
    slope("state.view", "ms/instance", x, valuesById);
    slope("state.restore", "ms/instance", x, valuesById);
    double[] entries = {10, 100, 1_000, 2_000};
    double[] listBytes = new double[entries.length];
    for (int i = 0; i < entries.length; i++) {
      listBytes[i] = encodedBytes(result(new LeaderDigest(entries((int) entries[i]), List.of())));
    }
    rows.add("size.entry-list.2000", listBytes[entries.length - 1], "B", SOURCE);
    rows.add("size.entry-list.slope", Line.fit(entries, listBytes).slope(), "B/entry", SOURCE);
  }

  private void measure(int n, int index, Map<String, double[]> valuesById) {
    LeaderDigest digest = new LeaderDigest(List.of(), loads(n));
    add("size.digest", n, index, encodedBytes(result(digest)), "B", valuesById);
    add("size.report", n, index, encodedBytes(new InstanceReport(items(n))), "B", valuesById);
    ControlStates s = ControlStates.of(n);
    byte[] snapshot = s.state.snapshot();
    add("state.snapshot", n, index, snapshot.length, "B", valuesById);
    double[] view = new double[REPEATS];
    double[] restore = new double[REPEATS];
    double[] apply = new double[REPEATS];
    for (int i = 0; i < REPEATS; i++) {
      final long t0 = System.nanoTime();
      s.apply(new InstanceDown(ControlStates.name(i % n), bootOf(i, n), "bench"));
      final long t1 = System.nanoTime();
      s.state.view();
      final long t2 = System.nanoTime();
      s.apply(ControlStates.register(i % n, "boot-" + (i / n + 2)));
      s.state.view();
      final long t3 = System.nanoTime();
      new ControlState(EventSink.NONE).restore(snapshot);
      restore[i] = (System.nanoTime() - t3) / 1e6;
      view[i] = (t2 - t1) / 1e6;
      apply[i] = (t1 - t0) / 1e3;
    }
    add("state.view", n, index, median(view), "ms", valuesById);
    add("state.restore", n, index, median(restore), "ms", valuesById);
    rows.add("state.apply." + n, median(apply), "us", SOURCE);
  }

  private static String bootOf(int round, int instances) {
    return "boot-" + (round / instances + 1);
  }

  private void add(
      String id, int n, int index, double value, String unit, Map<String, double[]> valuesById) {
    rows.add(id + "." + n, value, unit, SOURCE);
    valuesById.computeIfAbsent(id, k -> new double[sizes.length])[index] = value;
  }

  private void slope(String id, String unit, double[] x, Map<String, double[]> valuesById) {
    rows.add(id + ".slope", Line.fit(x, valuesById.get(id)).slope(), unit, "Line");
  }

  private static double median(double[] values) {
    Arrays.sort(values);
    return values[values.length / 2];
  }

  private static int encodedBytes(Object message) {
    return MessagePackCodec.encode(message).length;
  }

  private static ControlCommand register() {
    return ControlStates.register(1, ControlStates.boot(1));
  }

  private static ControlCommand document() {
    return new ControlCommand.ApplyDocument(2, ControlStates.document(2), "bench-2");
  }

  private static ViewPoll poll(int i) {
    return new ViewPoll(
        "entry-" + i, "zone-1", "10.20.30.40:8080", true, 1, 100_000, false, List.of());
  }

  /** Returns a poll that requests the loads of the given number of instances. */
  private static ViewPoll pollForLoads(int count) {
    List<String> names = IntStream.range(0, count).mapToObj(ControlStates::name).toList();
    return new ViewPoll("entry-1", "zone-1", "10.20.30.40:8080", true, 1, 100_000, false, names);
  }

  private static ViewPollResult result(@Nullable LeaderDigest digest) {
    Map<String, String> members = new HashMap<>();
    for (int i = 1; i <= 3; i++) {
      members.put("entry-" + i, "0123456789abcdef0123456789abcde" + i);
    }
    CommittedEntries none = new CommittedEntries(null, List.of(), 100_000);
    return new ViewPollResult(true, members, 1, 100_000, "entry-1", none, digest);
  }

  private static List<EntryInfo> entries(int n) {
    List<EntryInfo> out = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      out.add(new EntryInfo("entry-" + i, "zone-1", "10.20.30.40:8080", true, 1));
    }
    return out;
  }

  private static List<ReportedLoad> loads(int n) {
    List<ReportedLoad> out = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      out.add(load(i));
    }
    return out;
  }

  private static ReportedLoad load(int i) {
    return new ReportedLoad(
        ControlStates.name(i), ControlStates.boot(i), true, 500 + i % 500, i % 500, 12, 3, 18_000);
  }

  private static List<InstanceReport.Item> items(int n) {
    List<InstanceReport.Item> out = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      var r = ControlStates.register(i, ControlStates.boot(i));
      out.add(
          new InstanceReport.Item(
              new InstanceAnnouncement(
                  r.instance(),
                  r.boot(),
                  r.address(),
                  r.zone(),
                  r.domain(),
                  InstanceKind.ENGINE,
                  r.flavor(),
                  EngineStatus.READY,
                  "drafter-" + i / 8,
                  50_000 + i,
                  12),
              load(i)));
    }
    return out;
  }
}
