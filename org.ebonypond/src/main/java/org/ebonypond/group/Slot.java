package org.ebonypond.group;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.document.ModelSpec;
import org.jspecify.annotations.Nullable;

/** The groups of one model in one availability zone while a plan is made. */
final class Slot {
  /** Identifies a slot. */
  record Key(String model, String zone) {}

  final Key key;
  final @Nullable ModelSpec spec;
  final ModelTotals totals;
  final int desired;

  /** Groups that match the document. */
  final List<GroupRecord> good = new ArrayList<>();

  /** Serving groups that no longer match the document. */
  final List<GroupRecord> stale = new ArrayList<>();

  /** Serving groups that match the document and have a leaving member. */
  final List<GroupRecord> leaving = new ArrayList<>();

  int draining;
  int forming;

  /** The sums over all zones of a model. */
  static final class ModelTotals {
    int desired;
    int placed;
    int ready;
    int moving;
  }

  Slot(Key key, @Nullable ModelSpec spec, ModelTotals totals, int desired) {
    this.key = key;
    this.spec = spec;
    this.totals = totals;
    this.desired = desired;
    totals.desired += desired;
  }

  int placed() {
    return good.size() + stale.size() + leaving.size() + forming;
  }

  int ready() {
    return (int) good.stream().filter(g -> g.state() == GroupState.READY).count();
  }

  /** Returns how many groups may stop serving without falling below the desired number. */
  int surplus() {
    return ready() + stale.size() + leaving.size() - desired;
  }

  /** Returns the placed share of the desired groups of the model, for fairness over models. */
  double modelRatio() {
    return totals.desired == 0 ? 1 : (double) totals.placed / totals.desired;
  }

  /** Returns the placed share of the desired groups here, for fairness over zones. */
  double ratio() {
    return desired == 0 ? 1 : (double) placed() / desired;
  }
}
