package org.ebonypond.server.control;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.ebonypond.server.settings.ReplicaAddress;
import org.ebonypond.server.transport.FrameType;
import org.ebonypond.server.transport.Peers;
import org.ebonypond.time.SuspensionDetector;
import org.ebonypond.time.TimerService;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;

/**
 * Forwards announcements to the control leader in batches. While the leader is unknown, they are
 * sent to every replica, because any of them may already be the leader. Announcements from before a
 * suspension of this process are dropped, because their ages are not known. Thread-safe.
 */
public final class AnnouncementRelay {
  private static final long FLUSH_MILLIS = 200;

  private final Peers network;
  private final TimerService timers;
  private final SuspensionDetector suspensions;
  private final List<ReplicaAddress> replicas;
  private final Supplier<@Nullable String> leader;
  private final Map<String, Waiting> waiting = new LinkedHashMap<>();

  /**
   * Creates a relay.
   *
   * @param network sends the reports
   * @param timers schedules the flushes
   * @param suspensions detects the suspensions of this process
   * @param replicas every control replica
   * @param leader returns the name of the presumed leader, or null
   */
  public AnnouncementRelay(
      Peers network,
      TimerService timers,
      SuspensionDetector suspensions,
      List<ReplicaAddress> replicas,
      Supplier<@Nullable String> leader) {
    this.network = network;
    this.timers = timers;
    this.suspensions = suspensions;
    this.replicas = List.copyOf(replicas);
    this.leader = leader;
  }

  /** Starts the periodic flush. */
  public void start() {
    timers.every(FLUSH_MILLIS, this::flush);
  }

  /** Adds an announcement, which replaces an earlier one of the same instance. */
  public synchronized void add(InstanceReport.Item item) {
    waiting.put(item.announcement().instance(), new Waiting(item, timers.nowMillis()));
  }

  private void flush() {
    List<InstanceReport.Item> items = new ArrayList<>();
    long now = timers.nowMillis();
    synchronized (this) {
      long resumedAt = suspensions.resumedAt();
      waiting.values().removeIf(w -> w.since <= resumedAt);
      for (Waiting w : waiting.values()) {
        ReportedLoad load = w.item.load().olderBy(now - w.since);
        items.add(new InstanceReport.Item(w.item.announcement(), load));
      }
      waiting.clear();
    }
    if (items.isEmpty()) {
      return;
    }
    byte[] payload = MessagePackCodec.encode(new InstanceReport(items));
    for (InetSocketAddress to : targets()) {
      network.send(to, FrameType.INSTANCE_REPORT, ReplicaChannels.CONTROL, payload);
    }
  }

  private List<InetSocketAddress> targets() {
    String name = leader.get();
    List<InetSocketAddress> all = new ArrayList<>();
    for (ReplicaAddress r : replicas) {
      if (r.name().equals(name)) {
        return List.of(r.address());
      }
      all.add(r.address());
    }
    return all;
  }

  private record Waiting(InstanceReport.Item item, long since) {}
}
