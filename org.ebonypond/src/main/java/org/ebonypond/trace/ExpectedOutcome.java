package org.ebonypond.trace;

import java.util.ArrayList;
import java.util.List;
import org.ebonypond.control.GroupState;
import org.ebonypond.document.DocumentParser;
import org.ebonypond.document.TableReader;
import org.ebonypond.errors.EbonypondException;

/**
 * The expected outcome of a replay. A bound that is absent from the document is not checked.
 *
 * @param fromMillis the start of the measurement of sums and counts, in milliseconds
 * @param groupsReady the number of groups that are ready at the end, or -1
 * @param maxGroupSecondsDown the maximum group-seconds of downtime, or -1
 * @param maxInstanceSecondsStranded the maximum instance-seconds stranded, or -1
 * @param maxMoves the maximum number of instances added to groups, or -1
 * @param neverTwoGroups whether an instance must never be in two groups
 * @param ordersAfterStepDown the number of orders and reads issued without leadership, or -1
 * @param minWaitMillis the minimum time from the start of a term to its first order or read, in
 *     milliseconds, or -1
 * @param maxDetectionMillis the maximum time after which a silent instance is proposed as down, in
 *     milliseconds, or -1
 * @param maxUnproposedCommits the maximum number of committed commands that the replay does not
 *     propose, or -1
 * @param maxUnmatchedAnswers the maximum number of answers without a matching order or read, or -1
 * @param zonesWithoutGroups the availability zones in which no group may become ready
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
   * Parses an expected outcome.
   *
   * @param toml the TOML text
   * @throws EbonypondException {@code document-…} with the line, the key and a remedy
   */
  public static ExpectedOutcome parse(String toml) {
    TableReader t = new TableReader(DocumentParser.parseToml(toml), "", 1);
    ExpectedOutcome out =
        new ExpectedOutcome(
            t.integer("from_ms", 0, Integer.MAX_VALUE, 0),
            optionalBound(t, "groups_ready"),
            optionalBound(t, "max_group_seconds_down"),
            optionalBound(t, "max_instance_seconds_stranded"),
            optionalBound(t, "max_moves"),
            t.bool("never_two_groups", false),
            optionalBound(t, "orders_after_step_down"),
            optionalBound(t, "min_wait_ms"),
            optionalBound(t, "max_detection_ms"),
            optionalBound(t, "max_unproposed_commits"),
            optionalBound(t, "max_unmatched_answers"),
            t.strings("zones_without_groups"));
    t.rejectUnknownKeys();
    return out;
  }

  private static int optionalBound(TableReader t, String key) {
    return t.integer(key, 0, Integer.MAX_VALUE, -1);
  }

  /** Returns a line for each difference from the expected outcome, or an empty list. */
  public List<String> differences(TraceOutcome actual) {
    List<String> out = new ArrayList<>();
    long ready =
        actual.finalView().groups().values().stream()
            .filter(g -> g.state() == GroupState.READY)
            .count();
    checkEqual("groups_ready", groupsReady, ready, out);
    checkAtMost(
        "max_group_seconds_down", maxGroupSecondsDown, actual.groupMillisDown() / 1_000.0, out);
    checkAtMost(
        "max_instance_seconds_stranded",
        maxInstanceSecondsStranded,
        actual.instanceMillisStranded() / 1_000.0,
        out);
    checkAtMost("max_moves", maxMoves, actual.moves(), out);
    if (neverTwoGroups && actual.twoGroups() > 0) {
      out.add("never_two_groups: seen " + actual.twoGroups() + " times");
    }
    checkEqual("orders_after_step_down", ordersAfterStepDown, actual.ordersAfterStepDown(), out);
    if (minWaitMillis >= 0 && actual.shortestWaitMillis() >= 0) {
      if (actual.shortestWaitMillis() < minWaitMillis) {
        out.add("min_wait_ms: stated " + minWaitMillis + ", was " + actual.shortestWaitMillis());
      }
    }
    checkAtMost("max_detection_ms", maxDetectionMillis, actual.longestDetectionMillis(), out);
    checkAtMost(
        "max_unproposed_commits", maxUnproposedCommits, actual.unproposedCommits().size(), out);
    checkAtMost("max_unmatched_answers", maxUnmatchedAnswers, actual.unmatchedAnswers(), out);
    for (String z : zonesWithoutGroups) {
      if (actual.zonesWithGroups().contains(z)) {
        out.add("zones_without_groups: a group was ready in " + z);
      }
    }
    actual.violations().forEach(v -> out.add("invariant violated: " + v));
    return out;
  }

  private static void checkEqual(String key, int expected, long actual, List<String> out) {
    if (expected >= 0 && actual != expected) {
      out.add(key + ": stated " + expected + ", was " + actual);
    }
  }

  private static void checkAtMost(String key, int limit, double actual, List<String> out) {
    if (limit >= 0 && actual > limit) {
      out.add(key + ": stated at most " + limit + ", was " + actual);
    }
  }
}
