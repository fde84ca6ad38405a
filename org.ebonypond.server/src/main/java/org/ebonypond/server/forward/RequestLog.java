package org.ebonypond.server.forward;

import java.util.Collection;
import java.util.List;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.forward.InstanceStats;
import org.ebonypond.forward.TargetSelector;
import org.ebonypond.quarantine.RequestTraits;
import org.ebonypond.server.fleet.FleetView;
import org.ebonypond.serving.RouteRule;
import org.ebonypond.time.TimerService;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs one line for each decision about a request, with the inputs of the decision. {@code
 * docs/OPERATIONS.md} lists the lines.
 */
final class RequestLog {
  private static final Logger LOG = LoggerFactory.getLogger("ebonypond.requests");

  /** Characters of the host and path in a line; paths come from callers and may have 16 KB. */
  private static final int MAX_TARGET_CHARS = 100;

  private final String id;
  private final TimerService timers;
  private final long receivedAt;

  /**
   * Creates the log of a request.
   *
   * @param id the identifier of the request
   * @param receivedAt when it was received, in milliseconds of the timer service
   */
  RequestLog(String id, TimerService timers, long receivedAt) {
    this.id = id;
    this.timers = timers;
    this.receivedAt = receivedAt;
  }

  /**
   * Logs that a request is sent.
   *
   * @param view the view whose configuration has chosen the service
   * @param relay the address of the entry that relays the connection; null for a direct connection
   */
  void sent(
      String cause,
      FleetView view,
      FleetInstance target,
      TargetSelector.Selection selection,
      @Nullable String relay,
      Dispatch dispatch,
      InstanceStats stats,
      @Nullable InstanceLoad loadOfOthers) {
    event()
        .addKeyValue("cause", cause)
        .addKeyValue("instance", target.id())
        .addKeyValue("zone", target.zone())
        .addKeyValue("relay", relay == null ? "" : relay)
        .addKeyValue("urgency", selection.urgency())
        .addKeyValue("predicted_first_ms", Math.round(selection.firstMillis()))
        .addKeyValue("own_active", stats.active())
        .addKeyValue("others_active", loadOfOthers == null ? 0 : loadOfOthers.active())
        .addKeyValue("resume_after", dispatch.resumeAfter())
        .addKeyValue("left_ms", dispatch.remainingMillis())
        .addKeyValue("config", view.version())
        .addKeyValue("config_age_ms", view.configAgeMillis(timers.nowMillis()))
        .log("request sent");
  }

  /**
   * Logs that an instance makes no progress with a request, which is sent to a second one as well.
   *
   * @param silentMillis the time since bytes last arrived from the instance, in milliseconds
   * @param limitMillis the time after which it counts as stalled, in milliseconds
   */
  void stalled(String instance, int sends, long silentMillis, long limitMillis) {
    event()
        .addKeyValue("instance", instance)
        .addKeyValue("sends", sends)
        .addKeyValue("silent_ms", silentMillis)
        .addKeyValue("limit_ms", limitMillis)
        .addKeyValue("took_ms", tookMillis())
        .log("request stalled");
  }

  /**
   * Logs that an attempt is ended because another one answers.
   *
   * @param instance the instance of the ended attempt
   * @param by the instance that answers
   */
  void superseded(String instance, String by) {
    event()
        .addKeyValue("instance", instance)
        .addKeyValue("by", by)
        .addKeyValue("took_ms", tookMillis())
        .log("attempt ended for another one");
  }

  void waits(String cause, long atMostMillis) {
    event()
        .addKeyValue("cause", cause)
        .addKeyValue("took_ms", tookMillis())
        .addKeyValue("at_most_ms", atMostMillis)
        .log("request waits");
  }

  void cancelled(String reason, List<String> instances, int sends) {
    event()
        .addKeyValue("reason", reason)
        .addKeyValue("instances", instances)
        .addKeyValue("sends", sends)
        .addKeyValue("took_ms", tookMillis())
        .log("request cancelled");
  }

  void mismatchedAnswer(String instance, @Nullable String answeredId) {
    LOG.atWarn()
        .addKeyValue("request", id)
        .addKeyValue("instance", instance)
        .addKeyValue("answers", answeredId)
        .log("answer to another request dropped");
  }

