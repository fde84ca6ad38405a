package org.ebonypond.server.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlResult;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupRecord;
import org.ebonypond.control.InstanceRecord;
import org.ebonypond.document.DocumentParser;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.errors.Outcome;
import org.ebonypond.events.Event;
import org.ebonypond.server.control.EntryInfo;
import org.ebonypond.server.control.LeaderDigest;
import org.ebonypond.server.control.ProposalClient;
import org.ebonypond.server.control.ReplicaChannels;
import org.ebonypond.server.control.ViewFollower;
import org.ebonypond.server.events.EventLog;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** The operator API below {@code /admin/v1}. */
final class AdminHandlers implements Action<Chain> {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long PROPOSAL_TIMEOUT_MILLIS = 5_000;
  private static final int MAX_EVENTS = 1_000;

  private final Supplier<EntryInfo> self;
  private final ViewFollower follower;
  private final ProposalClient proposals;
  private final EventLog events;

  AdminHandlers(
      Supplier<EntryInfo> self, ViewFollower follower, ProposalClient proposals, EventLog events) {
    this.self = self;
    this.follower = follower;
    this.proposals = proposals;
    this.events = events;
  }

  @Override
  public void execute(Chain chain) {
    chain
        .path("document", ctx -> ctx.byMethod(m -> m.get(this::document).put(this::apply)))
        .post("zones/:zone/:direction", this::zone)
        .get("status", this::status)
        .get("events", this::events);
  }

  private void document(Context ctx) {
    ServiceDocument d = follower.view().document();
    if (d == null) {
      Responses.problem(
          ctx,
          new Problem(404, ErrorCode.BAD_REQUEST, Outcome.NOT_RUN, "no document is in force", -1),
          "");
      return;
    }
    ctx.getResponse().getHeaders().set("Ebonypond-Document-Version", d.version());
    ctx.getResponse().contentType("application/toml").send(d.source());
  }

  private void apply(Context ctx) {
    ctx.getRequest()
        .getBody()
        .then(
            body -> {
              String content = body.getText();
              ServiceDocument d;
              try {
                d = DocumentParser.parse(content);
              } catch (EbonypondException e) {
                Responses.problem(ctx, Problem.of(e), "");
                return;
              }
              propose(
                  ctx, new ControlCommand.ApplyDocument(d.version(), content, operationId(ctx)));
            });
  }

  private void zone(Context ctx) {
    String direction = ctx.getPathTokens().get("direction");
    boolean out = "out".equals(direction);
    if (!out && !"in".equals(direction)) {
      ctx.next();
      return;
    }
    String zone = String.valueOf(ctx.getPathTokens().get("zone"));
    ctx.getRequest()
        .getBody()
        .then(body -> propose(ctx, new ControlCommand.SetZone(zone, out, operationId(ctx))));
  }

  private void propose(Context ctx, ControlCommand c) {
    CompletableFuture<ControlResult> result =
        proposals
            .propose(ReplicaChannels.CONTROL, MessagePackCodec.encode(c), PROPOSAL_TIMEOUT_MILLIS)
            .thenApply(r -> MessagePackCodec.decode(r.result(), ControlResult.class));
    Promise.<Reply>async(
            downstream -> result.whenComplete((r, e) -> downstream.success(new Reply(r, cause(e)))))
        .then(reply -> answer(ctx, reply));
  }

  private void answer(Context ctx, Reply reply) {
    ControlResult r = reply.result;
    if (r == null) {
      boolean notSent = reply.failure instanceof ProposalClient.ProposalFailure f && f.notSent();
      Responses.problem(
          ctx, notSent ? Problem.notRun(ErrorCode.NO_QUORUM, 1) : Problem.outcomeUnknown(), "");
      return;
    }
    follower.poll();
    boolean duplicate = r instanceof ControlResult.Duplicate;
    ControlResult first = r instanceof ControlResult.Duplicate d ? d.first() : r;
    if (first instanceof ControlResult.Rejected x) {
      Responses.problem(ctx, Problem.rejected(x.code(), x.message()), "");
      return;
    }
    ControlResult.Accepted a = (ControlResult.Accepted) first;
    ObjectNode n = JSON.createObjectNode();
    n.put("index", a.index()).put("version", a.documentVersion()).put("duplicate", duplicate);
    Responses.json(ctx, 200, n.toString());
  }

