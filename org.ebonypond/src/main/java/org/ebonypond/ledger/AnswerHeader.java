package org.ebonypond.ledger;

/**
 * One header of a stored answer.
 *
 * @param name the header's name
 * @param value the header's value
 */
public record AnswerHeader(String name, String value) {}
