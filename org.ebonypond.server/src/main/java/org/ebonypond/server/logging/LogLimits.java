package org.ebonypond.server.logging;

/**
 * The limits of the log of a process.
 *
 * @param linesPerSecond the maximum number of lines below WARN per second
 * @param stateLinesPerSecond the number of {@linkplain LogMarkers#STATE state lines} per second
 *     beyond these
 * @param queuedLines the number of lines that may wait to be written
 * @param queuedStateLines the number of state lines that may wait beyond these
 */
public record LogLimits(
    int linesPerSecond, int stateLinesPerSecond, int queuedLines, int queuedStateLines) {}
