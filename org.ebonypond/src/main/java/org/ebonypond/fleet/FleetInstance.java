package org.ebonypond.fleet;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The latest state that an instance reported about itself.
 *
 * @param id the identifier of the instance
 * @param startMillis the time of its start, in milliseconds since 1970; orders the incarnations of
 *     an identifier
 * @param sequence orders the heartbeats of one incarnation
 * @param service the service that it belongs to
 * @param address IP:PORT that receives requests and orders
 * @param zone the availability zone
 * @param phase the phase of its life cycle
 * @param slots the number of requests that it processes concurrently
 * @param coldMillis the remaining time until it is warm, as of the heartbeat, in milliseconds
 * @param domain the fabric domain; empty if it has none
 * @param models the names of the models loaded in memory
 * @param staged the names of the models whose weights are staged on its host
 * @param group the group that it belongs to, or null
 * @param lastModel the model of its latest group since its start, which it can serve again without
 *     a load; empty if it was in no group. Heartbeats no longer carry this once the instance has
 *     left the group.
 */
public record FleetInstance(
    String id,
    long startMillis,
    long sequence,
    String service,
    String address,
    String zone,
    InstancePhase phase,
    int slots,
    long coldMillis,
    String domain,
    List<String> models,
    List<String> staged,
    @Nullable GroupMembership group,
    String lastModel) {
  /** Copies the lists. */
  public FleetInstance {
    models = List.copyOf(models);
    staged = List.copyOf(staged);
  }

  /**
   * Returns the record of this instance as ended; later heartbeats of the same incarnation cannot
   * replace it.
   */
  public FleetInstance gone() {
    return new FleetInstance(
        id,
        startMillis,
        Long.MAX_VALUE,
        service,
        address,
        zone,
        InstancePhase.GONE,
        slots,
        0,
        domain,
        List.of(),
        List.of(),
        null,
        "");
  }

  /** Returns the record of this instance as draining since a heartbeat. */
  public FleetInstance draining(long newSequence) {
    return new FleetInstance(
        id,
        startMillis,
        newSequence,
        service,
        address,
        zone,
        InstancePhase.DRAINING,
        slots,
        coldMillis,
        domain,
        models,
        staged,
        group,
        lastModel);
  }

  /** Returns this record with the sequence number of a later, otherwise equal heartbeat. */
  public FleetInstance withSequence(long newSequence) {
    return new FleetInstance(
        id,
        startMillis,
        newSequence,
        service,
        address,
        zone,
        phase,
        slots,
        coldMillis,
        domain,
        models,
        staged,
        group,
        lastModel);
  }

  /** Returns this record with the model of the instance's latest group. */
  public FleetInstance withLastModel(String model) {
    return new FleetInstance(
        id,
        startMillis,
        sequence,
        service,
        address,
        zone,
        phase,
        slots,
        coldMillis,
        domain,
        models,
        staged,
        group,
        model);
  }

  /** Returns whether the instance can serve a model without any load. */
  public boolean hasInMemory(String model) {
    return lastModel.equals(model) || models.contains(model);
  }

  /** Returns whether the instance can serve a model without loading it from the weight store. */
  public boolean isWarmFor(String model) {
    return hasInMemory(model) || staged.contains(model);
  }

  /** Returns whether this record is newer than another one of the same identifier. */
  public boolean isLaterThan(FleetInstance other) {
    return startMillis != other.startMillis
        ? startMillis > other.startMillis
        : sequence > other.sequence;
  }

  /** Returns whether two records differ in more than the heartbeat's sequence number. */
  public boolean differsFrom(FleetInstance o) {
    return startMillis != o.startMillis
        || phase != o.phase
        || !address.equals(o.address)
        || !service.equals(o.service)
        || slots != o.slots
        || (coldMillis > 0) != (o.coldMillis > 0)
        || !domain.equals(o.domain)
        || !models.equals(o.models)
        || !staged.equals(o.staged)
        || !Objects.equals(group, o.group);
  }

  /** Returns whether this instance is the head of a group that serves requests. */
  public boolean servesGroup() {
    return phase == InstancePhase.READY
        && group != null
        && group.rank() == 0
        && group.state() == MemberState.OPEN;
  }
}
