package org.ebonypond.junit.http;

import io.netty.handler.timeout.ReadTimeoutException;
import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;
import ratpack.http.client.HttpClientReadTimeoutException;

/** Polls the state of the other members of the group while the engine has rank 0. */
final class MemberPoller {
  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private final String self;
  private final Engine engine;
  private final ExecController execController;
  private final HttpClient client;
  private final Set<String> inFlight = new HashSet<>();

  MemberPoller(String self, Engine engine, ExecController execController) throws Exception {
    this.self = self;
    this.engine = engine;
    this.execController = execController;
    this.client = HttpClient.of(c -> c.poolSize(0).execController(execController));
  }

  /** Polls every member that has no poll in flight. Must be called on the event loop. */
  void poll() {
    EngineOrder o = engine.state().current();
    if (o.rank() != 0 || o.type().equals("unload")) {
      return;
    }
    for (String m : o.members()) {
      if (!m.equals(self) && inFlight.add(m)) {
        requestState(m, o);
      }
    }
  }

  private void requestState(String member, EngineOrder order) {
    execController
        .fork()
        .onError(t -> failed(member, order, t))
        .onComplete(e -> inFlight.remove(member))
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
