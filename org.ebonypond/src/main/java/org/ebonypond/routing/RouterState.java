package org.ebonypond.routing;

/**
 * The local state of a router about the targets, beyond the control view. Each component is
 * thread-safe.
 *
 * @param load the estimated loads
 * @param prefixes the estimated content of the prefix caches
 * @param lengths the expected lengths of answers
 * @param stragglers the detector of slow targets
 * @param suspicion the instances that this entry suspects to be down
 */
public record RouterState(
    LoadEstimator load,
    PrefixIndex prefixes,
    OutputLengths lengths,
    StragglerDetector stragglers,
    LocalSuspicion suspicion) {
  /** Returns an empty state. */
  public static RouterState create() {
    return new RouterState(
        new LoadEstimator(),
        new PrefixIndex(PrefixIndex.DEFAULT_BLOCKS),
        new OutputLengths(),
        new StragglerDetector(),
        new LocalSuspicion());
  }
}