  /**
   * Logs the number of answers to other requests on one connection.
   *
   * @param dropped the number, with the one that was logged on its own
   */
  void mismatchedAnswers(String instance, int dropped) {
    LOG.atWarn()
        .addKeyValue("request", id)
        .addKeyValue("instance", instance)
        .addKeyValue("dropped", dropped)
        .log("answers to other requests dropped");
  }

  void backendRefused(String instance, BackendReply r) {
    event()
        .addKeyValue("instance", instance)
        .addKeyValue("status", r.status())
        .addKeyValue("culprit", r.blockingInstance())
        .log("backend server refused a request");
  }

  /**
   * Logs an attempt that failed.
   *
   * @param began whether the instance had begun to write an answer
   * @param request what the request has in common with others
   */
  void sendFailed(
      FleetInstance target, boolean sent, boolean began, RequestTraits request, String cause) {
    event()
        .addKeyValue("instance", target.id())
        .addKeyValue("address", target.address())
        .addKeyValue("sent", sent)
        .addKeyValue("began", began)
        .addKeyValue("identity", Long.toHexString(request.request()))
        .addKeyValue("parts", hex(request.parts()))
        .addKeyValue("cause", cause)
        .log("send failed");
  }

  void quarantined(Collection<Long> parts) {
    event()
        .addKeyValue("parts", hex(parts))
        .log("request is quarantined, or has quarantined prompt parts");
  }

  private static List<String> hex(Collection<Long> parts) {
    return parts.stream().map(Long::toHexString).toList();
  }

  /**
   * Logs that a started answer ends incomplete.
   *
   * @param remainingMillis the caller's time that was left, in milliseconds
   */
  void brokenOff(String route, String reason, CallAttempts attempts, long remainingMillis) {
    LOG.atWarn()
        .addKeyValue("request", id)
        .addKeyValue("route", route)
        .addKeyValue("reason", reason)
        .addKeyValue("sends", attempts.sends())
        .addKeyValue("left_instances", attempts.left())
        .addKeyValue("tried", attempts.tried())
        .addKeyValue("left_ms", remainingMillis)
        .addKeyValue("took_ms", tookMillis())
        .log("answer broken off");
  }

  /**
   * Logs a refusal.
   *
   * @param target the host and the path of the request
   * @param view the view whose configuration decided
   */
  void refused(
      String target,
      String route,
      String workspace,
      int status,
      String reason,
      CallAttempts attempts,
      FleetView view,
      long predictedEndMillis,
      long remainingMillis,
      long retryAfterMillis) {
    event()
        .addKeyValue("target", target.substring(0, Math.min(target.length(), MAX_TARGET_CHARS)))
        .addKeyValue("route", route)
        .addKeyValue("workspace", workspace)
        .addKeyValue("status", status)
        .addKeyValue("reason", reason)
        .addKeyValue("sends", attempts.sends())
        .addKeyValue("tried", attempts.tried())
        .addKeyValue("config", view.version())
        .addKeyValue("config_age_ms", view.configAgeMillis(timers.nowMillis()))
        .addKeyValue("config_source", view.configSource())
        .addKeyValue("newest_config", view.newestVersion())
        .addKeyValue("confirmed_by", view.confirmationSource())
        .addKeyValue("predicted_end_ms", predictedEndMillis)
        .addKeyValue("left_ms", remainingMillis)
        .addKeyValue("took_ms", tookMillis())
        .addKeyValue("retry_after_ms", retryAfterMillis)
        .log("request refused");
  }

  void answered(
      RouteRule route,
      String instance,
      int status,
      int sends,
      long firstMillis,
      long longestGapMillis) {
    event()
        .addKeyValue("route", route.name())
        .addKeyValue("instance", instance)
        .addKeyValue("status", status)
        .addKeyValue("sends", sends)
        .addKeyValue("first_ms", firstMillis)
        .addKeyValue("target_ms", route.targetMillis())
        .addKeyValue("longest_gap_ms", longestGapMillis)
        .addKeyValue("gap_target_ms", route.maxGapMillis())
        .addKeyValue("took_ms", tookMillis())
        .log("request answered");
  }

  private LoggingEventBuilder event() {
    return LOG.atInfo().addKeyValue("request", id);
  }

  private long tookMillis() {
    return timers.nowMillis() - receivedAt;
  }
}
