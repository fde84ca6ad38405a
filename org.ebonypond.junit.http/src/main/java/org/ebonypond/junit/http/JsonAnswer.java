package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** Collects an answer and sends it as one JSON document. */
final class JsonAnswer implements TokenSink {
  private static final ObjectMapper JSON = new ObjectMapper();
  private final String id;
  private final String model;
  private final Consumer<ObjectNode> onEnd;
  private final Runnable onDrop;
  private final StringBuilder text = new StringBuilder();
  private int tokens;

  JsonAnswer(String id, String model, Consumer<ObjectNode> onEnd, Runnable onDrop) {
    this.id = id;
    this.model = model;
    this.onEnd = onEnd;
    this.onDrop = onDrop;
  }

  @Override
  public void token(int index, String t, boolean last) {
    text.append(t);
    tokens++;
  }

  @Override
  public void end() {
    ObjectNode n = JSON.createObjectNode().put("id", id).put("object", "chat.completion");
    n.put("model", model);
    ObjectNode choice = n.putArray("choices").addObject().put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", text.toString());
    choice.put("finish_reason", "stop");
    n.putObject("usage").put("completion_tokens", tokens);
    onEnd.accept(n);
  }

  @Override
  public void drop() {
    onDrop.run();
  }
}
