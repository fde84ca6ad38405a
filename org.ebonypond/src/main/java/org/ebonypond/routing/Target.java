package org.ebonypond.routing;

import java.util.List;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.InstanceKind;

/**
 * A group or a plain service instance that can be assigned requests.
 *
 * @param key {@code group/} and the group's name, or {@code instance/} and the instance's name
 * @param kind engine for a group, service for a plain service instance
 * @param pool the model or the service
 * @param zone the availability zone
 * @param address host and port that receive the requests; those of rank 0 for a group
 * @param members the instances by rank, with the boot identities under which they serve
 * @param epoch the epoch of the group, or the registration index of the instance
 * @param maxConcurrency the maximum number of requests that it runs concurrently
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

  /** Returns the instance that receives the requests: rank 0 of a group. */
  public String instance() {
    return members.get(0).instance();
  }

  /** Returns the boot identity that a dispatch must carry. */
  public String boot() {
    return members.get(0).boot();
  }

  /** Returns the group's or the instance's name. */
  public String name() {
    return key.substring(key.indexOf('/') + 1);
  }

  /** Returns the key of the pool, which is unique across models and services. */
  public String poolKey() {
    return poolKey(kind, pool);
  }

  /** Returns the key of a model or a service, which is unique across both kinds. */
  public static String poolKey(InstanceKind kind, String pool) {
    return (kind == InstanceKind.ENGINE ? "model/" : "service/") + pool;
  }
}
