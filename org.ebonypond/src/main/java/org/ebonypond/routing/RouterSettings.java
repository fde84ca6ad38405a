package org.ebonypond.routing;

/**
 * The settings of a router.
 *
 * @param node the entry's name, which determines its preferred subset
 * @param zone the entry's availability zone
 * @param subsetSize the maximum number of preferred targets of a pool
 * @param remoteZoneTokens the load penalty in tokens of a target in another availability zone
 */
public record RouterSettings(String node, String zone, int subsetSize, long remoteZoneTokens) {
  /** Returns the default settings. */
  public static RouterSettings of(String node, String zone) {
    return new RouterSettings(node, zone, 64, 256);
  }
}