  private void status(Context ctx) {
    Promise.<ListedEntries>async(
            downstream ->
                follower.refreshEntries().thenAccept(d -> downstream.success(new ListedEntries(d))))
        .then(listed -> status(ctx, listed.digest));
  }

  private void status(Context ctx, @Nullable LeaderDigest digest) {
    ControlView v = follower.view();
    EntryInfo entry = self.get();
    ObjectNode body = JSON.createObjectNode();
    body.put("node", entry.node()).put("zone", entry.zone()).put("address", entry.address());
    body.put("viewIndex", v.index())
        .put("viewFresh", follower.mayStart())
        .put("ready", entry.ready());
    body.put("leader", follower.leader());
    if (v.document() != null) {
      body.putObject("document").put("version", v.document().version());
    }
    ArrayNode out = body.putArray("zonesOut");
    v.zonesOut().stream().sorted().forEach(out::add);
    ArrayNode entries = body.putArray("entries");
    if (digest == null) {
      entries.addObject().put("node", entry.node()).put("address", entry.address());
    } else {
      for (EntryInfo e : digest.entries()) {
        entries
            .addObject()
            .put("node", e.node())
            .put("zone", e.zone())
            .put("address", e.address())
            .put("ready", e.ready());
      }
    }
    ArrayNode groups = body.putArray("groups");
    new TreeMap<>(v.groups()).values().forEach(g -> group(groups.addObject(), g));
    ArrayNode instances = body.putArray("instances");
    new TreeMap<>(v.instances()).values().forEach(i -> instance(instances.addObject(), i));
    Responses.json(ctx, 200, body.toString());
  }

  private static void group(ObjectNode n, GroupRecord g) {
    n.put("group", g.group()).put("model", g.model()).put("version", g.version());
    n.put("zone", g.zone()).put("domain", g.domain()).put("state", g.state().name());
    n.put("epoch", g.epoch());
    ArrayNode members = n.putArray("members");
    g.members().forEach(m -> members.add(m.instance()));
  }

  private static void instance(ObjectNode n, InstanceRecord i) {
    n.put("instance", i.instance()).put("zone", i.zone()).put("domain", i.domain());
    n.put("kind", i.kind().name()).put("flavor", i.flavor()).put("status", i.status().name());
    n.put("boot", i.boot()).put("address", i.address());
  }

  private void events(Context ctx) {
    long after;
    try {
      after =
          CallerHeaders.number(
              ctx.getRequest().getQueryParams().get("after"), "after", 0, Integer.MAX_VALUE, 0);
    } catch (EbonypondException e) {
      Responses.problem(ctx, Problem.of(e), "");
      return;
    }
    EventLog.Page page = events.after(after, MAX_EVENTS);
    ObjectNode n = JSON.createObjectNode().put("node", self.get().node());
    ArrayNode list = n.putArray("events");
    page.events().forEach(e -> event(list.addObject(), e));
    n.put("next", page.next());
    Responses.json(ctx, 200, n.toString());
  }

  private static void event(ObjectNode n, Event e) {
    n.put("id", e.id()).put("wallMillis", e.time().wallMillis());
    n.put("counter", e.time().counter()).put("node", e.node());
    n.put("code", e.code().name()).put("label", e.code().label()).put("subject", e.subject());
    ArrayNode causes = n.putArray("causes");
    e.causes().forEach(causes::add);
    ObjectNode fields = n.putObject("fields");
    new TreeMap<>(e.fields()).forEach(fields::put);
  }

  private static String operationId(Context ctx) {
    String id = ctx.getRequest().getHeaders().get("Ebonypond-Operation-Id");
    return id == null || id.isBlank() ? UUID.randomUUID().toString() : id;
  }

  private static @Nullable Throwable cause(@Nullable Throwable t) {
    return t instanceof CompletionException ? t.getCause() : t;
  }

  private record ListedEntries(@Nullable LeaderDigest digest) {}

  private record Reply(@Nullable ControlResult result, @Nullable Throwable failure) {}
}
