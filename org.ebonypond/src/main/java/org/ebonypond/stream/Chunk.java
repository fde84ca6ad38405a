package org.ebonypond.stream;

/**
 * One chunk of a streamed answer.
 *
 * @param request the identity of the request that the chunk carries
 * @param attempt the attempt that received it, from 1; each dispatch has its own
 * @param offset the position in the answer, counted in chunks from 0
 * @param data the chunk's data
 * @param last whether it is the last chunk of the answer
 */
public record Chunk(String request, int attempt, long offset, String data, boolean last) {}
