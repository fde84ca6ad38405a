package org.ebonypond.server.http;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Writes a metric registry in the Prometheus text format. */
public final class PrometheusText {
  /** The content type of the format. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private PrometheusText() {}

  /**
   * Returns all metrics; timer durations are in seconds. The name of a metric may end with labels,
   * as in {@code sends{kind="safe"}}.
   */
  public static String write(MetricRegistry registry) {
    StringBuilder out = new StringBuilder();
    for (Map.Entry<String, Metric> e : new TreeMap<>(registry.getMetrics()).entrySet()) {
      String key = e.getKey();
      int brace = key.indexOf('{');
      String base = brace < 0 ? key : key.substring(0, brace);
      String labels = brace < 0 ? "" : key.substring(brace + 1, key.length() - 1);
      String name = "ebonypond_" + base.replaceAll("[^A-Za-z0-9_]", "_");
      writeMetric(out, name, labels, e.getValue());
    }
    return out.toString();
  }

  private static void writeMetric(StringBuilder out, String name, String labels, Metric m) {
    if (m instanceof Gauge<?> g && g.getValue() instanceof Number v) {
      out.append("# TYPE ").append(name).append(" gauge\n");
      writeSample(out, name, labels, v.doubleValue());
      return;
    }
    if (m instanceof Sampling s) {
      double scale = m instanceof Timer ? NANOS_PER_SECOND : 1;
      Snapshot q = s.getSnapshot();
      out.append("# TYPE ").append(name).append(" summary\n");
      writeSample(out, name, addLabel(labels, "quantile=\"0.5\""), q.getMedian() / scale);
      writeSample(out, name, addLabel(labels, "quantile=\"0.95\""), q.get95thPercentile() / scale);
      writeSample(out, name, addLabel(labels, "quantile=\"0.99\""), q.get99thPercentile() / scale);
    }
    if (m instanceof Counting c) {
      String suffix = m instanceof Sampling ? "_count" : "_total";
      if (!(m instanceof Sampling)) {
        out.append("# TYPE ").append(name).append(suffix).append(" counter\n");
      }
      writeSample(out, name + suffix, labels, c.getCount());
    }
  }

  private static String addLabel(String labels, String label) {
    return labels.isEmpty() ? label : labels + "," + label;
  }

  private static void writeSample(StringBuilder out, String name, String labels, double value) {
    out.append(name);
    if (!labels.isEmpty()) {
      out.append('{').append(labels).append('}');
    }
    out.append(' ').append(value).append('\n');
  }
}
