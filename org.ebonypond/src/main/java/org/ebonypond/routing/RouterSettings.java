package org.ebonypond.routing;

/**
 * The settings of a router.
 *
 * @param node the entry's name; decides its subset of groups
 * @param zone the entry's availability zone
 * @param subsetSize the groups of a model that the entry prefers when there are more
 * @param remoteZoneTokens the load in tokens by which a target in another zone must be better
 */
public record RouterSettings(String node, String zone, int subsetSize, long remoteZoneTokens) {
  /** Returns the settings with the defaults. */
  public static RouterSettings of(String node, String zone) {
    return new RouterSettings(node, zone, 64, 256);
  }
}
