package org.ebonypond.control;

import java.util.Map;
import java.util.Set;
import org.ebonypond.document.ServiceDocument;
import org.jspecify.annotations.Nullable;

/**
 * An immutable view of the control state after one applied command.
 *
 * @param index the log index of the last applied command
 * @param document the document in force, or null if there is none
 * @param documentAuthor the operation that applied the document, or an empty string
 * @param zonesOut the availability zones that operators took out of service
 * @param instances the registered instances by name
 * @param groups the groups by name
 * @param groupSequence the highest number at the end of a group name so far, or 0; the name of a
 *     new group ends in a higher number, so that names are never reused
 */
public record ControlView(
    long index,
    @Nullable ServiceDocument document,
    String documentAuthor,
    Set<String> zonesOut,
    Map<String, InstanceRecord> instances,
    Map<String, GroupRecord> groups,
    long groupSequence) {
  /** Copies the collections. */
  public ControlView {
    zonesOut = Set.copyOf(zonesOut);
    instances = OrderedMap.copyOf(instances);
    groups = OrderedMap.copyOf(groups);
  }

  /** Creates a view in which no group name has been used. */
  public ControlView(
      long index,
      @Nullable ServiceDocument document,
      String documentAuthor,
      Set<String> zonesOut,
      Map<String, InstanceRecord> instances,
      Map<String, GroupRecord> groups) {
    this(index, document, documentAuthor, zonesOut, instances, groups, 0);
  }

  /** The view before the first command. */
  public static final ControlView EMPTY =
      new ControlView(0, null, "", Set.of(), Map.of(), Map.of());
}
