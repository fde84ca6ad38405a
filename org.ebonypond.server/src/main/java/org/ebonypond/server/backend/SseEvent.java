package org.ebonypond.server.backend;

/**
 * A server-sent event.
 *
 * @param id the {@code id} field, or an empty string
 * @param data the {@code data} field; several lines are joined by line feeds
 */
public record SseEvent(String id, String data) {}
