package org.ebonypond.serving;

/**
 * A model that groups of instances serve.
 *
 * @param name the name of the model
 * @param groupSize the number of instances in a group
 * @param share the expected part of all instances that the model needs, 0 to 1
 * @param timeFactor the factor on all times of its groups
 * @param loadMillis the time to load the weights from the store, in milliseconds
 * @param warmMillis the time to load weights that are staged on the host, in milliseconds
 */
public record ModelProfile(
    String name,
    int groupSize,
    double share,
    double timeFactor,
    long loadMillis,
    long warmMillis) {}
