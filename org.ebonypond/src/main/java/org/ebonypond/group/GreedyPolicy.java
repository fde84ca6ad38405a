package org.ebonypond.group;

import java.util.List;
import org.ebonypond.document.ModelSpec;

/** The baseline policy: chooses the first fabric domain with enough free instances. */
public final class GreedyPolicy implements PlacementPolicy {
  @Override
  public String name() {
    return "greedy";
  }

  @Override
  public DomainPool place(ModelSpec model, List<DomainPool> fitting) {
    return fitting.get(0);
  }

  @Override
  public RepairChoice repair(RepairCase c) {
    return c.spares() >= c.missing() ? RepairChoice.USE_SPARES : RepairChoice.DISSOLVE;
  }

  @Override
  public boolean allowsPreemption() {
    return false;
  }
}
