package org.ebonypond.routing;

/**
 * A change of an engine's prefix cache, as the engine published it.
 *
 * @param seq the sequence number, which increases by one with each event of a boot
 * @param stored whether the prefix was stored; otherwise it was removed
 * @param prefix the blocks of the prefix
 */
public record CacheEvent(long seq, boolean stored, PromptBlocks prefix) {}
