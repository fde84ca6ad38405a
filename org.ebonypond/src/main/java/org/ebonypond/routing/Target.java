package org.ebonypond.routing;

import java.util.List;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.InstanceKind;

/**
 * A group or a plain service instance that may take requests.
 *
 * @param key {@code group/} and the group's name, or {@code instance/} and the instance's name
 * @param kind engine for a group, service for a plain service instance
 * @param pool the model or the service
 * @param zone the availability zone
 * @param address host and port that take the requests; of rank 0 for a group
 * @param members the instances by rank, with the boot identities under which they serve
 * @param epoch the epoch of the group, or the registration index of the instance
 * @param maxConcurrency the most requests that it runs at once
 */
public record Target(
    String key,
    InstanceKind kind,
    String pool,
    String zone,
    String address,
    List<GroupMember> members,
    long epoch,
    int maxConcurrency) {
  /** Copies the member list. */
  public Target {
    members = List.copyOf(members);
  }

  /** Returns the instance that takes the requests. */
  public String instance() {
    return members.get(0).instance();
  }

  /** Returns the boot identity that a dispatch must name. */
  public String boot() {
    return members.get(0).boot();
  }

  /** Returns the group's or the instance's name. */
  public String name() {
    return key.substring(key.indexOf('/') + 1);
  }

  /** Returns a name for the model or the service that is unique over both kinds. */
  public String poolKey() {
    return poolKey(kind, pool);
  }

  /** Returns a name for a model or a service that is unique over both kinds. */
  public static String poolKey(InstanceKind kind, String pool) {
    return (kind == InstanceKind.ENGINE ? "model/" : "service/") + pool;
  }
}
