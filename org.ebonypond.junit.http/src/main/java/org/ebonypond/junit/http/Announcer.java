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
 * Sends each announcement to one entry and fails over to the next entry immediately. Failing over
 * only at the next announcement would cost 500 ms for each entry that is down, and the control
 * leader considers an instance down after 2 s without announcements.
 */
final class Announcer {
  private static final Logger LOG = LoggerFactory.getLogger(Announcer.class);
  private static final Duration TIMEOUT = Duration.ofMillis(400);
  private final List<String> entries;
  private final ExecController execController;
  private final HttpClient client;
  private final Supplier<String> body;
  private int current;

  Announcer(
      List<String> entries,
      ExecController execController,
      HttpClient client,
      Supplier<String> body) {
    this.entries = entries;
    this.execController = execController;
    this.client = client;
    this.body = body;
  }

  /** Sends one announcement. Must be called on the event loop. */
  void announce() {
    announce(entries.size());
  }

  private void announce(int attempts) {
    if (attempts == 0) {
      return;
    }
    int index = current;
    URI uri = URI.create("http://" + entries.get(index) + "/platform/v1/announce");
    execController
        .fork()
        .onError(t -> tryNextEntry(index, attempts, t.toString()))
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
                            tryNextEntry(index, attempts, "status " + a.getStatusCode());
                          }
                        }));
  }

  private void tryNextEntry(int failed, int attempts, String reason) {
    LOG.debug("entry {} did not take the announcement: {}", entries.get(failed), reason);
    if (current == failed) {
      current = (failed + 1) % entries.size();
      announce(attempts - 1);
    }
  }
}
