package org.ebonypond.trace;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.control.GroupState;
import org.ebonypond.document.DocumentParser;
import org.ebonypond.document.TableReader;
import org.ebonypond.errors.EbonypondException;

/**
 * The stated outcome of a replay. A bound that is absent is not compared.
 *
 * @param fromMillis the time from which sums and counts are measured, in milliseconds
 * @param groupsReady how many groups are ready at the end, or -1
 * @param maxGroupSecondsDown the most group-seconds down, or -1
 * @param maxInstanceSecondsStranded the most instance-seconds stranded, or -1
 * @param maxMoves the most instances that are put into groups, or -1
 * @param neverTwoGroups whether no instance may be seen in two groups
 * @param ordersAfterStepDown the number of orders and reads without leadership, or -1
 * @param minWaitMillis the least time from the start of a term to its first order or read, in
 *     milliseconds, or -1
 * @param maxDetectionMillis the longest time after which a silent instance is proposed as down, in
 *     milliseconds, or -1
 * @param maxUnproposedCommits the most commands that the replay does not propose, or -1
 * @param maxUnmatchedAnswers the most answers without an exchange, or -1
 * @param zonesWithoutGroups the availability zones in which no group may be ready
 */
public record ExpectedOutcome(
    int fromMillis,
    int groupsReady,
    int maxGroupSecondsDown,
    int maxInstanceSecondsStranded,
    int maxMoves,
    boolean neverTwoGroups,
    int ordersAfterStepDown,
    int minWaitMillis,
    int maxDetectionMillis,
    int maxUnproposedCommits,
    int maxUnmatchedAnswers,
    List<String> zonesWithoutGroups) {
  /** Copies the list. */
  public ExpectedOutcome {
    zonesWithoutGroups = List.copyOf(zonesWithoutGroups);
  }

  /**
   * Parses a stated outcome.
   *
   * @param toml the text
   * @throws EbonypondException {@code document-…} with the line, the key and a remedy
   */
  public static ExpectedOutcome parse(String toml) {
    TableReader t = new TableReader(DocumentParser.parseToml(toml), "", 1);
    ExpectedOutcome out =
        new ExpectedOutcome(
            t.integer("from_ms", 0, Integer.MAX_VALUE, 0),
            bound(t, "groups_ready"),
            bound(t, "max_group_seconds_down"),
            bound(t, "max_instance_seconds_stranded"),
            bound(t, "max_moves"),
            t.bool("never_two_groups", false),
            bound(t, "orders_after_step_down"),
            bound(t, "min_wait_ms"),
            bound(t, "max_detection_ms"),
            bound(t, "max_unproposed_commits"),
            bound(t, "max_unmatched_answers"),
            t.strings("zones_without_groups"));
    t.rejectUnknownKeys();
    return out;
  }

  private static int bound(TableReader t, String key) {
    return t.integer(key, 0, Integer.MAX_VALUE, -1);
  }

  /** Returns a line for each difference, empty if the outcome is as stated. */
  public List<String> differences(TraceOutcome o) {
    List<String> out = new ArrayList<>();
    long ready =
        o.finalView().groups().values().stream().filter(g -> g.state() == GroupState.READY).count();
    exactly("groups_ready", groupsReady, ready, out);
    atMost("max_group_seconds_down", maxGroupSecondsDown, o.groupMillisDown() / 1_000.0, out);
    atMost(
        "max_instance_seconds_stranded",
        maxInstanceSecondsStranded,
        o.instanceMillisStranded() / 1_000.0,
        out);
    atMost("max_moves", maxMoves, o.moves(), out);
    if (neverTwoGroups && o.twoGroups() > 0) {
      out.add("never_two_groups: seen " + o.twoGroups() + " times");
    }
    exactly("orders_after_step_down", ordersAfterStepDown, o.ordersAfterStepDown(), out);
    if (minWaitMillis >= 0 && o.shortestWaitMillis() >= 0) {
      if (o.shortestWaitMillis() < minWaitMillis) {
        out.add("min_wait_ms: stated " + minWaitMillis + ", was " + o.shortestWaitMillis());
      }
    }
    atMost("max_detection_ms", maxDetectionMillis, o.longestDetectionMillis(), out);
    atMost("max_unproposed_commits", maxUnproposedCommits, o.unproposedCommits().size(), out);
    atMost("max_unmatched_answers", maxUnmatchedAnswers, o.unmatchedAnswers(), out);
    for (String z : zonesWithoutGroups) {
      if (o.zonesWithGroups().contains(z)) {
        out.add("zones_without_groups: a group was ready in " + z);
      }
    }
    o.violations().forEach(v -> out.add("invariant violated: " + v));
    return out;
  }

  private static void exactly(String key, int stated, long was, List<String> out) {
    if (stated >= 0 && was != stated) {
      out.add(key + ": stated " + stated + ", was " + was);
    }
  }

  private static void atMost(String key, int stated, double was, List<String> out) {
    if (stated >= 0 && was > stated) {
      out.add(key + ": stated at most " + stated + ", was " + was);
    }
  }
}
