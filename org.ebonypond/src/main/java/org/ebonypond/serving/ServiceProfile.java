package org.ebonypond.serving;

import org.jspecify.annotations.Nullable;

/**
 * A service whose instances process requests.
 *
 * @param name the name of the service
 * @param maxConnections the maximum number of connections to one instance, over all entries
 * @param warmMillis the time from an instance's start until it is warm, in milliseconds
 * @param coldPerSecond the maximum request rate of a cold instance, per second; 0 if unlimited
 * @param engine the profile of its engines, or null for a service without engines
 */
public record ServiceProfile(
    String name,
    int maxConnections,
    long warmMillis,
    double coldPerSecond,
    @Nullable EngineProfile engine) {}
