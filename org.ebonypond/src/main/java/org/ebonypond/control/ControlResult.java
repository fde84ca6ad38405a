package org.ebonypond.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.ebonypond.errors.ErrorCode;

/** The result of a control command. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "result")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlResult.Accepted.class, name = "accepted"),
  @JsonSubTypes.Type(value = ControlResult.Duplicate.class, name = "duplicate"),
  @JsonSubTypes.Type(value = ControlResult.Rejected.class, name = "rejected")
})
public sealed interface ControlResult {
  /**
   * The command was applied and its change is in force.
   *
   * @param index the log index of the command that made the change
   * @param documentVersion the document version in force after the command, or 0 if there is no
   *     document
   */
  record Accepted(long index, long documentVersion) implements ControlResult {}

  /**
   * The command repeats an earlier one and was not applied again.
   *
   * @param first the result of the earlier command
   */
  record Duplicate(ControlResult first) implements ControlResult {}

  /**
   * The command was rejected and changed nothing.
   *
   * @param code the stable error code
   * @param message the message for the user
   * @param documentVersion the document version in force, or 0 if there is no document
   * @param documentAuthor the operation that applied the document in force, or an empty string
   */
  record Rejected(ErrorCode code, String message, long documentVersion, String documentAuthor)
      implements ControlResult {}

  /** Returns whether this command or the earlier command that it repeats was accepted. */
  default boolean inForce() {
    if (this instanceof Duplicate d) {
      return d.first().inForce();
    }
    return this instanceof Accepted;
  }
}
