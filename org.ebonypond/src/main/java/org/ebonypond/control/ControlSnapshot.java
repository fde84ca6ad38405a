package org.ebonypond.control;

import java.util.List;

/**
 * The encoded form of the control state. Lists are sorted, so that equal states have equal bytes.
 *
 * @param index the log index of the last applied command
 * @param document the TOML text of the document in force, or an empty string
 * @param documentAuthor the operation that applied it
 * @param documentIndex the log index at which it was applied
 * @param groupSequence the highest number of a group's name so far
 * @param zonesOut the availability zones out of service
 * @param instances the instances by name
 * @param groups the groups by name
 * @param operations the remembered operations, oldest first
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
   * A remembered operation.
   *
   * @param operationId the operator's identifier
   * @param result the first result
   */
  record Operation(String operationId, ControlResult result) {}
}
