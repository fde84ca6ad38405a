package org.ebonypond.server.backend;

/**
 * One attempt to run a completion on an engine.
 *
 * @param requestId the identifier of the request, which all its attempts share
 * @param address host and port of the member with rank 0 of the group
 * @param boot the expected boot identity of that member
 * @param body the JSON body of the request
 * @param resumeOffset the offset of the first chunk that the caller does not have
 * @param priority 0 to 9; higher values are more urgent
 */
public record EngineRequest(
    String requestId, String address, String boot, String body, long resumeOffset, int priority) {}
