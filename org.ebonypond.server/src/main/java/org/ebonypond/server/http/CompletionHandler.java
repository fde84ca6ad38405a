package org.ebonypond.server.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.server.backend.EngineClient;
import org.ebonypond.server.entry.CompletionCall;
import org.ebonypond.server.entry.CompletionRequest;
import org.ebonypond.server.entry.CompletionSink;
import org.ebonypond.server.entry.EntryParts;
import org.jspecify.annotations.Nullable;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Headers;
import ratpack.stream.Streams;

/** Handles {@code POST /v1/chat/completions}. */
final class CompletionHandler implements Handler {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long MAX_TOKENS = 1_000_000;

  private final EntryParts parts;
  private final EngineClient engines;

  CompletionHandler(EntryParts parts, EngineClient engines) {
    this.parts = parts;
    this.engines = engines;
  }

  @Override
  public void handle(Context ctx) {
    if (!parts.tracker().tryBegin()) {
      Responses.problem(
          ctx, Problem.notRun(ErrorCode.SHUTTING_DOWN, parts.tracker().retryAfterSeconds()), "");
      return;
    }
    ctx.onClose(outcome -> parts.tracker().end());
    ctx.getRequest()
        .getBody()
        .then(
            body -> {
              CompletionRequest r;
              try {
                r = read(ctx.getRequest().getHeaders(), body.getText());
              } catch (EbonypondException e) {
                Responses.problem(ctx, Problem.of(e), "");
                return;
              }
              start(ctx, r);
            });
  }

  private void start(Context ctx, CompletionRequest r) {
    if (!parts.follower().mayStart()) {
      Responses.problem(ctx, Problem.notRun(ErrorCode.VIEW_STALE, 1), r.id());
      return;
    }
    ctx.getResponse().getHeaders().set(Responses.REQUEST_ID, r.id());
    if (r.stream()) {
      sendStream(ctx, r);
    } else {
      sendComplete(ctx, r);
    }
  }

  private void sendStream(Context ctx, CompletionRequest r) {
    StreamSink sink = new StreamSink();
    CompletionCall call = new CompletionCall(parts, engines, r, sink);
    sink.stream =
        new AnswerStream(ctx.getDirectChannelAccess().getChannel(), call::callerDisconnected);
    Promise.<StreamStart>async(
            downstream -> {
              sink.start = downstream;
              cancelOnDisconnect(ctx, call, sink);
              call.start();
            })
        .then(
            s -> {
              if (s.problem != null) {
                Responses.problem(ctx, s.problem, r.id());
                return;
              }
              ctx.getResponse().contentType("text/event-stream;charset=utf-8");
              ctx.getResponse().getHeaders().set("Cache-Control", "no-cache");
              ctx.getResponse().sendStream(Streams.bindExec(sink.stream));
            });
  }

  private void sendComplete(Context ctx, CompletionRequest r) {
    Promise.<CompleteAnswer>async(
            downstream -> {
              CollectingSink sink = new CollectingSink(r, downstream);
              CompletionCall call = new CompletionCall(parts, engines, r, sink);
              cancelOnDisconnect(ctx, call, sink);
              call.start();
            })
        .then(
            a -> {
              if (a.problem != null) {
                Responses.problem(ctx, a.problem, r.id());
              } else {
                Responses.json(ctx, 200, String.valueOf(a.json));
              }
            });
  }

  /**
   * Cancels the call when the caller closes the connection; otherwise the engine would go on
   * generating an answer that nobody reads.
   */
  private static void cancelOnDisconnect(Context ctx, CompletionCall call, CompletionSink sink) {
    ChannelFuture closed = ctx.getDirectChannelAccess().getChannel().closeFuture();
    ChannelFutureListener onDisconnect =
        f -> {
          call.callerDisconnected();
          sink.problem(
              Problem.failed(ErrorCode.UPSTREAM_FAILED, "the caller closed the connection"));
        };
    closed.addListener(onDisconnect);
    // The connection may be reused for further requests.
    ctx.onClose(outcome -> closed.removeListener(onDisconnect));
  }

