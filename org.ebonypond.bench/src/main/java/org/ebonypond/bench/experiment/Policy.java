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

/** Decides where a request goes, or that it is refused. One instance for each entry. */
interface Policy {
  /** Decides on a request. */
  Selection choose(Need need, List<Candidate> candidates, EngineCost cost, int entries, long now);

  /** Creates a policy for an entry, from a seed. */
  interface Factory {
    /** Creates a policy. */
    Policy create(long seed);
  }

  /** Returns the policies that are compared, by name: ours, a variant of it, and baselines. */
  static Map<String, Factory> all() {
    Map<String, Factory> out = new TreeMap<>();
    out.put("ours", Ours::new);
    out.put("ours-no-wait", seed -> new NoWait(new Ours(seed)));
    out.put("least-active", seed -> new LeastActive());
    out.put("round-robin", seed -> new RoundRobin());
    return out;
  }

  /** The product's own selector. */
  final class Ours implements Policy {
    private final TargetSelector selector;

    Ours(long seed) {
      selector = new TargetSelector("z", new Random(seed));
    }

    @Override
    public Selection choose(Need n, List<Candidate> c, EngineCost cost, int entries, long now) {
      return selector.choose(n, c, cost, entries, now);
    }
  }

  /** Another policy, but nothing waits at the entry. */
  final class NoWait implements Policy {
    private final Policy policy;

    NoWait(Policy policy) {
      this.policy = policy;
    }

    @Override
    public Selection choose(Need n, List<Candidate> c, EngineCost cost, int entries, long now) {
      Selection d = policy.choose(n, c, cost, entries, now);
      return d.target() != null || d.waitingLimit() == 0
          ? d
          : new Selection(null, 0, 0, 0, d.reason(), 0, d.pauseMillis());
    }
  }

  /** The group with the fewest requests; never refuses. */
  final class LeastActive implements Policy {
    @Override
    public Selection choose(Need n, List<Candidate> c, EngineCost cost, int entries, long now) {
      return c.stream()
          .min(Comparator.comparingInt(LeastActive::active))
          .map(b -> new Selection(b.instance(), 0, 0, 0, "", 0, 0))
          .orElseGet(() -> new Selection(null, 0, 0, 0, "no-instance", 0, 1_000));
    }

    private static int active(Candidate c) {
      return c.stats().active() + (c.others() == null ? 0 : c.others().active());
    }
  }

  /** Each group in turn; never refuses. */
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
