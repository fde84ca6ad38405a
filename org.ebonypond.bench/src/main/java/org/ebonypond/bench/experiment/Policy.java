package org.ebonypond.bench.experiment;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.ebonypond.forward.EngineCost;
import org.ebonypond.forward.TargetSelector;
import org.ebonypond.forward.TargetSelector.Candidate;
import org.ebonypond.forward.TargetSelector.Need;
import org.ebonypond.forward.TargetSelector.Selection;

/** Selects the group for a request, or rejects the request. Each entry has its own object. */
interface Policy {
  /** Selects a group for a request. */
  Selection choose(Need need, List<Candidate> candidates, EngineCost cost, int entries, long now);

  /** Creates the policy of an entry. */
  interface Factory {
    /** Creates a policy; the same seed gives the same decisions. */
    Policy create(long seed);
  }

  /**
   * Returns the compared policies by name: the selector of the daemon, a variant without waiting,
   * and two baselines.
   */
  static Map<String, Factory> all() {
    Map<String, Factory> out = new TreeMap<>();
    out.put("ours", DaemonSelector::new);
    out.put("ours-no-wait", seed -> new WithoutWaiting(new DaemonSelector(seed)));
    out.put("least-active", seed -> new LeastActive());
    out.put("round-robin", seed -> new RoundRobin());
    return out;
  }

  /** The selector that the daemon uses. */
  final class DaemonSelector implements Policy {
    private final TargetSelector selector;

    DaemonSelector(long seed) {
      selector = new TargetSelector("z", new Random(seed));
    }

    @Override
    public Selection choose(Need n, List<Candidate> c, EngineCost cost, int entries, long now) {
      return selector.choose(n, c, cost, entries, now);
    }
  }

  /** Another policy, except that requests are rejected instead of waiting at the entry. */
  final class WithoutWaiting implements Policy {
    private final Policy policy;

    WithoutWaiting(Policy policy) {
      this.policy = policy;
    }

    @Override
    public Selection choose(Need n, List<Candidate> c, EngineCost cost, int entries, long now) {
      Selection d = policy.choose(n, c, cost, entries, now);
      return d.target() != null || d.waitingLimit() == 0
          ? d
          : new Selection(null, 0, 0, 0, d.reason(), 0, d.retryAfterMillis());
    }
  }

  /** Selects the group with the fewest requests in flight; rejects only if there is no group. */
  final class LeastActive implements Policy {
    @Override
    public Selection choose(Need n, List<Candidate> c, EngineCost cost, int entries, long now) {
      return c.stream()
          .min(Comparator.comparingInt(LeastActive::active))
          .map(b -> new Selection(b.instance(), 0, 0, 0, "", 0, 0))
          .orElseGet(() -> new Selection(null, 0, 0, 0, "no-instance", 0, 1_000));
    }

    private static int active(Candidate c) {
      return c.stats().active() + (c.loadOfOthers() == null ? 0 : c.loadOfOthers().active());
    }
  }

  /** Selects the groups in turn; rejects only if there is no group. */
  final class RoundRobin implements Policy {
    private int next;

    @Override
    public Selection choose(Need n, List<Candidate> c, EngineCost cost, int entries, long now) {
      if (c.isEmpty()) {
        return new Selection(null, 0, 0, 0, "no-instance", 0, 1_000);
      }
      next++;
      return new Selection(c.get(next % c.size()).instance(), 0, 0, 0, "", 0, 0);
    }
  }
}
