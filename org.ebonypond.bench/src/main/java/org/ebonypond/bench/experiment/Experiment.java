package org.ebonypond.bench.experiment;

import java.awt.Color;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Simulates load patterns with several policies and compares the credit that their answers earn.
 * Arguments: the folder for the CSV file and the plots, the number of seeds (default 3) and the
 * multiple of the usual load (default 1).
 */
public final class Experiment {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 420;
  private static final int EXIT_USAGE = 2;

  private Experiment() {}

  /**
   * Runs every pattern with every policy, writes the CSV file and the plots and prints the means
   * over the seeds.
   */
  public static void main(String[] args) throws IOException {
    int seeds;
    double load;
    try {
      seeds = args.length > 1 ? Integer.parseInt(args[1]) : 3;
      load = args.length > 2 ? Double.parseDouble(args[2]) : 1;
    } catch (NumberFormatException e) {
      System.err.println("usage: experiment FOLDER [SEEDS] [LOAD]; " + e.getMessage());
      System.exit(EXIT_USAGE);
      return;
    }
    if (args.length == 0 || seeds < 1 || load <= 0) {
      System.err.println("usage: experiment FOLDER [SEEDS] [LOAD]");
      System.exit(EXIT_USAGE);
      return;
    }
    Path folder = Files.createDirectories(Path.of(args[0]));
    System.setProperty("java.awt.headless", "true");
    Path csv = folder.resolve("experiment.csv");
    try (PrintStream out = new PrintStream(csv.toFile(), StandardCharsets.UTF_8)) {
      out.println(
          "pattern,policy,seed,whole,worst_windows,worst_kind,asked,on_time,late,refused,"
              + "first_p50_ms,first_p99_ms");
      System.out.printf(
          "%-11s %-13s %6s %8s %6s %7s %5s %8s%n",
          "pattern", "policy", "whole", "windows", "kind", "late", "refd", "p99 ms");
      for (Pattern p : Pattern.values()) {
        plot(folder, p, compare(p, seeds, load, out));
      }
    }
    System.out.println("written: " + csv + " and a plot for each pattern");
  }

  /** Runs a pattern with each policy; returns the mean credit ratio per window by policy name. */
  private static Map<String, List<Double>> compare(
      Pattern p, int seeds, double load, PrintStream csv) {
    Map<String, List<Double>> curves = new TreeMap<>();
    for (Map.Entry<String, Policy.Factory> e : Policy.all().entrySet()) {
      List<Result> runs = new ArrayList<>();
      for (long seed = 1; seed <= seeds; seed++) {
        Result r = new Trial(p, e.getValue(), load, seed).run();
        runs.add(r);
        csv.printf(
            Locale.ROOT,
            "%s,%s,%d,%.4f,%.4f,%.4f,%d,%d,%d,%d,%d,%d%n",
            name(p),
            e.getKey(),
            seed,
            r.overallRatio(),
            r.worstWindowsRatio(),
            r.worstKindRatio(),
            r.requests(),
            r.onTime(),
            r.late(),
            r.refused(),
            r.firstMillis(50),
            r.firstMillis(99));
      }
      System.out.printf(
          Locale.ROOT,
          "%-11s %-13s %6.3f %8.3f %6.3f %7.0f %5.0f %8.0f%n",
          name(p),
          e.getKey(),
          runs.stream().mapToDouble(Result::overallRatio).average().orElse(0),
          runs.stream().mapToDouble(Result::worstWindowsRatio).average().orElse(0),
          runs.stream().mapToDouble(Result::worstKindRatio).average().orElse(0),
          runs.stream().mapToInt(Result::late).average().orElse(0),
          runs.stream().mapToInt(Result::refused).average().orElse(0),
          runs.stream().mapToLong(r -> r.firstMillis(99)).average().orElse(0));
      curves.put(e.getKey(), mean(runs));
    }
    return curves;
  }

  private static List<Double> mean(List<Result> runs) {
    List<Double> out = new ArrayList<>();
    int n = runs.stream().mapToInt(r -> r.windowRatios().size()).min().orElse(0);
    for (int i = 0; i < n; i++) {
      int window = i;
      out.add(runs.stream().mapToDouble(r -> r.windowRatios().get(window)).average().orElse(0));
    }
    return out;
  }

  private static String name(Pattern p) {
    return p.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static void plot(Path folder, Pattern p, Map<String, List<Double>> curves)
      throws IOException {
    XYSeriesCollection data = new XYSeriesCollection();
    curves.forEach(
        (policy, values) -> {
          XYSeries s = new XYSeries(policy);
          for (int i = 0; i < values.size(); i++) {
            s.add(i * Result.WINDOW_MILLIS / 1_000.0, values.get(i));
          }
          data.addSeries(s);
        });
    JFreeChart chart = ChartFactory.createXYLineChart(name(p), "arrival (s)", "credit ratio", data);
    chart.getPlot().setBackgroundPaint(Color.WHITE);
    chart.getXYPlot().getRangeAxis().setRange(0, 1.02);
    Path file = folder.resolve(name(p) + ".png");
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
  }
}
