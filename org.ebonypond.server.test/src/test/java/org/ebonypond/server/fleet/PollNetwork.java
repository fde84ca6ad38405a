package org.ebonypond.server.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.fleet.EntryLoads;
import org.ebonypond.fleet.EntryPollPlan;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.FleetPoll;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.fleet.InstanceTable;
import org.ebonypond.fleet.InstanceUpdate;
import org.ebonypond.fleet.NamedLimits;
import org.ebonypond.fleet.PollCodec;
import org.ebonypond.fleet.RelayAddress;
import org.ebonypond.fleet.RelayReport;
import org.ebonypond.fleet.ReplicaPollPlan;
import org.ebonypond.forward.RelayChooser;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.quarantine.PartQuarantine;
import org.ebonypond.server.forward.QuarantineLog;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.Peers;
import org.ebonypond.serving.ServingCodec;
import org.ebonypond.serving.ServingCommand;
import org.ebonypond.serving.ServingState;

/** Entries and control replicas that poll over a simulated network, on a manual clock. */
final class PollNetwork {
  private static final long ENTRY_POLL_MILLIS = 100;
  private static final RelayAddress RELAY = new RelayAddress("10.128.100.100:7340", "zone-a");
  private static final long LATENCY_MILLIS = 1;

  /** The time for an answer on a fifth of a CPU, without its records and loads. */
  private static final double ANSWER_MILLIS = 0.5;

  /** The additional time for each record of an instance. */
  private static final double RECORD_MILLIS = 0.07;

  /** The slowdown of a process that has just started and runs code that is not compiled yet. */
  private static final double COLD_FACTOR = 4;

  private static final long COLD_MILLIS = 3_000;

  /** The additional time for each load of an entry at an instance. */
  private static final double LOAD_MILLIS = 0.03;

  final ManualTimerService timers = new ManualTimerService();
  final Map<String, Replica> replicas = new TreeMap<>();
  final List<Entry> entries = new ArrayList<>();
  private final Set<Set<String>> disconnected = new HashSet<>();
  private boolean corrupted;

  /**
   * Starts the processes with the first three replicas as seeds.
   *
   * @param heads the number of instances at which each entry has requests in flight
   */
  PollNetwork(int replicaCount, int entryCount, int heads) {
    List<String> names = new ArrayList<>();
    for (int i = 1; i <= replicaCount; i++) {
      names.add("10.0.0." + i + ":7000");
    }
    List<String> seeds = names.subList(0, Math.min(3, replicaCount));
    names.forEach(n -> replicas.put(n, new Replica(n, seeds)));
    for (int i = 0; i < entryCount; i++) {
      entries.add(new Entry("entry-" + i, seeds, heads));
    }
    replicas.values().forEach(r -> r.poller.start());
    entries.forEach(e -> e.poller.start());
  }

  /** Disconnects two processes from each other. */
  void disconnect(String a, String b) {
    disconnected.add(Set.of(a, b));
  }

  /** Sets whether answers are corrupted from now on. */
  void corruptAnswers(boolean enabled) {
    corrupted = enabled;
  }

  /** Stops a replica: no process can reach it. */
  void stop(String replica) {
    replicas.keySet().forEach(r -> disconnectIfOther(replica, r));
    entries.forEach(e -> disconnect(replica, e.name));
  }

  private void disconnectIfOther(String a, String b) {
    if (!a.equals(b)) {
      disconnect(a, b);
    }
  }

  private static FleetPollResult decode(byte[] result) {
    return PollCodec.decodeResult(result);
  }

  /** Restarts a replica, which loses its table of instances and its loads. */
  void restart(String replica) {
    replicas.get(replica).restart();
  }

  /** Installs a configuration at all replicas. */
  void commit(long version, byte[] content) {
    replicas.values().forEach(r -> r.commit(version, content));
  }

