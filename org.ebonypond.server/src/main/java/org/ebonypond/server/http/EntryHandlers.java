package org.ebonypond.server.http;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ebonypond.admission.RetryPolicy;
import org.ebonypond.server.backend.EngineClient;
import org.ebonypond.server.backend.ServiceClient;
import org.ebonypond.server.control.AnnouncementRelay;
import org.ebonypond.server.control.EntryInfo;
import org.ebonypond.server.control.ProposalClient;
import org.ebonypond.server.entry.EntryIncarnation;
import org.ebonypond.server.entry.EntryParts;
import org.ebonypond.server.entry.LedgerClient;
import org.ebonypond.server.events.EventLog;
import ratpack.func.Action;
import ratpack.handling.Chain;

/** The routes of an entry's HTTP server. */
public final class EntryHandlers implements Action<Chain> {
  private final EntryParts parts;
  private final CompletionHandler completions;
  private final ServiceHandler services;
  private final AnnounceHandler announcements;
  private final AdminHandlers admin;

  /**
   * Creates the handlers.
   *
   * @param parts the components of the entry
   * @param engines sends completions to engines
   * @param services sends calls to plain services
   * @param policy decides whether a call is retried
   * @param ledger the client of the request ledger
   * @param relay forwards the announcements of backend servers
   * @param proposals proposes operators' changes to the control leader
   * @param events the event log
   * @param incarnation the incarnation of this entry
   * @param self describes this entry to operators
   * @param wallMillis supplies wall time in milliseconds since the epoch
   */
  public EntryHandlers(
      EntryParts parts,
      EngineClient engines,
      ServiceClient services,
      RetryPolicy policy,
      LedgerClient ledger,
      AnnouncementRelay relay,
      ProposalClient proposals,
      EventLog events,
      EntryIncarnation incarnation,
      Supplier<EntryInfo> self,
      LongSupplier wallMillis) {
    this.parts = parts;
    this.completions = new CompletionHandler(parts, engines);
    this.services = new ServiceHandler(parts, policy, ledger, services, incarnation, wallMillis);
    this.announcements = new AnnounceHandler(relay, wallMillis);
    this.admin = new AdminHandlers(self, parts.follower(), proposals, events);
  }

  @Override
  public void execute(Chain chain) throws Exception {
    chain
        .post("v1/chat/completions", completions)
        .path("services/:service", services)
        .prefix("services/:service", c -> c.all(services))
        .post("platform/v1/announce", announcements)
        .prefix("admin/v1", admin)
        .get("health/live", ctx -> Responses.json(ctx, 200, "{\"live\":true}"))
        .get(
            "health/ready",
            ctx -> {
              boolean ready = isReady(parts);
              Responses.json(ctx, ready ? 200 : 503, "{\"ready\":" + ready + "}");
            })
        .get(
            "metrics",
            ctx ->
                ctx.getResponse()
                    .contentType(PrometheusText.CONTENT_TYPE)
                    .send(PrometheusText.write(parts.metrics())));
  }

  /** Returns whether the load balancer may send requests to this entry. */
  public static boolean isReady(EntryParts parts) {
    return parts.tracker().isReady()
        && parts.follower().mayStart()
        && parts.follower().view().document() != null;
  }
}
