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
   * Prefers a domain where a whole group still holds the model, which starts without a load; then
   * the tightest fit, which keeps whole domains free for large groups and leaves the fewest
   * stranded instances; then the fewest groups of the model, because a lost domain takes all of
   * them down. To prefer the fewest groups of the model, or the least room taken from larger
   * groups, before the tightest fit gave more group downtime in the placement benchmark.
   */
  @Override
  public DomainPool place(ModelSpec model, List<DomainPool> fitting) {
    int size = model.instancesPerGroup();
    Comparator<DomainPool> order =
        Comparator.comparing((DomainPool p) -> p.loaded(model.name(), model.version()) < size)
            .thenComparingInt(DomainPool::free)
            .thenComparingInt(p -> p.groups(model.name()));
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
   * of their moves. Waiting has no bound, so it comes last, and only while the remaining members
   * are of no use to another group that is missing.
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
    boolean waits = !c.usable() && c.waitedMillis() < c.waitLimitMillis();
    return waits ? RepairChoice.WAIT : RepairChoice.DISSOLVE;
  }

  @Override
  public boolean takesFromOthers() {
    return true;
  }
}
