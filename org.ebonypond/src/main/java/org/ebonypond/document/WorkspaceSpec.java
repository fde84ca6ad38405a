package org.ebonypond.document;

/**
 * A workspace that the document declares.
 *
 * @param name the workspace's name, unique
 * @param weight its share relative to the others, at least 1
 * @param maxQueued the most requests that wait at one entry
 */
public record WorkspaceSpec(String name, int weight, int maxQueued) {}
