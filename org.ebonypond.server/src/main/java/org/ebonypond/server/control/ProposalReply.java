package org.ebonypond.server.control;

import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.wire.FieldReader;
import org.ebonypond.wire.FieldWriter;
import org.jspecify.annotations.Nullable;

/**
 * A replica's reply to a proposal.
 *
 * @param index the log index of the command; 0 if the proposal failed
 * @param result the result of the state machine; empty if the proposal failed
 * @param failure null if the command was applied; {@code NOT_LEADER} if it was not accepted; {@code
 *     OUTCOME_UNKNOWN} if it may still be committed
 * @param leader the name of the presumed leader, or null
 */
public record ProposalReply(
    long index, byte[] result, @Nullable ErrorCode failure, @Nullable String leader) {
  /** Returns the encoded reply. */
  public byte[] encode() {
    FieldWriter w = new FieldWriter();
    w.number("index", index).bytes("result", result);
    w.text("failure", failure == null ? null : failure.name()).text("leader", leader);
    return w.toByteArray();
  }

  /**
   * Decodes a reply.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a valid reply
   */
  public static ProposalReply decode(byte[] bytes) {
    return FieldReader.decode(
        bytes,
        r ->
            new ProposalReply(
                r.number("index"),
                r.bytes("result"),
                readFailure(r.optionalText("failure")),
                r.optionalText("leader")));
  }

  private static @Nullable ErrorCode readFailure(@Nullable String name) {
    try {
      return name == null ? null : ErrorCode.valueOf(name);
    } catch (IllegalArgumentException e) {
      throw new EbonypondException(e, ErrorCode.FRAME_INVALID, "unknown error code " + name);
    }
  }
}
