package org.ebonypond.server.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.ebonypond.routing.CacheEvent;
import org.ebonypond.routing.PrefixIndex;
import org.ebonypond.routing.PromptBlocks;
import org.ebonypond.routing.Router;
import org.ebonypond.routing.Target;
import org.ebonypond.time.TimerService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;

/**
 * Polls the prefix cache events of the engines that this entry prefers. The events are only hints
 * for routing: a failed poll leaves the hints outdated until the next one.
 */
public final class CacheEventPoller {
  private static final Logger LOG = LoggerFactory.getLogger(CacheEventPoller.class);
  private static final long POLL_MILLIS = 500;
  private static final Duration TIMEOUT = Duration.ofMillis(400);
  private static final int HEX_RADIX = 16;

  private final ObjectMapper json = new ObjectMapper();
  private final ExecController controller;
  private final HttpClient client;
  private final TimerService timers;
  private final Router router;
  private final PrefixIndex prefixes;

  /**
   * Creates a poller.
   *
   * @param controller runs the HTTP calls
   * @param client the HTTP client
   * @param timers schedules the polls
   * @param router receives the events
   * @param prefixes holds the sequence number of the last event read from each engine
   */
  public CacheEventPoller(
      ExecController controller,
      HttpClient client,
      TimerService timers,
      Router router,
      PrefixIndex prefixes) {
    this.controller = controller;
    this.client = client;
    this.timers = timers;
    this.router = router;
    this.prefixes = prefixes;
  }

  /** Starts the periodic polls. */
  public void start() {
    timers.every(POLL_MILLIS, this::poll);
  }

  private void poll() {
    router.preferredGroups().forEach(this::read);
  }

  private void read(Target t) {
    long after = prefixes.lastSeq(t);
    controller
        .fork()
        .onError(e -> LOG.debug("cache events of {} could not be read", t.instance(), e))
        .start(
            e ->
                client
                    .request(
                        URI.create(
                            "http://" + t.address() + "/control/cache-events?after=" + after),
                        s -> s.connectTimeout(TIMEOUT).readTimeout(TIMEOUT))
                    .then(r -> onEvents(t, json.readTree(r.getBody().getText()))));
  }

  private void onEvents(Target t, JsonNode n) {
    String boot = n.path("boot").asText("");
    List<CacheEvent> events = new ArrayList<>();
    for (JsonNode e : n.path("events")) {
      long seq = e.path("seq").asLong();
      PromptBlocks prefix = prefix(e.path("prefix").asText(""));
      if (prefix.size() > 0) {
        events.add(new CacheEvent(seq, e.path("type").asText().equals("stored"), prefix));
      }
    }
    if (!events.isEmpty()) {
      router.onCacheEvents(t.instance(), boot, events);
    }
  }

  /** Parses a prefix: the chained hash of its last block in 16 hexadecimal digits. */
  private static PromptBlocks prefix(String text) {
    return text.matches("[0-9a-f]{16}")
        ? PromptBlocks.ofHashes(Long.parseUnsignedLong(text, HEX_RADIX))
        : PromptBlocks.NONE;
  }
}
