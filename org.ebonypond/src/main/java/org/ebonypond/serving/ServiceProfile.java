package org.ebonypond.serving;

import org.jspecify.annotations.Nullable;

/**
 * A service whose instances take requests.
 *
 * @param name the name of the service
 * @param maxConnections the connections that one instance accepts from all callers together
 * @param warmMillis how long an instance stays cold after its start, in milliseconds
 * @param coldPerSecond the requests that a cold instance bears in a second; 0 if there is no bound
 * @param engine the engine's profile, or null for a plain service
 */
public record ServiceProfile(
    String name,
    int maxConnections,
    long warmMillis,
    double coldPerSecond,
    @Nullable EngineProfile engine) {}
