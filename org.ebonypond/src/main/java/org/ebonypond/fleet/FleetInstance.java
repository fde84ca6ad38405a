package org.ebonypond.fleet;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * What an instance said of itself last.
 *
 * @param id the identifier of the instance
 * @param startMillis the time of its start, in milliseconds since 1970; orders the lives of an identifier
 * @param sequence orders the heartbeats of one life
 * @param service the service that it belongs to
 * @param address IP:PORT for requests and orders
 * @param zone the availability zone
 * @param phase where it is in its life
 * @param slots the requests that it processes at once
 * @param coldMillis how long it stays cold from the time of the heartbeat, in milliseconds
 * @param domain the fabric domain; empty if it has none
 * @param models the names of the models in memory
 * @param staged the names of the models on its host
 * @param group the group that it belongs to, or null
 * @param lastModel the model of its latest group since its start, which it can serve again at once;
 *     empty if it was in none. An instance doesn't say this of itself after it has left a group.
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

  /** Returns this instance after its end; later heartbeats of the same life cannot undo it. */
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

  /** Returns this record with the number of a later heartbeat that says the same. */
  public FleetInstance withSequence(long later) {
    return new FleetInstance(
        id,
        startMillis,
        later,
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

  /** Returns whether the instance can serve a model at once. */
  public boolean hasInMemory(String model) {
    return lastModel.equals(model) || models.contains(model);
  }

  /** Returns whether the instance can serve a model without a load from the weight store. */
  public boolean isWarmFor(String model) {
    return hasInMemory(model) || staged.contains(model);
  }

  /** Returns whether this record is later than another one of the same identifier. */
  public boolean isLaterThan(FleetInstance other) {
    return startMillis != other.startMillis ? startMillis > other.startMillis : sequence > other.sequence;
  }

  /** Returns whether two records differ in more than the number of the heartbeat. */
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

  /** Returns whether this is the head of a group that serves requests. */
  public boolean servesGroup() {
    return phase == InstancePhase.READY
        && group != null
        && group.rank() == 0
        && group.state() == MemberState.OPEN;
  }
}