  static FleetInstance instance(String id, long sequence) {
    return new FleetInstance(
        id,
        1,
        sequence,
        "s",
        "10.1.0.1:" + (1_000 + Math.abs(id.hashCode() % 50_000)),
        "z",
        InstancePhase.READY,
        18,
        0,
        "d",
        List.of(),
        List.of("m"),
        null,
        "");
  }

  /** One process's connection to the network; counts the bytes that it sends and receives. */
  private final class Link implements Peers {
    private final String name;
    private long bytes;
    private long receivedDocuments;
    private boolean stopped;

    Link(String name) {
      this.name = name;
    }

    @Override
    public void send(InetSocketAddress to, FrameType type, String channel, byte[] payload) {
      throw new UnsupportedOperationException("polls expect answers");
    }

    @Override
    public CompletableFuture<byte[]> ask(
        InetSocketAddress to, FrameType type, String channel, byte[] payload, long timeoutMillis) {
      final String peer = to.getAddress().getHostAddress() + ":" + to.getPort();
      CompletableFuture<byte[]> answer = new CompletableFuture<>();
      if (stopped) {
        return answer;
      }
      bytes += payload.length;
      timers.after(
          timeoutMillis,
          () -> answer.completeExceptionally(new EbonypondException(ErrorCode.NO_QUORUM)));
      if (!disconnected.contains(Set.of(name, peer))) {
        timers.after(LATENCY_MILLIS, () -> deliver(peer, payload, answer));
      }
      return answer;
    }

    private void deliver(String peer, byte[] payload, CompletableFuture<byte[]> answer) {
      Replica r = replicas.get(peer);
      byte[] result = r.answer(payload);
      timers.after(
          LATENCY_MILLIS + r.workMillis(result),
          () -> {
            bytes += result.length;
            ServingState.Committed s = decode(result).state();
            receivedDocuments += s != null && s.content().length > 0 ? 1 : 0;
            answer.complete(corrupted ? new byte[] {1} : result);
          });
    }
  }

  /** A control replica without its log. */
  final class Replica {
    final String name;
    InstanceTable table;
    EntryLoads loads;
    private final List<String> seeds;
    private Link link;
    private PollHandler handler;
    private FleetPoller poller;
    private final ServingState state = new ServingState();
    private long index;
    private long boot;
    private long startedAt;
    private double busyUntil;
    private double busyMillis;

    Replica(String name, List<String> seeds) {
      this.name = name;
      this.seeds = seeds;
      create();
    }

    private void create() {
      boot++;
      startedAt = timers.nowMillis();
      link = new Link(name);
      table = new InstanceTable(service -> true);
      loads = new EntryLoads();
      busyUntil = 0;
      ReplicaDirectory directory = new ReplicaDirectory(seeds);
      handler =
          new PollHandler(
              name, boot, directory, table, loads, this::confirmed, () -> null, timers.nowMillis());
      poller =
          new FleetPoller(
              name,
              name,
              link,
              timers,
              directory,
              new ReplicaPollPlan(name),
              Runnable::run,
              FleetReplica.POLL_MILLIS,
              () -> state.current().version(),
              () -> state.current().zonesIndex(),
              () -> 0,
              () -> loads.own(timers.nowMillis()),
              () -> handler.ownSuspicions(timers.nowMillis()),
              () -> handler.ownLimits(timers.nowMillis()),
              () -> RelayReport.NONE,
              this::merge);
    }

    private void restart() {
      link.stopped = true;
      create();
      poller.start();
    }

    /** Returns the time until an answer is ready; answers are computed one after the other. */
    private long workMillis(byte[] answer) {
      FleetPollResult r = decode(answer);
      int loadCount = r.loads() == null ? 0 : r.loads().size();
      double cost =
          ANSWER_MILLIS
              + RECORD_MILLIS * (r.instances().size() + r.unchanged().size())
              + LOAD_MILLIS * loadCount;
      boolean cold = boot > 1 && timers.nowMillis() - startedAt < COLD_MILLIS;
      cost *= cold ? COLD_FACTOR : 1;
      busyMillis += cost;
      busyUntil = Math.max(busyUntil, timers.nowMillis()) + cost;
      return (long) Math.ceil(busyUntil - timers.nowMillis());
    }

