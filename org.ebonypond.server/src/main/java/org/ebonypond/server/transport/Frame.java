package org.ebonypond.server.transport;

/**
 * A frame between two processes.
 *
 * @param type the kind of frame
 * @param from the name of the sending process
 * @param channel the replicated log that the frame is about, or an empty string
 * @param correlation identifies the question that an answer belongs to; 0 when none is expected
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
