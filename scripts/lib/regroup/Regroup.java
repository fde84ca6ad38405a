import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Plays troubles on replicas, entries and instances under load, and checks that no instance joins a
 * group while the head of its old group is open or closing. Arguments: the record file, the seed,
 * the troubles separated by commas or "none", and the duration in seconds.
 */
final class Regroup {
  private static final int ENTRIES = 2;
  private static final int INSTANCES = 20;
  private static final int DOMAINS = 3;
  private static final int CLIENTS = 8;
  private static final int CLIENT_PAUSE_MILLIS = 150;
  private static final int FIRST_TROUBLE_MILLIS = 15_000;
  private static final Set<Trouble> HEAD_TROUBLES =
      EnumSet.of(Trouble.REFUSE, Trouble.CONFLICT, Trouble.MISDIRECT, Trouble.CUT);
  private static final Pattern PLANS =
      Pattern.compile("\\{\"term\":\"(\\d+)\"}[^\\n]*\"plans groups\"");

  private static final String REQUEST_HEAD =
      "Host: drafts.example\r\nAttempt-Id: a-%d-%d\r\nModel: m%d\r\nToken-Usage: 100,20\r\n"
          + "Prompt-Prefix: 5c1e07a2:40,%x:60\r\nDeadline-Ms: 8000\r\n";

  private static final String CONFIG =
      """
      {"version":1,"routes":[{"name":"r1","host":"drafts.example","path_prefix":"/draft/",
      "type":"stream","timeout_ms":8000,"slo_ms":500,"priority":1,"service":"drafter",
      "attempts":2,"public":true,"sticky":true,"resumable":true,"gap_slo_ms":300}],
      "services":[{"name":"drafter","health_path":"/health","max_conns":354,"protocol":"h1",
      "tls":false,"warmup_s":3.0,"cold_per_s":28.0,"engine":{"slots":18,"kv_capacity":969230,
      "kv_token_bytes":50752,"link_mbps":400000.0,"stride":5,"models":[
      {"name":"m1","size":4,"share":0.67,"pace":1.0,"load_s":12.0,"warm_s":0.5},
      {"name":"m2","size":2,"share":0.33,"pace":0.6,"load_s":12.0,"warm_s":0.5}],
      "step_ms":6.07,"per_seq_ms":0.348,"context_per_k":0.007,"read_per_s":46000.0,
      "pairs_per_m":0.7,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":4.0,"loads_at_once":6,
      "delays":[],"usual":{"prompt":1076,"answer":116},"history_limit":2,"far_x":3.0,
      "form_ms":300.0}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
      "header_timeout_ms":3000,"idle_timeout_ms":15000}}
      """;

  private final Harness harness;
  private final Fleet fleet;
  private final Set<Trouble> troubles;
  private final Random random;
  private final long endMillis;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private Thread leaderTrouble = new Thread();

  private Regroup(Harness harness, Set<Trouble> troubles, long seed, int seconds) {
    this.harness = harness;
    this.troubles = troubles;
    this.random = new Random(seed);
    this.endMillis = seconds * 1_000L;
    this.fleet = new Fleet(harness, troubles.contains(Trouble.LATE), ~seed);
    harness.closeLater(fleet);
  }

  public static void main(String[] args) throws Exception {
    int result = Harness.NOT_RUN;
    Set<Trouble> troubles = EnumSet.noneOf(Trouble.class);
    for (String s : args[2].split(",")) {
      if (!s.equals("none")) {
        troubles.add(Trouble.valueOf(s.toUpperCase(Locale.ROOT)));
      }
    }
    try (Harness h = new Harness(Path.of(args[0]))) {
      h.log("seed " + args[1] + ", troubles " + troubles + ", " + args[3] + " s");
      result = new Regroup(h, troubles, Long.parseLong(args[1]), Integer.parseInt(args[3])).play();
    }
    System.exit(result);
  }

