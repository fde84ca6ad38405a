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
   * The command is in force.
   *
   * @param index the log index of the command that brought it into force
   * @param documentVersion the document version in force after it, or 0 before the first
   */
  record Accepted(long index, long documentVersion) implements ControlResult {}

  /**
   * The command repeats an earlier one and changed nothing.
   *
   * @param first the result of the earlier command
   */
  record Duplicate(ControlResult first) implements ControlResult {}

  /**
   * The command changed nothing.
   *
   * @param code the stable code
   * @param message the user message
   * @param documentVersion the document version in force, or 0 before the first
   * @param documentAuthor the operation that applied the document in force, or an empty string
   */
  record Rejected(ErrorCode code, String message, long documentVersion, String documentAuthor)
      implements ControlResult {}

  /** Returns whether the change is in force, now or by an earlier command. */
  default boolean inForce() {
    if (this instanceof Duplicate d) {
      return d.first().inForce();
    }
    return this instanceof Accepted;
  }
}
