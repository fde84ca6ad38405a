import java.nio.file.Path;
import java.util.List;

/**
 * The head of a group deregisters without having reported that it drains, two minutes after the
 * leader of the replicas began to plan, and goes on serving for a while.
 */
final class OpenHead {
  /** The time from the first plan of a leader to the deregistration. */
  private static final int WAIT_MILLIS = 113_000;

  /** The end of the script, which has 120 s; the head still serves then. */
  private static final int END_MILLIS = 118_500;

  /** One of these leaves: a share of 0.143. */
  private static final int WORKERS = 7;

  /** The latest time of the first plan that leaves the script within its 120 s. */
  private static final int LATEST_PLAN_MILLIS = 3_900;

  private static final int LOAD_MILLIS = 1_200;
  private static final int WARM_MILLIS = 500;

  private OpenHead() {}

  public static void main(String[] args) throws Exception {
    int result = Harness.NOT_RUN;
    try (Harness h = new Harness(Path.of(args[0]))) {
      result = play(h);
    }
    System.exit(result);
  }

  private static int play(Harness h) throws Exception {
    h.startSystem(1);
    Engine[] engines = new Engine[WORKERS];
    for (int i = 0; i < WORKERS; i++) {
      engines[i] =
          new Engine(h, "e-" + i, "drafter", "zone-a", h.ip(30 + i), "d1", LOAD_MILLIS, WARM_MILLIS);
    }
    String config =
        "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"drafts.example\","
            + "\"path_prefix\":\"/draft/\",\"type\":\"stream\",\"timeout_ms\":8000,\"slo_ms\":500,"
            + "\"priority\":1,\"service\":\"drafter\",\"attempts\":2,\"public\":true,"
            + "\"sticky\":true,\"resumable\":true,\"gap_slo_ms\":300}],"
            + "\"services\":[{\"name\":\"drafter\",\"health_path\":\"/health\",\"max_conns\":354,"
            + "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"cold_per_s\":28.0,"
            + "\"engine\":{\"slots\":18,\"kv_capacity\":969230,\"kv_token_bytes\":50752,"
            + "\"link_mbps\":400000.0,\"stride\":5,\"models\":[{\"name\":\"m1\",\"size\":2,"
            + "\"share\":1.0,\"pace\":1.0,\"load_s\":12.0,\"warm_s\":0.5}],\"step_ms\":6.07,"
            + "\"per_seq_ms\":0.348,\"context_per_k\":0.007,\"read_per_s\":46000.0,"
            + "\"pairs_per_m\":0.7,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":4.0,"
            + "\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":1076,\"answer\":116},"
            + "\"history_limit\":1,\"far_x\":3.0,\"form_ms\":300.0}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    if (h.order(h.replicas(), "PUT", "/ebonypond/config", config, 10_000) < 0) {
      h.log("the system did not become ready");
      return Harness.NOT_RUN;
    }
    long plannedAt = h.awaitOutput("plans groups", 10_000);
    if (plannedAt < 0 || plannedAt > LATEST_PLAN_MILLIS || !h.awaitReady(1, 10_000)) {
      h.log("the system took too long to start");
      return Harness.NOT_RUN;
    }
    Engine head = null;
    while (head == null && h.now() < 30_000) {
      Thread.sleep(100);
      for (Engine e : engines) {
        head = e.headState().equals("open") ? e : head;
      }
    }
    if (head == null) {
      h.log("no group was opened");
      return Harness.NOT_RUN;
    }
    h.log(head.id + " is the head of the open group " + head.group() + " of " + head.members());
    int answered = 0;
    while (h.now() < plannedAt + WAIT_MILLIS) {
      answered += send(h, "attempt-" + h.now()) ? 1 : 0;
      Thread.sleep(Math.max(0, Math.min(5_000, plannedAt + WAIT_MILLIS - h.now())));
    }
    if (answered == 0) {
      h.log("no request was answered");
      return Harness.NOT_RUN;
    }
    String group = head.group();
    List<String> members = head.members();
    final long from = h.now();
    if (Harness.trouble()) {
      if (!head.deregister(h.control(h.node("core-0")), () -> {})) {
        return Harness.NOT_RUN;
      }
      h.log(head.id + " has deregistered and goes on serving; its group is " + head.headState());
    }
    int broken = 0;
    while (h.now() < END_MILLIS && broken == 0) {
      Thread.sleep(20);
      for (Engine e : engines) {
        for (Engine.Join j : e.joins()) {
          boolean other = e != head && members.contains(e.id) && !j.group().equals(group);
          if (j.at() >= from && other && head.headState().equals("open")) {
            broken++;
            h.log("BROKEN: " + e.id + " took a join of " + j.group() + " " + (j.at() - from)
                + " ms after the DELETE, while the head " + head.id + " of its group " + group
                + " was " + head.headState());
          }
        }
      }
    }
    h.log(answered + " streams were answered before; " + broken + " joins while the head was open");
    return broken > 0 ? Harness.BROKEN : Harness.HELD;
  }

  private static boolean send(Harness h, String attempt) {
    Harness.Answer a =
        h.call(
            h.front(0),
            "POST",
            "/draft/one",
            "Host: drafts.example\r\nAttempt-Id: " + attempt + "\r\nModel: m1\r\n"
                + "Token-Usage: 100,20\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:60\r\n"
                + "Deadline-Ms: 8000\r\n",
            new byte[200],
            8_500);
    h.log("client: " + attempt + ": " + a);
    return a.status == 200;
  }
}
