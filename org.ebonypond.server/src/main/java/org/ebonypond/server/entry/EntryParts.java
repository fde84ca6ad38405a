package org.ebonypond.server.entry;

import com.codahale.metrics.MetricRegistry;
import org.ebonypond.admission.RetryBudget;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
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
    MetricRegistry metrics) {
  /**
   * Returns the document that decides about a request.
   *
   * @throws EbonypondException {@code no-capacity} before the first document, or {@code view-stale}
   *     if the document may have been replaced: a caller takes the refusal of an unknown model,
   *     service or workspace as final
   */
  public ServiceDocument currentDocument() {
    if (!follower.mayStart()) {
      throw new EbonypondException(ErrorCode.VIEW_STALE);
    }
    ServiceDocument d = follower.view().document();
    if (d == null) {
      throw new EbonypondException(ErrorCode.NO_CAPACITY);
    }
    return d;
  }
}
