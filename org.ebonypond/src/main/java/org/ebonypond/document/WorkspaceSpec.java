package org.ebonypond.document;

/**
 * A workspace that the document declares.
 *
 * @param name the workspace's name, unique
 * @param weight its weight in the division of capacity among workspaces, at least 1
 * @param maxQueued the maximum number of requests queued at one entry
 */
public record WorkspaceSpec(String name, int weight, int maxQueued) {}
