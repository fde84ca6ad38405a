package org.ebonypond.group;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.GroupState;
import org.ebonypond.document.ModelSpec;
import org.jspecify.annotations.Nullable;

/** The groups of one model in one availability zone during one planning run. */
final class ModelZone {
  /** Identifies a model in an availability zone. */
  record Key(String model, String zone) {}

  final Key key;
  final @Nullable ModelSpec spec;
  final ModelTotals totals;
  final int desired;

  /** Groups that match the document, except serving ones with a leaving member. */
  final List<GroupRecord> matching = new ArrayList<>();

  /** Serving groups that no longer match the document. */
  final List<GroupRecord> stale = new ArrayList<>();

  /** Serving groups that match the document and have a leaving member. */
  final List<GroupRecord> leaving = new ArrayList<>();

  /** The number of groups that are draining or proposed for draining or removal. */
  int draining;

  /** The number of groups that are proposed and not yet in the view. */
  int forming;

  /** The totals of a model over all zones. */
  static final class ModelTotals {
    int desired;
    int placed;
    int ready;

    /** The number of groups that are forming, loading or draining. */
    int inTransition;
  }

  ModelZone(Key key, @Nullable ModelSpec spec, ModelTotals totals, int desired) {
    this.key = key;
    this.spec = spec;
    this.totals = totals;
    this.desired = desired;
    totals.desired += desired;
  }

  int placed() {
    return matching.size() + stale.size() + leaving.size() + forming;
  }

  int ready() {
    return (int) matching.stream().filter(g -> g.state() == GroupState.READY).count();
  }

  /** Returns how many groups may stop serving while the desired number remains. */
  int surplus() {
    return ready() + stale.size() + leaving.size() - desired;
  }

  /** Returns the ratio of placed to desired groups of the model, for fairness over models. */
  double modelRatio() {
    return totals.desired == 0 ? 1 : (double) totals.placed / totals.desired;
  }

  /** Returns the ratio of placed to desired groups in this zone, for fairness over zones. */
  double zoneRatio() {
    return desired == 0 ? 1 : (double) placed() / desired;
  }
}
