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

  /** Returns the text of all metrics; times are in seconds. */
  public static String write(MetricRegistry registry) {
    StringBuilder out = new StringBuilder();
    for (Map.Entry<String, Metric> e : new TreeMap<>(registry.getMetrics()).entrySet()) {
      String name = "ebonypond_" + e.getKey().replaceAll("[^A-Za-z0-9_]", "_");
      writeMetric(out, name, e.getValue());
    }
    return out.toString();
  }

  private static void writeMetric(StringBuilder out, String name, Metric m) {
    if (m instanceof Gauge<?> g && g.getValue() instanceof Number v) {
      out.append("# TYPE ").append(name).append(" gauge\n");
      line(out, name, v.doubleValue());
      return;
    }
    if (m instanceof Sampling s) {
      double scale = m instanceof Timer ? NANOS_PER_SECOND : 1;
      Snapshot q = s.getSnapshot();
      out.append("# TYPE ").append(name).append(" summary\n");
      line(out, name + "{quantile=\"0.5\"}", q.getMedian() / scale);
      line(out, name + "{quantile=\"0.95\"}", q.get95thPercentile() / scale);
      line(out, name + "{quantile=\"0.99\"}", q.get99thPercentile() / scale);
    }
    if (m instanceof Counting c) {
      String suffix = m instanceof Sampling ? "_count" : "_total";
      if (!(m instanceof Sampling)) {
        out.append("# TYPE ").append(name).append(suffix).append(" counter\n");
      }
      line(out, name + suffix, c.getCount());
    }
  }

  private static void line(StringBuilder out, String name, double value) {
    out.append(name).append(' ').append(value).append('\n');
  }
}
