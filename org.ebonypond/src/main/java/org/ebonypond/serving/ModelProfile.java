package org.ebonypond.serving;

/**
 * A model that is served by groups of instances.
 *
 * @param name the name of the model
 * @param groupSize the number of instances in a group
 * @param share the fraction of all instances that the model is expected to need, 0 to 1
 * @param timeFactor the factor by which the times of its groups differ from the engine profile
 * @param loadMillis the time to load the weights from the weight store, in milliseconds
 * @param warmMillis the time to load weights that are staged on the host, in milliseconds
 */
public record ModelProfile(
    String name,
    int groupSize,
    double share,
    double timeFactor,
    long loadMillis,
    long warmMillis) {}
