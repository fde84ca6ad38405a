package org.ebonypond.junit.http;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;

/**
 * Sends announcements to one entry at a time. When one fails, the next entry is tried at once:
 * waiting for the next announcement would take 500 ms for each entry that is down, and an instance
 * counts as down after 2 s.
 */
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
    announce(entries.size());
  }

  private void announce(int attempts) {
    if (attempts == 0) {
      return;
    }
    int index = current;
    URI uri = URI.create("http://" + entries.get(index) + "/platform/v1/announce");
    executions
        .fork()
        .onError(t -> rotate(index, attempts, t.toString()))
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
                            rotate(index, attempts, "status " + a.getStatusCode());
                          }
                        }));
  }

  private void rotate(int failed, int attempts, String why) {
    LOG.debug("entry {} did not take the announcement: {}", entries.get(failed), why);
    if (current == failed) {
      current = (failed + 1) % entries.size();
      announce(attempts - 1);
    }
  }
}
