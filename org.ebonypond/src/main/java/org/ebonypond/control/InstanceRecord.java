package org.ebonypond.control;

import java.util.ArrayList;
import java.util.List;

/**
 * A registered backend server instance.
 *
 * @param instance the instance's name, unique
 * @param boot the boot identity, which changes with each restart
 * @param address host and port of its HTTP interface
 * @param zone the availability zone
 * @param domain the fabric domain
 * @param kind whether it runs an engine or a plain service
 * @param flavor the engine kind or the service name that the instance announces
 * @param status the registry status
 * @param registeredIndex the log index of the registration of this boot
 * @param releasedIndex the log index at which it last left a group, or 0; a lower bound of the
 *     fencing number of an unload order
 * @param previousBoots the most recent replaced boot identities, oldest first; late announcements
 *     of them are ignored
 */
public record InstanceRecord(
    String instance,
    String boot,
    String address,
    String zone,
    String domain,
    InstanceKind kind,
    String flavor,
    InstanceStatus status,
    long registeredIndex,
    long releasedIndex,
    List<String> previousBoots) {
  private static final int MAX_PREVIOUS_BOOTS = 4;

  /** Copies the list. */
  public InstanceRecord {
    previousBoots = List.copyOf(previousBoots);
  }

  /** Creates an instance that has never left a group. */
  public InstanceRecord(
      String instance,
      String boot,
      String address,
      String zone,
      String domain,
      InstanceKind kind,
      String flavor,
      InstanceStatus status,
      long registeredIndex) {
    this(
        instance, boot, address, zone, domain, kind, flavor, status, registeredIndex, 0, List.of());
  }

  /** Returns a copy with another status. */
  public InstanceRecord withStatus(InstanceStatus s) {
    return new InstanceRecord(
        instance,
        boot,
        address,
        zone,
        domain,
        kind,
        flavor,
        s,
        registeredIndex,
        releasedIndex,
        previousBoots);
  }

  /** Returns a copy that left a group at a log index. */
  public InstanceRecord withReleased(long index) {
    return new InstanceRecord(
        instance,
        boot,
        address,
        zone,
        domain,
        kind,
        flavor,
        status,
        registeredIndex,
        index,
        previousBoots);
  }

  /** Returns the previous boot identities to store with the next boot, oldest first. */
  List<String> bootsReplacedBy(String next) {
    if (boot.equals(next)) {
      return previousBoots;
    }
    List<String> out = new ArrayList<>(previousBoots);
    out.add(boot);
    return out.subList(Math.max(0, out.size() - MAX_PREVIOUS_BOOTS), out.size());
  }
}
