package org.ebonypond.server.entry;

import com.codahale.metrics.MetricRegistry;
import org.ebonypond.admission.RetryBudget;
import org.ebonypond.events.EventSink;
import org.ebonypond.routing.RouterState;
import org.ebonypond.server.control.ViewFollower;
import org.ebonypond.time.TimerService;

/**
 * The components of an entry that every request uses.
 *
 * @param timers the clock and the timers
 * @param events receives the events
 * @param follower the control view and its lease
 * @param gate admission and routing
 * @param routing the entry's loads, prefix hints and latency scores
 * @param budget the retry budget
 * @param tracker counts the requests in flight and drives the shutdown
 * @param metrics the metrics of the process
 */
public record EntryParts(
    TimerService timers,
    EventSink events,
    ViewFollower follower,
    RequestGate gate,
    RouterState routing,
    RetryBudget budget,
    RequestTracker tracker,
    MetricRegistry metrics) {}