  private CompletionRequest read(Headers headers, String body) {
    final CallerHeaders h = CallerHeaders.read(headers, parts);
    JsonNode parsed = parse(body);
    if (!(parsed instanceof ObjectNode json)) {
      throw new EbonypondException(ErrorCode.BAD_REQUEST, "the body is not a JSON object");
    }
    String model = json.path("model").asText("");
    if (h.document().model(model).isEmpty()) {
      throw new EbonypondException(ErrorCode.UNKNOWN_MODEL, model);
    }
    if (!json.path("messages").isArray() || json.path("messages").isEmpty()) {
      throw new EbonypondException(
          ErrorCode.BAD_REQUEST, "\"messages\" must be a list with at least one message");
    }
    final long maxTokens =
        json.has("max_tokens")
            ? CallerHeaders.number(json.get("max_tokens").asText(), "max_tokens", 1, MAX_TOKENS, 0)
            : 0;
    final boolean stream = json.path("stream").asBoolean(false);
    final long lastId =
        CallerHeaders.number(
            headers.get("Last-Event-ID"), "Last-Event-ID", 0, Integer.MAX_VALUE, -1);
    // The engine always streams, so that an answer can resume on another group.
    ObjectNode engineBody = json.deepCopy().put("stream", true);
    return new CompletionRequest(
        h.requestId(),
        h.workspace(),
        model,
        prompt(json),
        engineBody.toString(),
        (int) maxTokens,
        stream,
        lastId + 1,
        h.priority(),
        h.deadlineMillis());
  }

  private static JsonNode parse(String body) {
    try {
      return JSON.readTree(body);
    } catch (JsonProcessingException e) {
      throw new EbonypondException(
          ErrorCode.BAD_REQUEST, "the body is not JSON: " + e.getOriginalMessage());
    }
  }

  private static String prompt(JsonNode n) {
    StringBuilder out = new StringBuilder();
    for (JsonNode m : n.path("messages")) {
      out.append(m.path("role").asText()).append(": ").append(m.path("content").asText());
      out.append('\n');
    }
    return out.toString();
  }

  private record StreamStart(@Nullable Problem problem) {}

  private record CompleteAnswer(@Nullable String json, @Nullable Problem problem) {}

  /** Sends the chunks as server-sent events. */
  private static final class StreamSink implements CompletionSink {
    private @Nullable AnswerStream stream;
    private @Nullable Downstream<? super StreamStart> start;
    private boolean started;

    @Override
    public void chunk(long offset, String json) {
      begin();
      stream().add("id: " + offset + "\ndata: " + json + "\n\n");
    }

    @Override
    public void done() {
      begin();
      stream().add("data: [DONE]\n\n");
      stream().end();
    }

    @Override
    public void problem(Problem p) {
      if (!started) {
        started = true;
        start().success(new StreamStart(p));
        return;
      }
      stream().add("event: error\ndata: " + p.toJson("") + "\n\n");
      stream().end();
    }

    private void begin() {
      if (!started) {
        started = true;
        start().success(new StreamStart(null));
      }
    }

    private AnswerStream stream() {
      return Objects.requireNonNull(stream);
    }

    private Downstream<? super StreamStart> start() {
      return Objects.requireNonNull(start);
    }
  }

  /** Collects the chunks into one complete answer. */
  private static final class CollectingSink implements CompletionSink {
    private final CompletionRequest request;
    private final Downstream<? super CompleteAnswer> downstream;
    private final StringBuilder content = new StringBuilder();
    private final AtomicBoolean ended = new AtomicBoolean();
    private String finishReason = "stop";
    private int tokens;

    CollectingSink(CompletionRequest request, Downstream<? super CompleteAnswer> downstream) {
      this.request = request;
      this.downstream = downstream;
    }

    @Override
    public void chunk(long offset, String json) {
      JsonNode choice = parse(json).path("choices").path(0);
      content.append(choice.path("delta").path("content").asText(""));
      finishReason = choice.path("finish_reason").asText(finishReason);
      tokens++;
    }

    @Override
    public void done() {
      ObjectNode n = JSON.createObjectNode();
      n.put("id", request.id()).put("object", "chat.completion").put("model", request.model());
      ObjectNode choice = n.putArray("choices").addObject();
      choice.put("index", 0);
      choice.putObject("message").put("role", "assistant").put("content", content.toString());
      choice.put("finish_reason", finishReason);
      n.putObject("usage").put("completion_tokens", tokens);
      end(new CompleteAnswer(n.toString(), null));
    }

    @Override
    public void problem(Problem p) {
      end(new CompleteAnswer(null, p));
    }

    private void end(CompleteAnswer a) {
      if (ended.compareAndSet(false, true)) {
        downstream.success(a);
      }
    }
  }
}
