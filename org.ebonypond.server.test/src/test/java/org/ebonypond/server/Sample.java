package org.ebonypond.server;

import java.util.function.UnaryOperator;

/**
 * A message or record with known content.
 *
 * @param name the name under which its bytes are recorded
 * @param bytes its encoding
 * @param reencode decodes bytes of an earlier build and encodes the result
 */
public record Sample(String name, byte[] bytes, UnaryOperator<byte[]> reencode) {}
