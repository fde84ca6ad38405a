package org.ebonypond.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.ebonypond.fleet.RelayAddress;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the entry that relays a connection to an instance which this entry cannot reach. Entries
 * of the same availability zone come first: bytes between zones have a price. Not thread-safe.
 */
public final class RelayChooser {
  /** The age at which the known relays are requested again, in milliseconds. */
  static final long REFRESH_MILLIS = 2_000;

  private static final long FIRST_PAUSE_MILLIS = 500;
  private static final long LONGEST_PAUSE_MILLIS = 4_000;

  /**
   * The number of doubts in a row after which a relay is avoided: it did not reach an instance,
   * which may have crashed, or a relayed request was not answered, which the instance may cause.
   */
  private static final int MAX_DOUBTS = 3;

  private final String zone;
  private final RandomGenerator random;
  private List<RelayAddress> relays = List.of();
  private final Map<Way, State> states = new HashMap<>();
  private long updatedAt = Long.MIN_VALUE;

  /**
   * Creates a chooser that knows no relays.
   *
   * @param zone the availability zone of this entry
   * @param random spreads the connections over the relays
   */
  public RelayChooser(String zone, RandomGenerator random) {
    this.zone = zone;
    this.random = random;
  }

  /** Returns whether the known relays should be requested from a control replica. */
  public boolean wantsUpdate(long now) {
    return updatedAt == Long.MIN_VALUE || now - updatedAt >= REFRESH_MILLIS;
  }

  /**
   * Replaces the known relays. An empty list is ignored: a replica that has just started knows none
   * yet, and an entry that is cut off needs those that it knew before.
   */
  public void update(List<RelayAddress> known, long now) {
    if (!known.isEmpty()) {
      relays = List.copyOf(known);
      updatedAt = now;
      states.keySet().removeIf(w -> relays.stream().noneMatch(r -> r.address().equals(w.relay)));
    }
  }

  /**
   * Returns the address of a relay to the instances of a service, or null if none can be used now.
   * One that is only doubted is better than none.
   */
  public @Nullable String choose(String service, long now) {
    List<RelayAddress> trusted = new ArrayList<>();
    List<RelayAddress> doubted = new ArrayList<>();
    for (RelayAddress r : relays) {
      State s = states.get(new Way(r.address(), service));
      if (s == null || now >= s.pausedUntil) {
        (s == null || s.doubts < MAX_DOUBTS ? trusted : doubted).add(r);
      }
    }
    List<RelayAddress> usable = trusted.isEmpty() ? doubted : trusted;
    List<RelayAddress> near = usable.stream().filter(r -> r.zone().equals(zone)).toList();
    List<RelayAddress> from = near.isEmpty() ? usable : near;
    return from.isEmpty() ? null : from.get(random.nextInt(from.size())).address();
  }

  /** Records that a relay opened a connection, or that bytes of an instance came through it. */
  public void worked(String address, String service) {
    states.remove(new Way(address, service));
  }

  /** Records that a relay did not reach an instance, or that a relayed request is not answered. */
  public void doubted(String address, String service) {
    state(address, service).doubts++;
  }

  /** Records that a relay did not answer, or refused a connection. */
  public void failed(String address, String service, long now) {
    State s = state(address, service);
    s.pauseMillis =
        s.pauseMillis == 0 ? FIRST_PAUSE_MILLIS : Math.min(2 * s.pauseMillis, LONGEST_PAUSE_MILLIS);
    s.pausedUntil = now + s.pauseMillis;
  }

  private State state(String address, String service) {
    return states.computeIfAbsent(new Way(address, service), w -> new State());
  }

  /** An entry may be cut off from the instances of one service and reach those of another. */
  private record Way(String relay, String service) {}

  private static final class State {
    private int doubts;
    private long pauseMillis;
    private long pausedUntil = Long.MIN_VALUE;
  }
}
