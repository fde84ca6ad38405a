package org.ebonypond.server.entry;

/**
 * A caller's request for a completion.
 *
 * @param id the identifier of the request
 * @param workspace the caller's workspace
 * @param model the name of the model
 * @param prompt the text of the prompt
 * @param engineBody the JSON body for the engine
 * @param maxTokens the maximum number of tokens of the answer, or 0 if the caller set none
 * @param stream whether the caller wants server-sent events
 * @param firstOffset the offset of the first chunk that the caller has not received yet
 * @param priority 0 to 9; higher values are more urgent
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
