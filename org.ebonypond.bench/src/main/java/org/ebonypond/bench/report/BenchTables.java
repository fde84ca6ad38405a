package org.ebonypond.bench.report;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the tables that the benchmarks print into rows. Each method throws an exception if it
 * finds fewer lines than it expects, so that a changed table format cannot silently drop rows.
 */
final class BenchTables {
  private static final Pattern COMMIT =
      Pattern.compile("(.*?) +(\\d+) +(\\d+) +([\\d.]+) +([\\d.]+)");
  private static final Pattern RECOVERY = Pattern.compile(" +(\\d+) +([\\d.]+) +([\\d.]+)");
  private static final Pattern ROUTING =
      Pattern.compile("(\\S+) +(\\d+) +(\\d+) +(\\d+) +([\\d.]+) +(\\d+)");
  private static final Pattern PLACEMENT =
      Pattern.compile(
          " *(\\d+) +(\\S+) +([\\d.]+) / ([\\d.]+) +([\\d.]+) / ([\\d.]+)"
              + " +([\\d.]+) / ([\\d.]+) +([\\d.]+) / ([\\d.]+)");
  private static final Pattern LEDGER = Pattern.compile("(.*?) +([\\d,]+\\.\\d)");
  private static final Map<String, String> COMMITS =
      Map.of(
          "one sync for each record", "log.sync-each",
          "group commit, 1 replica(s)", "log.group.r1",
          "group commit, 3 replica(s)", "log.group.r3");
  private static final Map<String, String[]> LEDGER_LINES =
      Map.of(
          "applies per second, one thread", new String[] {"ledger.applies", "1/s"},
          "heap bytes per record", new String[] {"ledger.heap", "B/record"},
          "estimated bytes per record", new String[] {"ledger.estimate", "B/record"},
          "snapshot, ns per record", new String[] {"ledger.snapshot.time", "ns/record"},
          "snapshot bytes per record", new String[] {"ledger.snapshot.size", "B/record"},
          "restore, ns per record", new String[] {"ledger.restore.time", "ns/record"},
          "AtMostOnceCall, ns per call", new String[] {"ledger.call", "ns"},
          "RequestDigest, ns per call", new String[] {"ledger.digest", "ns"},
          "ShareHolder start and end, ns per request", new String[] {"ledger.share", "ns"});
  private static final String[] SCENARIOS = {"first", "idle", "member-lost", "domain-lost"};

  private BenchTables() {}

  static void log(List<String> lines, Rows rows) {
    int found = 0;
    for (String line : lines) {
      Matcher c = COMMIT.matcher(line);
      Matcher r = RECOVERY.matcher(line);
      if (r.matches()) {
        rows.add("log.recovery." + r.group(1) + ".read", number(r.group(2)), "ms", "LogBench");
        rows.add("log.recovery." + r.group(1) + ".apply", number(r.group(3)), "ms", "LogBench");
        found++;
      } else if (c.matches() && COMMITS.containsKey(c.group(1))) {
        String id = COMMITS.get(c.group(1)) + "." + c.group(2);
        rows.add(id + ".rate", number(c.group(3)), "records/s", "LogBench");
        rows.add(id + ".p50", number(c.group(4)), "ms", "LogBench");
        rows.add(id + ".p99", number(c.group(5)), "ms", "LogBench");
        found++;
      }
    }
    require(found, 12, "LogBench");
  }

  static void ledger(List<String> lines, Rows rows) {
    int found = 0;
    for (String line : lines) {
      Matcher m = LEDGER.matcher(line);
      String[] row = m.matches() ? LEDGER_LINES.get(m.group(1)) : null;
      if (row != null) {
        rows.add(row[0], number(m.group(2)), row[1], "LedgerBench");
        found++;
      }
    }
    require(found, LEDGER_LINES.size(), "LedgerBench");
  }

  static void routing(List<String> lines, Rows rows) {
    int found = 0;
    for (String line : lines) {
      Matcher m = ROUTING.matcher(line);
      if (!m.matches()) {
        continue;
      }
      String id = "decide." + m.group(1) + "." + m.group(2);
      rows.add(id + ".t" + m.group(3), number(m.group(4)), "decisions/s", "RoutingBench");
      if (m.group(3).equals("1")) {
        rows.add(id + ".memory", number(m.group(6)), "B/group", "RoutingBench");
        if (m.group(1).equals("round-robin")) {
          rows.add("decide.table." + m.group(2), number(m.group(5)), "ms", "RoutingBench");
        }
      }
      found++;
    }
    require(found, 24, "RoutingBench");
  }

  static void placement(List<String> lines, Rows rows) {
    int found = 0;
    for (String line : lines) {
      Matcher m = PLACEMENT.matcher(line);
      if (!m.matches()) {
        continue;
      }
      for (int i = 0; i < SCENARIOS.length; i++) {
        String id = String.join(".", "place", m.group(2), m.group(1), SCENARIOS[i]);
        rows.add(id + ".p50", number(m.group(3 + 2 * i)), "ms", "PlacementBench");
        rows.add(id + ".max", number(m.group(4 + 2 * i)), "ms", "PlacementBench");
      }
      found++;
    }
    require(found, 8, "PlacementBench");
  }

  private static double number(String text) {
    return Double.parseDouble(text.replace(",", ""));
  }

  private static void require(int found, int expected, String bench) {
    if (found < expected) {
      throw new IllegalStateException(
          String.format(Locale.ROOT, "%s printed %d of %d expected lines", bench, found, expected));
    }
  }
}
