package org.ebonypond.stream;

/**
 * One chunk of a streamed answer.
 *
 * @param request the identity of the request that the chunk names
 * @param attempt the attempt that received it, from 1; each dispatch has its own
 * @param offset the number of chunks before it in the answer
 * @param data the chunk's data
 * @param last whether the answer ends with it
 */
public record Chunk(String request, int attempt, long offset, String data, boolean last) {}
