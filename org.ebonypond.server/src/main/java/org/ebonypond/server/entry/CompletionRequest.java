package org.ebonypond.server.entry;

/**
 * A completion that a caller asked for.
 *
 * @param id the request identity
 * @param workspace the workspace
 * @param model the model
 * @param prompt the text of the prompt
 * @param engineBody the JSON body for the engine
 * @param maxTokens the most tokens of the answer, or 0 if the caller set none
 * @param stream whether the caller wants server-sent events
 * @param firstOffset the offset of the first chunk that the caller does not have yet
 * @param priority 0 to 9; a high value is urgent
 * @param deadlineMillis the time by which the answer must be complete, on this entry's clock
 */
public record CompletionRequest(
    String id,
    String workspace,
    String model,
    String prompt,
    String engineBody,
    int maxTokens,
    boolean stream,
    long firstOffset,
    int priority,
    long deadlineMillis) {}
