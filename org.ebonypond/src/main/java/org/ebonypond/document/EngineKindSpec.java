package org.ebonypond.document;

/**
 * An engine kind that the document declares.
 *
 * @param name the engine kind's name, unique
 * @param checksFencing whether its engines refuse orders with an old fencing number
 */
public record EngineKindSpec(String name, boolean checksFencing) {}
