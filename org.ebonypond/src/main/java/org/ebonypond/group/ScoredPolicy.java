package org.ebonypond.group;

import java.util.Comparator;
import java.util.List;
import org.ebonypond.document.ModelSpec;

/** Compares candidates by group downtime, then stranded accelerators, then moves. */
public final class ScoredPolicy implements PlacementPolicy {
  @Override
  public String name() {
    return "scored";
  }

  /**
   * Prefers instances that still hold the model, which start soonest; then the domain that loses
   * the least room for larger groups, because a larger group that fits nowhere stays down; then the
   * fewest stranded instances; then the fewest groups of the model, because a lost domain takes all
   * of them down; then the tightest fit.
   */
  @Override
  public DomainPool place(ModelSpec model, List<DomainPool> fitting) {
    int size = model.instancesPerGroup();
    Comparator<DomainPool> order =
        Comparator.comparingInt(
                (DomainPool p) -> -Math.min(size, p.loaded(model.name(), model.version())))
            .thenComparingInt(p -> p.largerRoomLost(size))
            .thenComparingInt(p -> p.strandedAfter(size) - p.strandedAfter(0))
            .thenComparingInt(p -> p.groups(model.name()))
            .thenComparingInt(DomainPool::free);
    DomainPool best = fitting.get(0);
    for (DomainPool p : fitting) {
      if (order.compare(p, best) < 0) {
        best = p;
      }
    }
    return best;
  }

  /**
   * Spares in the domain, a donor and another domain all cost one load; they are tried in the order
   * of their moves. Waiting has no bound, so it comes last.
   */
  @Override
  public RepairChoice repair(RepairCase c) {
    if (c.spares() >= c.missing()) {
      return RepairChoice.USE_SPARES;
    }
    if (c.donatable() > 0 && c.spares() + c.donatable() >= c.missing()) {
      return RepairChoice.MERGE;
    }
    if (c.elsewhere() != null) {
      return RepairChoice.MOVE;
    }
    return c.waitedMillis() < c.waitLimitMillis() ? RepairChoice.WAIT : RepairChoice.DISSOLVE;
  }

  @Override
  public boolean takesFromOthers() {
    return true;
  }
}