  private int play() throws Exception {
    harness.startSystem(ENTRIES);
    for (int i = 0; i < INSTANCES; i++) {
      int d = i % DOMAINS;
      new Member(fleet, "e-" + i, harness.ip(30 + i), Harness.ZONES.get(d), "d" + d, List.of());
    }
    if (harness.order(harness.replicas(), "PUT", "/ebonypond/config", CONFIG, 10_000) < 0
        || !harness.awaitReady(ENTRIES, 15_000)) {
      harness.log("the system did not become ready");
      return Harness.NOT_RUN;
    }
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Worker.daemon(() -> request(client));
    }
    Thread.sleep(Math.max(0, FIRST_TROUBLE_MILLIS - harness.now()));
    if (fleet.openHeads().isEmpty()) {
      harness.log("no group was opened");
      return Harness.NOT_RUN;
    }
    final int before = fleet.joins();
    int incidents = 0;
    while (harness.now() < endMillis - Fleet.STALL_MILLIS) {
      playIncident(incidents++);
      Thread.sleep(3_000 + random.nextInt(4_000));
      leaderTrouble.join();
    }
    Thread.sleep(Math.max(0, endMillis - harness.now()));
    for (Member m : fleet.members()) {
      m.close();
    }
    harness.log(
        "result: %d incidents, %d joins (%d before the first), %d while the old head was open"
                .formatted(incidents, fleet.joins() - before, before, fleet.broken())
            + ", leader in term %d, %d of %d requests answered"
                .formatted(leaderTerm(), answered.get(), sent.get()));
    if (fleet.joins() == before && !troubles.isEmpty() || answered.get() == 0) {
      return Harness.NOT_RUN;
    }
    return fleet.broken() > 0 ? Harness.BROKEN : Harness.HELD;
  }

  /** Disturbs the leader, a group's head and one of its members, about at the same time. */
  private void playIncident(int number) throws Exception {
    Trouble leader = choose(EnumSet.of(Trouble.STOP, Trouble.KILL));
    if (leader != null) {
      int delay = random.nextInt(2_000);
      int millis = 1_500 + random.nextInt(3_000);
      leaderTrouble = Worker.daemon(() -> disturbLeader(leader, delay, millis));
      Thread.sleep(1_500);
    }
    List<Member> heads = fleet.openHeads();
    if (heads.isEmpty()) {
      return;
    }
    Member h = heads.get(random.nextInt(heads.size()));
    Trouble t = choose(HEAD_TROUBLES);
    if (t != null) {
      disturbHead(h, t, 1_000 + random.nextInt(3_000));
    }
    if (troubles.contains(Trouble.ISOLATE)) {
      isolate(h.domain, 1_500 + random.nextInt(2_500));
    }
    if (troubles.contains(Trouble.CRASH)) {
      crashMember(h, t != null, number);
    }
  }

  private void isolate(String domain, int millis) throws IOException {
    harness.log("trouble: ISOLATE at " + domain + " for " + millis + " ms");
    for (Member m : fleet.members()) {
      if (m.domain.equals(domain)) {
        m.isolate(millis);
      }
    }
  }

  /** Crashes a member of a group; never the head if it is to stay. */
  private void crashMember(Member head, boolean headStays, int number) throws IOException {
    List<String> ids = fleet.membersOf(head);
    if (ids.size() < 2) {
      return;
    }
    boolean spared = headStays || random.nextInt(4) > 0;
    Member victim = fleet.find(ids.get(spared ? 1 + random.nextInt(ids.size() - 1) : 0));
    if (victim != null) {
      harness.log("incident " + number + ": " + victim.id + " of " + ids + " crashes");
      crash(victim, 2_000 + random.nextInt(2_000), "e-" + (INSTANCES + number));
    }
  }

  /** Returns one of the troubles that are switched on, or null. */
  private Trouble choose(Set<Trouble> of) {
    List<Trouble> all = new ArrayList<>(of);
    all.retainAll(troubles);
    return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
  }

  private void disturbHead(Member head, Trouble t, int millis) throws IOException {
    harness.log("trouble: " + t + " at " + head.id + " for " + millis + " ms");
    switch (t) {
      case REFUSE -> head.refuse(millis);
      case CONFLICT -> head.membership.hold(millis);
      case MISDIRECT -> head.misdirect(millis);
      default -> head.cut(millis);
    }
  }

  private void crash(Member m, int millis, String id) throws IOException {
    List<String> staged = m.membership.staged();
    m.crash();
    Worker.daemon(
        () -> {
          try {
            Thread.sleep(millis);
            new Member(fleet, id, m.ip, m.zone, m.domain, staged);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          } catch (IOException e) {
            harness.log(id + " cannot start: " + e.getMessage());
          }
        });
  }

  private void disturbLeader(Trouble t, int delay, int millis) {
    try {
      Thread.sleep(delay);
      Harness.Node n = leader();
      if (n == null) {
        return;
      }
      fleet.leaderDisturbed();
      if (t == Trouble.STOP) {
        harness.signal(n, "STOP");
        Thread.sleep(millis);
        harness.signal(n, "CONT");
      } else {
        harness.kill(n);
        n.process.waitFor();
        Thread.sleep(500);
        harness.start(n);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      harness.log("cannot disturb the leader: " + e.getMessage());
    }
  }

  /** Returns the replica that has begun to plan in the latest term, or null. */
  private Harness.Node leader() throws IOException {
    Harness.Node latest = null;
    long term = -1;
    for (Harness.Node n : harness.replicas()) {
      long t = planningTerm(n);
      if (t > term) {
        term = t;
        latest = n;
      }
    }
    return latest;
  }

  private long leaderTerm() throws IOException {
    Harness.Node n = leader();
    return n == null ? -1 : planningTerm(n);
  }

  private static long planningTerm(Harness.Node n) throws IOException {
    Matcher m = PLANS.matcher(Files.readString(n.output));
    long term = -1;
    while (m.find()) {
      term = Long.parseLong(m.group(1));
    }
    return term;
  }

  private void request(int client) {
    for (int i = 0; harness.now() < endMillis - 1_000; i++) {
      String head = REQUEST_HEAD.formatted(client, i, 1 + i % 2, client * 10_000 + i + 1);
      String entry = harness.front(client % ENTRIES);
      sent.incrementAndGet();
      Harness.Answer a = harness.call(entry, "POST", "/draft/one", head, new byte[200], 8_500);
      answered.addAndGet(a.status == 200 && a.complete ? 1 : 0);
      try {
        Thread.sleep(CLIENT_PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
