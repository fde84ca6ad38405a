package org.ebonypond.group;

import java.util.List;
import org.ebonypond.document.ModelSpec;
import org.ebonypond.kernel.Plugin;
import org.jspecify.annotations.Nullable;

/** Chooses the fabric domain of a new group and the way to repair an incomplete one. Stateless. */
public interface PlacementPolicy extends Plugin {
  /**
   * Chooses the fabric domain of a new group.
   *
   * @param model the model of the new group
   * @param fitting the domains with enough free instances, by name; not empty
   * @return one of {@code fitting}
   */
  DomainPool place(ModelSpec model, List<DomainPool> fitting);

  /** Chooses how to repair a group with missing members. */
  RepairChoice repair(RepairCase c);

  /**
   * Returns whether a group of one model may be drained so that a model without any group gets its
   * instances.
   */
  boolean allowsPreemption();

  /**
   * The repair options of a group with missing members.
   *
   * @param missing the number of missing members
   * @param spares the number of free instances in its fabric domain
   * @param donatable the number of usable members of another incomplete group in the domain that is
   *     cheaper to dissolve, or 0
   * @param otherDomain another domain with enough free instances for the whole group, or null
   * @param reusable whether its remaining members could form a missing group of a smaller size
   * @param waitedMillis how long the group has been incomplete, in milliseconds
   * @param waitLimitMillis how long to wait for the missing members, in milliseconds
   */
  record RepairCase(
      int missing,
      int spares,
      int donatable,
      @Nullable DomainPool otherDomain,
      boolean reusable,
      long waitedMillis,
      long waitLimitMillis) {}

  /** A way to repair a group. */
  enum RepairChoice {
    /** Replace the missing members by spares of the domain; the others stay loaded. */
    USE_SPARES,
    /** Dissolve another incomplete group of the domain and use its members as spares. */
    MERGE,
    /** Form a new group in another domain. */
    MOVE,
    /** Wait for the missing members to return. */
    WAIT,
    /** Dissolve the group and free its remaining members. */
    DISSOLVE
  }
}
