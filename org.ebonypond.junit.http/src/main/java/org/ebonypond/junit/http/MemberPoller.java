package org.ebonypond.junit.http;

import io.netty.handler.timeout.ReadTimeoutException;
import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;
import ratpack.http.client.HttpClientReadTimeoutException;

/** Asks the other members of the group for their state while the engine has rank 0. */
final class MemberPoller {
  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private final String self;
  private final Engine engine;
  private final ExecController executions;
  private final HttpClient client;
  private final Set<String> asked = new HashSet<>();

  MemberPoller(String self, Engine engine, ExecController executions) throws Exception {
    this.self = self;
    this.engine = engine;
    this.executions = executions;
    this.client = HttpClient.of(c -> c.poolSize(0).execController(executions));
  }

  /** Asks every member that has no question open; called on the event loop. */
  void poll() {
    EngineOrder o = engine.state().current();
    if (o.rank() != 0 || o.type().equals("unload")) {
      return;
    }
    for (String m : o.members()) {
      if (!m.equals(self) && asked.add(m)) {
        ask(m, o);
      }
    }
  }

  private void ask(String member, EngineOrder order) {
    executions
        .fork()
        .onError(t -> failed(member, order, t))
        .onComplete(e -> asked.remove(member))
        .start(
            e ->
                client
                    .get(
                        URI.create("http://" + member + "/control/state"),
                        r -> r.connectTimeout(TIMEOUT).readTimeout(TIMEOUT))
                    .then(
                        a ->
                            engine
                                .members()
                                .answered(
                                    member,
                                    order,
                                    StandInServer.parse(a.getBody().getText()),
                                    StandInServer.now())));
  }

  private void failed(String member, EngineOrder order, Throwable t) {
    if (t instanceof HttpClientReadTimeoutException || t instanceof ReadTimeoutException) {
      engine.members().timedOut(member, order, StandInServer.now());
      return;
    }
    engine.members().answered(member, order, null, StandInServer.now());
  }
}
