package org.ebonypond.group;

import java.util.Comparator;
import java.util.List;
import org.ebonypond.document.ModelSpec;

/**
 * Minimizes group downtime, then stranded instances, then moves, that is, instances added to
 * groups.
 */
public final class ScoredPolicy implements PlacementPolicy {
  @Override
  public String name() {
    return "scored";
  }

  /**
   * Prefers a domain where enough instances for the whole group still have the model loaded, so
   * that no load is needed; then the best fit, which keeps whole domains free for large groups and
   * leaves the fewest stranded instances; then the fewest groups of the model, because the loss of
   * a domain takes all of them down. Preferring the fewest groups of the model, or the least
   * capacity taken from larger groups, over the best fit increased group downtime in the placement
   * benchmark.
   */
  @Override
  public DomainPool place(ModelSpec model, List<DomainPool> fitting) {
    int size = model.instancesPerGroup();
    Comparator<DomainPool> preference =
        Comparator.comparing((DomainPool p) -> p.loaded(model.name(), model.version()) < size)
            .thenComparingInt(DomainPool::free)
            .thenComparingInt(p -> p.groups(model.name()));
    DomainPool best = fitting.get(0);
    for (DomainPool p : fitting) {
      if (preference.compare(p, best) < 0) {
        best = p;
      }
    }
    return best;
  }

  /**
   * Spares in the domain, a donor and another domain all cost one load; they are tried in ascending
   * order of moves. Waiting may take arbitrarily long, so it comes last, and only if the remaining
   * members cannot form another missing group.
   */
  @Override
  public RepairChoice repair(RepairCase c) {
    if (c.spares() >= c.missing()) {
      return RepairChoice.USE_SPARES;
    }
    if (c.donatable() > 0 && c.spares() + c.donatable() >= c.missing()) {
      return RepairChoice.MERGE;
    }
    if (c.otherDomain() != null) {
      return RepairChoice.MOVE;
    }
    boolean waits = !c.reusable() && c.waitedMillis() < c.waitLimitMillis();
    return waits ? RepairChoice.WAIT : RepairChoice.DISSOLVE;
  }

  @Override
  public boolean allowsPreemption() {
    return true;
  }
}
