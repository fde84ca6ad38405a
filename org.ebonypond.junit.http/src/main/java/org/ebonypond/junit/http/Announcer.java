package org.ebonypond.junit.http;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;

/** Sends announcements to one entry at a time and rotates to the next when one fails. */
final class Announcer {
  private static final Logger LOG = LoggerFactory.getLogger(Announcer.class);
  private static final Duration TIMEOUT = Duration.ofMillis(400);
  private final List<String> entries;
  private final ExecController executions;
  private final HttpClient client;
  private final Supplier<String> body;
  private int current;

  Announcer(
      List<String> entries, ExecController executions, HttpClient client, Supplier<String> body) {
    this.entries = entries;
    this.executions = executions;
    this.client = client;
    this.body = body;
  }

  /** Sends one announcement; called on the event loop. */
  void announce() {
    if (entries.isEmpty()) {
      return;
    }
    int index = current;
    URI uri = URI.create("http://" + entries.get(index) + "/platform/v1/announce");
    executions
        .fork()
        .onError(t -> rotate(index, t.toString()))
        .start(
            e ->
                client
                    .post(
                        uri,
                        r ->
                            r.connectTimeout(TIMEOUT)
                                .readTimeout(TIMEOUT)
                                .body(b -> b.type("application/json").text(body.get())))
                    .then(
                        a -> {
                          if (a.getStatusCode() / 100 != 2) {
                            rotate(index, "status " + a.getStatusCode());
                          }
                        }));
  }

  private void rotate(int failed, String why) {
    LOG.debug("entry {} did not take the announcement: {}", entries.get(failed), why);
    if (current == failed) {
      current = (failed + 1) % entries.size();
    }
  }
}
