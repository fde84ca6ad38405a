package org.ebonypond.server.fleet;

import org.ebonypond.fleet.GroupDecision;
import org.ebonypond.fleet.GroupDecision.GivenUp;
import org.ebonypond.fleet.GroupDecision.Head;
import org.ebonypond.fleet.GroupDecision.Held;
import org.ebonypond.fleet.GroupDecision.Returned;
import org.ebonypond.fleet.GroupDecision.Taken;
import org.ebonypond.fleet.GroupDecision.TermStarted;
import org.ebonypond.server.logging.LogMarkers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes one line for each decision of the leader, with what it was based on. */
final class DecisionLog {
  private static final Logger LOG = LoggerFactory.getLogger(DecisionLog.class);

  private final ReplicaMetrics metrics;

  DecisionLog(ReplicaMetrics metrics) {
    this.metrics = metrics;
  }

  void write(String service, GroupDecision d) {
    if (d instanceof TermStarted t) {
      writeTerm(service, t);
    } else if (d instanceof GivenUp g) {
      writeGivenUp(g);
    } else if (d instanceof Held h) {
      writeHeld(h);
    } else if (d instanceof Returned r) {
      writeReturned(r);
    } else if (d instanceof Taken t) {
      metrics.joined(t.evidence());
      writeTaken(t);
    } else {
      throw new IllegalArgumentException("unexpected decision " + d);
    }
  }

  private static void writeTerm(String service, TermStarted t) {
    LOG.atInfo()
        .addMarker(LogMarkers.STATE)
        .addKeyValue("service", service)
        .addKeyValue("term", t.term())
        .addKeyValue("instances", t.instances())
        .addKeyValue("in_groups", t.inGroups())
        .addKeyValue("oldest_ms", t.oldestMillis())
        .addKeyValue("median_ms", t.medianMillis())
        .log("first round of the term");
  }

  private static void writeGivenUp(GivenUp g) {
    LoggingEventBuilder line =
        LOG.atInfo()
            .addKeyValue("group", g.group())
            .addKeyValue("epoch", g.epoch())
            .addKeyValue("reason", g.cause().reason())
            .addKeyValue("member", g.cause().member())
            .addKeyValue("for_ms", g.cause().millis())
            .addKeyValue("outcome", g.cause().outcome());
    addHead(line, g.head()).log("group given up");
  }

  private static void writeHeld(Held h) {
    LoggingEventBuilder line =
        LOG.atInfo()
            .addKeyValue("group", h.group())
            .addKeyValue("epoch", h.epoch())
            .addKeyValue("join_ms", h.joinMillis())
            .addKeyValue("open_ms", h.openMillis())
            .addKeyValue("left_ms", h.leftMillis());
    addHead(line, h.head()).log("group kept for late orders");
  }

  private static void writeReturned(Returned r) {
    LOG.atInfo()
        .addKeyValue("instance", r.instance())
        .addKeyValue("group", r.group())
        .addKeyValue("epoch", r.epoch())
        .addKeyValue("left_ms", r.leftMillis())
        .addKeyValue("join_ms", r.joinMillis())
        .addKeyValue("open_ms", r.openMillis())
        .log("instance returned to a group that it had left");
  }

  private static void writeTaken(Taken t) {
    LoggingEventBuilder line =
        LOG.atInfo()
            .addKeyValue("instance", t.instance())
            .addKeyValue("age_ms", t.ageMillis())
            .addKeyValue("group", t.group())
            .addKeyValue("epoch", t.epoch())
            .addKeyValue("evidence", t.evidence())
            .addKeyValue("waited_ms", t.waitedMillis())
            .addKeyValue("outcome", t.outcome())
            .addKeyValue("old_group", t.oldGroup())
            .addKeyValue("old_epoch", t.oldEpoch())
            .addKeyValue("left_ms", t.leftMillis());
    addHead(line, t.oldHead()).log("instance taken for a group");
  }

  private static LoggingEventBuilder addHead(LoggingEventBuilder line, Head h) {
    return line.addKeyValue("head", h.id())
        .addKeyValue("head_state", h.state())
        .addKeyValue("head_age_ms", h.ageMillis());
  }
}
