import java.nio.file.Path;
import java.util.List;

/**
 * A replica stands still while an operator takes a zone back and evacuates it again by way of the
 * others; it wakes with the first of these orders in its socket.
 */
final class StaleOrder {
  private static final String PATH = "/ebonypond/evacuation/zone-b";
  private static final int ENTRIES = 3;

  /** Machines that freeze stand still for up to 7.3 s on the days of the site file. */
  private static final int FREEZE_MILLIS = 7_000;

  /** The time between the zone's return and its second evacuation. */
  private static final int PAUSE_MILLIS = 3_000;

  private StaleOrder() {}

  public static void main(String[] args) throws Exception {
    int result = Harness.NOT_RUN;
    try (Harness h = new Harness(Path.of(args[0]))) {
      result = play(h);
    }
    System.exit(result);
  }

  private static int play(Harness h) throws Exception {
    h.startSystem(ENTRIES);
    Worker[] workers = new Worker[3];
    for (int i = 0; i < 3; i++) {
      workers[i] = new Worker(h, "w-" + i, "orders", Harness.ZONES.get(i), h.ip(30 + i));
    }
    String config =
        "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"orders.example\","
            + "\"path_prefix\":\"/orders/\",\"type\":\"safe\",\"timeout_ms\":6000,\"slo_ms\":500,"
            + "\"priority\":1,\"service\":\"orders\",\"attempts\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":100,"
            + "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"cold_per_s\":0.0}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    if (h.order(h.replicas(), "PUT", "/ebonypond/config", config, 15_000) < 0
        || !h.awaitReady(ENTRIES, 15_000)) {
      h.log("the system did not become ready");
      return Harness.NOT_RUN;
    }
    Thread.sleep(3_000);
    Harness.Node frozen = follower(h);
    List<Harness.Node> others = h.replicas().stream().filter(n -> n != frozen).toList();
    List<Harness.Node> frozenFirst = List.of(frozen, others.get(0), others.get(1));
    if (h.order(others, "POST", PATH, null, 4_000) < 0) {
      return Harness.NOT_RUN;
    }
    Thread.sleep(3_000);
    long frozeAt = h.now();
    if (Harness.trouble()) {
      h.signal(frozen, "STOP");
    }
    // The operator picks a node, and moves on after a second without a response.
    long backAt = h.order(frozenFirst, "DELETE", PATH, null, 4_000);
    Thread.sleep(PAUSE_MILLIS);
    long evacuatedAt = h.order(others, "POST", PATH, null, 4_000);
    if (backAt < 0 || evacuatedAt < 0) {
      h.signal(frozen, "CONT");
      return Harness.NOT_RUN;
    }
    h.log("zone-b taken back at " + backAt + " ms, evacuated again at " + evacuatedAt + " ms");
    Thread.sleep(Math.max(0, frozeAt + FREEZE_MILLIS - h.now()));
    if (Harness.trouble()) {
      h.signal(frozen, "CONT");
    }
    // All machines have been in touch for contact_ms, and evacuate_ms has passed.
    Thread.sleep(Harness.CONTACT_MILLIS + 2_000);
    Thread.sleep(Math.max(0, evacuatedAt + Harness.EVACUATE_MILLIS + 500 - h.now()));
    long from = h.now();
    h.log("client: requests to each entry, zone-b is evacuated since " + evacuatedAt + " ms");
    int answered = 0;
    for (int i = 0; i < 60; i++) {
      Harness.Answer a =
          h.call(
              h.front(i % ENTRIES),
              "GET",
              "/orders/" + i,
              "Host: orders.example\r\nAttempt-Id: attempt-" + i + "\r\nDeadline-Ms: 4000\r\n",
              (byte[]) null,
              4_500);
      answered += a.status == 200 ? 1 : 0;
      h.log("client: attempt-" + i + " at front-" + i % ENTRIES + ": " + a);
      Thread.sleep(50);
    }
    long wrong = workers[1].runs.stream().filter(r -> r.at() >= from).count();
    h.log(answered + " of 60 requests were answered with 200; " + wrong
        + " ran in zone-b, whose evacuation was acknowledged "
        + (from - evacuatedAt) + " ms before the first of them");
    if (answered == 0) {
      return Harness.NOT_RUN;
    }
    return wrong > 0 ? Harness.BROKEN : Harness.HELD;
  }

  /** Returns a replica that does not lead, so that no election is needed. */
  private static Harness.Node follower(Harness h) throws Exception {
    for (Harness.Node n : h.replicas()) {
      String out = java.nio.file.Files.readString(n.output);
      if (!out.contains("plans groups") && !out.contains("\"LEADER\"")) {
        return n;
      }
    }
    return h.replicas().get(2);
  }
}
