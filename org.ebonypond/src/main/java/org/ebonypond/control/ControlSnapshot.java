package org.ebonypond.control;

import java.util.List;

/**
 * The serialized form of the control state. Lists are sorted, so that equal states have equal
 * encodings.
 *
 * @param index the log index of the last applied command
 * @param document the TOML text of the document in force, or an empty string
 * @param documentAuthor the operation that applied it
 * @param documentIndex the log index at which it was applied
 * @param groupSequence the highest number in the name of any group so far
 * @param zonesOut the availability zones out of service
 * @param instances the instances by name
 * @param groups the groups by name
 * @param operations the retained operations, oldest first
 */
record ControlSnapshot(
    long index,
    String document,
    String documentAuthor,
    long documentIndex,
    long groupSequence,
    List<String> zonesOut,
    List<InstanceRecord> instances,
    List<GroupRecord> groups,
    List<Operation> operations) {

  /**
   * A retained operation.
   *
   * @param operationId the operator's identifier
   * @param result the result of its first execution
   */
  record Operation(String operationId, ControlResult result) {}
}
