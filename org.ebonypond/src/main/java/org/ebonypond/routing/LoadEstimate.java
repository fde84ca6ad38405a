package org.ebonypond.routing;

/**
 * The estimated load of a target; never negative.
 *
 * @param requests the requests at the target
 * @param tokens the tokens promised to them and not yet produced
 */
public record LoadEstimate(int requests, long tokens) {}
