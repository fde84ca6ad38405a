package org.ebonypond.group;

import java.util.List;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.kernel.Plugin;
import org.jspecify.annotations.Nullable;

/** Chooses between the places for a new group and between the ways to repair one. Stateless. */
public interface PlacementPolicy extends Plugin {
  /**
   * Chooses the fabric domain of a new group.
   *
   * @param model the model
   * @param fitting the domains with enough free instances, by name; not empty
   * @return one of {@code fitting}
   */
  DomainPool place(ModelSpec model, List<DomainPool> fitting);

  /** Chooses how to repair a group that misses members. */
  RepairChoice repair(RepairCase c);

  /**
   * Returns whether a group of one model may be drained so that a model without any group gets its
   * instances.
   */
  boolean takesFromOthers();

  /**
   * The options for a group that misses members.
   *
   * @param missing the number of members that are lost
   * @param spares the number of free instances in its fabric domain
   * @param donatable the number of usable members of another incomplete group in the domain that is
   *     cheaper to give up, or 0
   * @param elsewhere another domain with room for the whole group, or null
   * @param usable whether its remaining members could form a missing group of a smaller size
   * @param waitedMillis how long the group has missed members, in milliseconds
   * @param waitLimitMillis how long to wait for a return, in milliseconds
   */
  record RepairCase(
      int missing,
      int spares,
      int donatable,
      @Nullable DomainPool elsewhere,
      boolean usable,
      long waitedMillis,
      long waitLimitMillis) {}

  /** A way to repair a group. */
  enum RepairChoice {
    /** Replace the lost members by spares of the domain; the others stay loaded. */
    USE_SPARES,
    /** Dissolve another incomplete group of the domain and use its members as spares. */
    MERGE,
    /** Form the group anew in another domain. */
    MOVE,
    /** Wait for the lost members. */
    WAIT,
    /** Free the remaining members. */
    DISSOLVE
  }
}