    /** Returns the time spent on answers so far, in milliseconds. */
    double busyMillis() {
      return busyMillis;
    }

    private ConfirmedState confirmed() {
      return new ConfirmedState(state.current(), timers.nowMillis());
    }

    private void merge(String replica, FleetPollResult r, long sentAt) {
      for (InstanceUpdate u : r.instances()) {
        table.merge(u.instance(), u.ageMillis(), timers.nowMillis());
      }
      r.unchanged().forEach(i -> table.confirm(i, timers.nowMillis()));
    }

    void heartbeat(FleetInstance i) {
      table.merge(i, 0, timers.nowMillis());
    }

    void commit(long version, byte[] content) {
      index++;
      state.apply(index, ServingCodec.encodeCommand(ServingCommand.Install.of(version, content)));
    }

    private byte[] answer(byte[] payload) {
      FleetPoll p = PollCodec.decodePoll(payload);
      return PollCodec.encodeResult(handler.answer(p, timers.nowMillis()));
    }
  }

  /** An entry without callers. */
  final class Entry {
    final String name;
    final Map<String, FleetInstance> instances = new HashMap<>();
    Map<String, InstanceLoad> loadsOfOthers = Map.of();
    byte[] content = {};
    private final Link link;
    private final FleetPoller poller;
    private List<InstanceLoad> loads = new ArrayList<>();
    NamedLimits limits = new NamedLimits();
    PartQuarantine quarantine = new PartQuarantine(new QuarantineLog());
    private final RelayChooser relays = new RelayChooser("zone-a", new Random(1));
    private long version;

    Entry(String name, List<String> seeds, int heads) {
      this.name = name;
      this.link = new Link(name);
      for (int i = 0; i < heads; i++) {
        loads.add(new InstanceLoad("i-" + Integer.toHexString(0x10000000 + i), 12, 2, 700, 20, 0));
      }
      poller =
          new FleetPoller(
              name,
              "",
              link,
              timers,
              new ReplicaDirectory(seeds),
              new EntryPollPlan(name),
              Runnable::run,
              ENTRY_POLL_MILLIS,
              () -> version,
              () -> 0,
              () -> 1,
              () -> loads,
              () -> quarantine.report(timers.nowMillis()),
              () -> limits.own(timers.nowMillis()),
              () -> new RelayReport(RELAY, relays.wantsUpdate(timers.nowMillis())),
              this::accept);
    }

    private void accept(String replica, FleetPollResult r, long sentAt) {
      relays.update(r.relays(), timers.nowMillis());
      quarantine.merge(r.suspicions(), timers.nowMillis());
      limits.merge(r.limits(), false, timers.nowMillis());
      ServingState.Committed s = r.state();
      if (s != null && s.version() > version) {
        version = s.version();
        content = s.document();
      }
      r.instances().forEach(u -> instances.put(u.instance().id(), u.instance()));
      if (r.loads() != null) {
        Map<String, InstanceLoad> sum = new HashMap<>();
        r.loads().forEach(l -> sum.put(l.instance(), l));
        loadsOfOthers = sum;
      }
    }

    /** Restarts the entry, which forgets what it has observed. */
    void restart() {
      quarantine = new PartQuarantine(new QuarantineLog());
      limits = new NamedLimits();
    }

    void loads(List<InstanceLoad> next) {
      loads = next;
    }

    long version() {
      return version;
    }

    /** Returns the size of the polls and their answers so far, in bytes. */
    long bytes() {
      return link.bytes;
    }

    /** Returns how many times a configuration has been received so far. */
    long receivedDocuments() {
      return link.receivedDocuments;
    }
  }
}
