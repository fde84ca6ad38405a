package org.ebonypond.serving;

/**
 * A service and its share of a route's requests.
 *
 * @param service the name of the service
 * @param weight the relative weight; a service of weight 0 gets no requests
 */
public record WeightedService(String service, int weight) {}
