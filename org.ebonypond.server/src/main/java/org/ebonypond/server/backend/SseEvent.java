package org.ebonypond.server.backend;

/**
 * A server-sent event.
 *
 * @param type the {@code event} field, or an empty string
 * @param id the last {@code id} field, or an empty string
 * @param data the {@code data} field; the values of several such lines are joined by line feeds
 */
public record SseEvent(String type, String id, String data) {}
