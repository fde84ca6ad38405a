package org.ebonypond.routing;

/**
 * What a router knows of the targets beyond the control view. Each part is thread-safe.
 *
 * @param load the estimated loads
 * @param prefixes the prefix caches
 * @param lengths the lengths of answers
 * @param stragglers the slow targets
 * @param suspicion the instances that failed this entry
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
