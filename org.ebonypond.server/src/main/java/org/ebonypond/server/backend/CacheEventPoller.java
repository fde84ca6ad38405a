package org.ebonypond.server.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.io.IOException;
import java.io.UncheckedIOException;
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

/**
 * Polls the prefix cache events of the engines that this entry prefers. The events are only hints
 * for routing: a failed poll leaves the hints outdated until the next one.
 */
public final class CacheEventPoller {
  private static final Logger LOG = LoggerFactory.getLogger(CacheEventPoller.class);
  private static final long POLL_MILLIS = 500;

  /** Less than the interval, so that polls of an engine do not overlap; in milliseconds. */
  private static final long TIMEOUT_MILLIS = 400;

  /** Some 50,000 events of 80 bytes, in bytes; a larger answer fails the poll. */
  private static final int MAX_ANSWER_BYTES = 4 << 20;

  private static final int HEX_RADIX = 16;

  private final ObjectMapper json = new ObjectMapper();
  private final BackendHttpClient client;
  private final TimerService timers;
  private final Router router;
  private final PrefixIndex prefixes;

  /**
   * Creates a poller.
   *
   * @param client sends the polls
   * @param timers schedules the polls
   * @param router receives the events
   * @param prefixes holds the sequence number of the last event read from each engine
   */
  public CacheEventPoller(
      BackendHttpClient client, TimerService timers, Router router, PrefixIndex prefixes) {
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
    String path = "/control/cache-events?after=" + after;
    HttpRequest head = BackendHttpClient.request(HttpMethod.GET.name(), t.address(), path);
    client
        .call(t.address(), head, new byte[0], TIMEOUT_MILLIS, MAX_ANSWER_BYTES)
        .thenAccept(a -> onAnswer(t, a))
        .exceptionally(
            e -> {
              LOG.debug("cache events of {} could not be read", t.instance(), e);
              return null;
            });
  }

  private void onAnswer(Target t, BackendAnswer a) {
    try {
      onEvents(t, json.readTree(a.body()));
    } catch (IOException e) {
      throw new UncheckedIOException("the answer of the engine is not JSON", e);
    }
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
