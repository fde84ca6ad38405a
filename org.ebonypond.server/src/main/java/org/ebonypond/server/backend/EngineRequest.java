package org.ebonypond.server.backend;

/**
 * One attempt of a completion on an engine.
 *
 * @param requestId the identity of the request, the same for all its attempts
 * @param address host and port of the group's member of rank 0
 * @param boot the expected boot identity of that member
 * @param body the JSON body
 * @param resumeOffset the offset of the first chunk that is still missing
 * @param priority 0 to 9; a high value is urgent
 */
public record EngineRequest(
    String requestId, String address, String boot, String body, long resumeOffset, int priority) {}
