package org.ebonypond.consensus;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The voting replicas of a Raft group.
 *
 * @param members the identity of each voter by replica name
 */
public record Membership(Map<String, String> members) {
  /** The value of a replica that has never received a membership. */
  public static final Membership NONE = new Membership(Map.of());

  /** Copies the map so that the membership is immutable. */
  public Membership {
    members = Collections.unmodifiableMap(new TreeMap<>(members));
  }

  /** Returns whether a name is a voter with exactly this identity. */
  public boolean contains(String name, String identity) {
    return identity.equals(members.get(name));
  }

  /** Returns the identity of a voter, or an empty string if the name is not a voter. */
  public String identityOf(String name) {
    return members.getOrDefault(name, "");
  }

  /** Returns the number of voters that form a quorum. */
  public int quorum() {
    return members.size() / 2 + 1;
  }

  /** Returns whether there is no voter. */
  @JsonIgnore
  public boolean isEmpty() {
    return members.isEmpty();
  }

  /**
   * Returns the number of voters that are in only one of two memberships. If this is at most 1,
   * every quorum of one overlaps every quorum of the other.
   */
  public int distance(Membership other) {
    Set<Map.Entry<String, String>> all = new HashSet<>(members.entrySet());
    all.addAll(other.members.entrySet());
    Set<Map.Entry<String, String>> common = new HashSet<>(members.entrySet());
    common.retainAll(other.members.entrySet());
    return all.size() - common.size();
  }

  /** Returns this membership with one more voter. */
  public Membership with(String name, String identity) {
    Map<String, String> m = new TreeMap<>(members);
    m.put(name, identity);
    return new Membership(m);
  }

  /** Returns this membership without one voter. */
  public Membership without(String name) {
    Map<String, String> m = new TreeMap<>(members);
    m.remove(name);
    return new Membership(m);
  }
}
