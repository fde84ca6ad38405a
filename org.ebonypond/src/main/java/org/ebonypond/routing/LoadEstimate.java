package org.ebonypond.routing;

/**
 * The estimated load of a target; never negative.
 *
 * @param requests the requests at the target
 * @param tokens the expected tokens of these requests that are not yet processed or produced
 */
public record LoadEstimate(int requests, long tokens) {}
