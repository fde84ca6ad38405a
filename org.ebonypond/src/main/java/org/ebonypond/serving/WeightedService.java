package org.ebonypond.serving;

/**
 * A service with its part of a route's requests.
 *
 * @param service the name of the service
 * @param weight the relative weight; 0 sends it nothing
 */
public record WeightedService(String service, int weight) {}
