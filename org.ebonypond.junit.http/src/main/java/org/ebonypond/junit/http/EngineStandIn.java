package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** Runs a simulated model engine as a process. */
public final class EngineStandIn {
  private static final long MEMBER_POLL_MILLIS = 200;

  private EngineStandIn() {}

  /**
   * Starts the process.
   *
   * @param args {@code --key=value}; the keys are listed in docs/stand-ins.md
   */
  public static void main(String[] args) throws Exception {
    Arguments a = Arguments.parse(args);
    final StandInServer.Settings settings = StandInServer.Settings.of(a);
    final String engineKind = a.text("engine-kind", "batcher");
    int maxBatch = (int) a.number("max-batch", 16);
    ColdCeiling ceiling =
        new ColdCeiling(
            (int) a.number("cold-ceiling", 2),
            (int) a.number("max-concurrency", maxBatch),
            a.number("warm-ms", 20_000));
    Lifecycle lifecycle =
        new Lifecycle(
            () -> UUID.randomUUID().toString(),
            ceiling,
            a.number("down-ms", 2_000),
            StandInServer.now());
    Engine engine =
        new Engine(
            settings.zone(),
            checkEnabled(a, "members"),
            lifecycle,
            new EngineState(
                checkEnabled(a, "fencing"),
                a.number("load-ms", 1_000),
                a.number("weights-mb", 1_000),
                a.number("weights-mb-per-second", 1_000)),
            new ContinuousBatch(maxBatch, a.number("step-ms", 20), a.number("prefill-ms", 20)),
            new PrefixCache(
                (int) a.number("cache-prefixes", 1_000),
                a.number("cache-lag-ms", 300),
                (int) a.number("cache-gap-every", 7)));
    a.rejectUnknown();
    StandInServer server = new StandInServer(settings, new Backend(engine, engineKind));
    String self = settings.host() + ":" + settings.port();
    server.start(
        new EngineHandlers(settings.instance(), engine, server),
        execController -> {
          MemberPoller poller = new MemberPoller(self, engine, execController);
          execController
              .getExecutor()
              .scheduleAtFixedRate(poller::poll, 0, MEMBER_POLL_MILLIS, TimeUnit.MILLISECONDS);
        });
  }

  private static boolean checkEnabled(Arguments a, String key) {
    String v = a.text(key, "check");
    if (!v.equals("check") && !v.equals("ignore")) {
      throw new IllegalArgumentException("--" + key + "=" + v + ": must be check or ignore");
    }
    return v.equals("check");
  }

  private record Backend(Engine engine, String engineKind) implements BackendServer {
    @Override
    public Lifecycle lifecycle() {
      return engine.lifecycle();
    }

    @Override
    public LoadHistory.Sample load(long now, long wallMillis) {
      return engine.load(now, wallMillis);
    }

    @Override
    public void describe(ObjectNode n, long now) {
      n.put("kind", "engine").put("engineKind", engineKind).put("status", engine.status(now));
      n.put("group", engine.state().group());
      n.put("fencing", engine.state().current().fencing());
    }

    @Override
    public Map<String, Object> counters() {
      return engine.counters();
    }

    @Override
    public Map<String, Object> executions() {
      return Map.of();
    }

    @Override
    public void reset() {
      engine.reset();
    }

    @Override
    public void restart(long now) {
      engine.restart(now);
    }

    @Override
    public boolean injectFault(String type, JsonNode parameters, long now) {
      return false;
    }

    @Override
    public void advance(long now) {
      engine.advance(now);
    }
  }
}
