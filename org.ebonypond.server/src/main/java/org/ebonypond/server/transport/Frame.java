package org.ebonypond.server.transport;

/**
 * A message frame between two processes of the system.
 *
 * @param type the type, which selects the handler
 * @param from the name of the sending process
 * @param channel the name of the replicated log that the frame concerns, or an empty string
 * @param correlation matches an answer to its request; 0 if no answer is expected
 * @param wallMillis the wall part of the sender's hybrid logical timestamp
 * @param counter the counter part of the sender's hybrid logical timestamp
 * @param payload the encoded message
 */
public record Frame(
    FrameType type,
    String from,
    String channel,
    long correlation,
    long wallMillis,
    int counter,
    byte[] payload) {}
