package org.ebonypond.junit.http;

/**
 * A completion request to the simulated engine.
 *
 * @param id the request identity
 * @param model the requested model or adapter; empty matches any model
 * @param prompt the prompt
 * @param length the number of tokens of the complete answer, including those before {@code offset}
 * @param offset the position of the first token to send, from 0; above 0 in a resumed request
 * @param priority 0 to 9; higher values join the batch first
 * @param sink receives the answer
 */
public record EngineRequest(
    String id, String model, String prompt, int length, int offset, int priority, TokenSink sink) {}
