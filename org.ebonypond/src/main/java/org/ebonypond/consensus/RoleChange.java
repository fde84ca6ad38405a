package org.ebonypond.consensus;

import org.jspecify.annotations.Nullable;

/**
 * A change of role or of the known leader.
 *
 * @param role the new role
 * @param term the term in which it holds
 * @param leader the name of the leader, or null if none is known
 */
public record RoleChange(RaftRole role, long term, @Nullable String leader) {}
