package org.ebonypond.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The entries that relay connections of others, as a control replica hears from them in their
 * polls. Not thread-safe.
 */
public final class RelayTable {
  /** Each entry polls each replica about once a second. */
  private static final long EXPIRY_MILLIS = 3_000;

  /**
   * The number of relays in one answer from the zone of the entry that asks, and from other zones;
   * each takes about 25 bytes. Entries that are cut off get different ones, so that all relays
   * share the load.
   */
  private static final int SAMPLE = 4;

  private final Map<String, Reported> relays = new HashMap<>();
  private final Random random;

  /**
   * Creates an empty table.
   *
   * @param random chooses the relays of an answer
   */
  public RelayTable(Random random) {
    this.random = random;
  }

  /**
   * Records what an entry reports in a poll.
   *
   * @param relay where it relays connections; with an empty address if it does not now
   */
  public void report(String entry, RelayAddress relay, long now) {
    if (relay.address().isEmpty()) {
      relays.remove(entry);
    } else {
      relays.put(entry, new Reported(relay, now));
    }
  }

  /** Returns relays for an entry, without itself. */
  public List<RelayAddress> sample(String entry, String zone, long now) {
    relays.values().removeIf(r -> now - r.at > EXPIRY_MILLIS);
    List<RelayAddress> near = new ArrayList<>();
    List<RelayAddress> far = new ArrayList<>();
    relays.forEach(
        (name, r) -> {
          if (!name.equals(entry)) {
            (r.relay.zone().equals(zone) ? near : far).add(r.relay);
          }
        });
    List<RelayAddress> out = new ArrayList<>(shuffled(near));
    out.addAll(shuffled(far));
    return out;
  }

  private List<RelayAddress> shuffled(List<RelayAddress> of) {
    Collections.shuffle(of, random);
    return of.subList(0, Math.min(SAMPLE, of.size()));
  }

  private record Reported(RelayAddress relay, long at) {}
}
