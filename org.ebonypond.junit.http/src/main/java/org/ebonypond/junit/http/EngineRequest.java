package org.ebonypond.junit.http;

/**
 * A request to the engine.
 *
 * @param id the request identity
 * @param model the model that the caller names
 * @param prompt the prompt
 * @param length the number of tokens of the whole answer
 * @param offset the position of the first token to send
 * @param priority 0 to 9; a high value is urgent
 * @param sink takes the answer
 */
public record EngineRequest(
    String id, String model, String prompt, int length, int offset, int priority, TokenSink sink) {}
