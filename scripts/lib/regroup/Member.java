import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in of an engine: sends heartbeats, carries out orders and serves streams as the head of
 * an open group. Unlike {@link Engine} it breaks when a member is missing, and its listening socket
 * can be closed while it lives. The lock of its fleet guards its state.
 */
final class Member implements AutoCloseable {
  static final int PORT = 18_080;

  private static final int REJOIN_MILLIS = 200;
  private static final int WARM_MILLIS = 500;
  private static final int LOAD_MILLIS = 1_200;
  private static final int FORM_MILLIS = 300;
  private static final int EVENTS = 5;
  private static final String MEMBERSHIP =
      """
      ,"group":{"name":"%s","epoch":%d,"rank":%d,"state":"%s"}\
      """;
  private static final String HEARTBEAT =
      """
      {"service":"drafter","address":"%s:%d","zone":"%s","version":"v1","slots":18,
      "state":"ready","cold_left_ms":0,"seq":%d,"born":%d,"stage":"both","models":[%s],
      "staged":[%s],"domain":"%s"%s}\
      """;
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nOrigin-Seal: seal-%s\r\n"
          + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final int EVENT_MILLIS = 60;

  final String id;
  final String ip;
  final String zone;
  final String domain;
  private final Fleet fleet;
  private final Harness harness;
  private final long born = System.currentTimeMillis();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final Semaphore changed = new Semaphore(0);
  private final List<String> staged = new ArrayList<>();
  private ServerSocket server;
  private volatile boolean alive = true;
  private long refusesUntil;
  private volatile long conflictsUntil;
  private volatile long misdirectsUntil;
  private volatile long cutUntil;
  private long seq;
  private String group = "";
  private String model = "";
  private String lastModel = "";
  private String state = "";
  private List<String> members = List.of();
  private int rank;
  private int running;
  private long epoch;
  private long highestEpoch;
  private long highestFence;
  private long missingSince = -1;
  private long openSince = -1;

  /** Creates an instance that listens and registers. */
  Member(Fleet fleet, String id, String ip, String zone, String domain, List<String> staged)
      throws IOException {
    this.fleet = fleet;
    this.harness = fleet.harness;
    this.id = id;
    this.ip = ip;
    this.zone = zone;
    this.domain = domain;
    this.staged.addAll(staged);
    listen();
    fleet.add(this);
    Worker.daemon(this::beat);
  }

  String group() {
    return group;
  }

  long epoch() {
    return epoch;
  }

  long openSince() {
    return openSince;
  }

  /** Returns the state of the group of which this instance is the head; empty if it is none. */
  String headState() {
    return rank == 0 ? state : "";
  }

  /** Returns the members of the group of which this instance is the head. */
  List<String> groupMembers() {
    return rank == 0 ? members : List.of();
  }

  List<String> staged() {
    synchronized (fleet) {
      return List.copyOf(staged);
    }
  }

  /** Returns the troubles in force, for the record. */
  String troubles() {
    long now = harness.now();
    List<String> out = new ArrayList<>();
    if (now < cutUntil) {
      out.add("was cut off");
    } else if (now < refusesUntil) {
      out.add("refused connections");
    }
    if (now < conflictsUntil) {
      out.add("answered 409");
    }
    if (now < misdirectsUntil) {
      out.add("had its address taken");
    }
    return out.isEmpty() ? "was undisturbed" : String.join(", ", out);
  }

  /** Closes the listening socket for a while; open connections go on. */
  void refuse(long millis) throws IOException {
    synchronized (fleet) {
      refusesUntil = harness.now() + millis;
      server.close();
    }
  }

  /** Answers 409 to the order to leave for a while. */
  void conflict(long millis) {
    conflictsUntil = harness.now() + millis;
  }

  /** Answers 421 on new connections for a while, as another instance would. */
  void misdirect(long millis) {
    misdirectsUntil = harness.now() + millis;
  }

  /** Refuses connections and sends no heartbeats for a while. */
  void cut(long millis) throws IOException {
    cutUntil = harness.now() + millis;
    refuse(millis);
  }

  /** Ends the instance without a word. */
  void crash() throws IOException {
    fleet.remove(this);
    close();
  }

  @Override
  public void close() throws IOException {
    alive = false;
    synchronized (fleet) {
      server.close();
    }
    for (Socket s : connections) {
      s.close();
    }
  }

  /** Advances the state of the group; called often, with the lock held. */
  void tick(long now, boolean missing) {
    if (alive && server.isClosed() && now >= refusesUntil) {
      try {
        listen();
      } catch (IOException e) {
        harness.log(id + ": cannot listen again yet: " + e.getMessage());
      }
    }
    boolean serves = headState().equals("open") || headState().equals("closing");
    missingSince = !serves || !missing ? -1 : missingSince < 0 ? now : missingSince;
    if (missingSince >= 0 && now - missingSince >= Fleet.STALL_MILLIS) {
      become("broken");
    } else if (headState().equals("closing") && running == 0) {
      become("ready");
    }
  }

  private void become(String next) {
    state = next;
    openSince = next.equals("open") ? harness.now() : openSince;
    harness.log(id + ": " + next + " in " + group);
    changed.release();
  }

  private void listen() throws IOException {
    ServerSocket s = new ServerSocket();
    s.setReuseAddress(true);
    s.bind(new InetSocketAddress(InetAddress.getByName(ip), PORT), 200);
    server = s;
    Worker.daemon(() -> accept(s));
  }

  private void accept(ServerSocket from) {
    while (true) {
      try {
        Socket s = from.accept();
        boolean misdirected = harness.now() < misdirectsUntil;
        connections.add(s);
        Worker.daemon(() -> serve(s, misdirected));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void beat() {
    int at = Math.floorMod(id.hashCode(), 3);
    while (alive) {
      int delay = fleet.heartbeatDelay();
      String body = heartbeat();
      if (harness.now() < cutUntil) {
        changed.drainPermits();
      } else if (delay > 0) {
        int to = at;
        later(delay, () -> send(to, body));
      } else {
        at = send(at, body);
      }
      try {
        if (changed.tryAcquire(Harness.HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS)) {
          changed.drainPermits();
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends a heartbeat to the replicas in turn; returns the number of the one that accepted it. */
  private int send(int first, String body) {
    List<String> controls = harness.controls();
    for (int i = first; i < first + controls.size(); i++) {
      String to = controls.get(i % controls.size());
      String path = "/ebonypond/instances/" + id;
      String type = "Content-Type: application/json\r\n";
      if (harness.call(to, "PUT", path, type, body, 1_000).status / 100 == 2) {
        return i;
      }
    }
    return first;
  }

  private String heartbeat() {
    synchronized (fleet) {
      seq++;
      String models =
          model.isEmpty() || state.equals("joining")
              ? ""
              : "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}";
      String hosts = staged.isEmpty() ? "" : "\"" + String.join("\",\"", staged) + "\"";
      String membership = group.isEmpty() ? "" : MEMBERSHIP.formatted(group, epoch, rank, state);
      return HEARTBEAT.formatted(ip, PORT, zone, seq, born, models, hosts, domain, membership);
    }
  }

  private void serve(Socket s, boolean misdirected) {
    try (s) {
      s.setTcpNoDelay(true);
      Worker.Request r = Worker.readHead(s.getInputStream());
      while (alive && r != null) {
        r.body = s.getInputStream().readNBytes(r.length());
        boolean kept = misdirected ? answer(s, r, 421, "Not-Executed: 1\r\n") : handle(s, r);
        if (!kept) {
          return;
        }
        r = Worker.readHead(s.getInputStream());
      }
    } catch (IOException e) {
      // The caller has closed the connection, or this instance has crashed.
    } finally {
      connections.remove(s);
    }
  }

  /** Handles a request; returns whether the connection is kept. */
  private boolean handle(Socket s, Worker.Request r) throws IOException {
    String expected = r.header("Expect-Instance");
    String refusal = "Not-Executed: 1\r\nAt-Server: " + id + "\r\n";
    if (!expected.isEmpty() && !expected.equals(id)) {
      return answer(s, r, 421, refusal);
    }
    if (r.path.equals("/health")) {
      return answer(s, r, 200, "Instance-Id: " + id + "\r\n");
    }
    if (r.path.equals("/ebonypond/order")) {
      return handleOrder(s, r);
    }
    synchronized (fleet) {
      if (!headState().equals("open")) {
        return answer(s, r, headState().equals("broken") ? 503 : 421, refusal);
      }
      running++;
    }
    try {
      return stream(s, r, refusal);
    } finally {
      synchronized (fleet) {
        running--;
      }
    }
  }

  /** Sends the events of a stream; stalls while a member is missing, until the group is broken. */
  private boolean stream(Socket s, Worker.Request r, String refusal) throws IOException {
    OutputStream out = s.getOutputStream();
    for (int i = 1; i <= EVENTS; i++) {
      pause(EVENT_MILLIS);
      while (alive && isStalled()) {
        pause(EVENT_MILLIS);
      }
      if (isBroken()) {
        return i == 1 && answer(s, r, 503, refusal);
      }
      String event = "id: " + i + "\ndata: a\n\n";
      String head = i > 1 ? "" : STREAM_HEAD.formatted(r.header("Attempt-Id"), id);
      String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
      String end = i < EVENTS ? "" : "0\r\n\r\n";
      out.write((head + chunk + end).getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
    return true;
  }

  private boolean isStalled() {
    synchronized (fleet) {
      return missingSince >= 0 && !state.equals("broken");
    }
  }

  private boolean isBroken() {
    synchronized (fleet) {
      return state.equals("broken");
    }
  }

  private boolean answer(Socket s, Worker.Request r, int status, String headers)
      throws IOException {
    String attempt = r.header("Attempt-Id");
    String echo = attempt.isEmpty() ? "" : "Attempt-Id: " + attempt + "\r\n";
    String head = "HTTP/1.1 " + status + " Status\r\n" + echo + headers;
    String all = head + "Content-Length: 0\r\n\r\n";
    s.getOutputStream().write(all.getBytes(StandardCharsets.UTF_8));
    return true;
  }

  private boolean handleOrder(Socket s, Worker.Request r) throws IOException {
    String body = new String(r.body, StandardCharsets.UTF_8);
    int delay = fleet.orderDelay();
    pause(delay);
    int status = alive ? order(body, delay) : 0;
    return alive && !fleet.losesAnswer() && answer(s, r, status, "");
  }

  private int order(String body, int delay) {
    synchronized (fleet) {
      long fence = number(body, "fence");
      int status = 412;
      if (fence >= highestFence) {
        highestFence = fence;
        status =
            switch (Engine.text(body, "op")) {
              case "join" -> join(body);
              case "open" -> openGroup(body);
              case "close" -> closeGroup(body);
              case "leave" -> leave(body);
              case "stage" -> stage(Engine.text(body, "model"));
              default -> 400;
            };
      }
      harness.log(
          id + ": order " + body + (delay > 0 ? " after " + delay + " ms" : "") + ": " + status);
      return status;
    }
  }

  private int join(String body) {
    String name = Engine.text(body, "group");
    long number = number(body, "epoch");
    List<String> ids = Engine.list(body, "members");
    if (number < highestEpoch) {
      return 412;
    }
    if (name.equals(group) && number == epoch) {
      return ids.equals(members) ? 200 : 412;
    }
    fleet.checkJoin(this, name, number, ids);
    String wanted = Engine.text(body, "model");
    final int warm = staged.contains(wanted) ? WARM_MILLIS : LOAD_MILLIS;
    final int millis = wanted.equals(lastModel) ? REJOIN_MILLIS : warm;
    highestEpoch = number;
    epoch = number;
    group = name;
    members = ids;
    rank = ids.indexOf(id);
    model = wanted;
    lastModel = wanted;
    state = "joining";
    changed.release();
    afterwards(
        millis,
        "joining",
        () -> {
          load(wanted);
          become("ready");
        });
    return 202;
  }

  private int openGroup(String body) {
    if (!isCurrent(body) || rank != 0) {
      return 409;
    }
    if (state.equals("open")) {
      return 200;
    }
    if (!state.equals("ready")) {
      return 409;
    }
    afterwards(FORM_MILLIS, "ready", () -> become("open"));
    return 202;
  }

  private int closeGroup(String body) {
    boolean open = state.equals("open") || state.equals("closing");
    if (!isCurrent(body) || rank != 0 || !open) {
      return 409;
    }
    become(Engine.text(body, "close_mode").equals("cut") ? "ready" : "closing");
    return 202;
  }

  private int leave(String body) {
    if (!isCurrent(body) || harness.now() < conflictsUntil) {
      return 409;
    }
    group = "";
    model = "";
    state = "";
    members = List.of();
    changed.release();
    return 200;
  }

  private int stage(String wanted) {
    if (staged.contains(wanted)) {
      return 200;
    }
    later(
        LOAD_MILLIS,
        () -> {
          synchronized (fleet) {
            load(wanted);
          }
          changed.release();
        });
    return 202;
  }

  /** Loads a model; the host keeps the last two. */
  private void load(String wanted) {
    if (!staged.contains(wanted)) {
      staged.add(wanted);
      if (staged.size() > 2) {
        staged.remove(0);
      }
    }
  }

  private boolean isCurrent(String body) {
    return Engine.text(body, "group").equals(group) && number(body, "epoch") == epoch;
  }

  /** Runs a change later, if the membership and its state are still the same. */
  private void afterwards(int millis, String expected, Runnable change) {
    String name = group;
    long number = epoch;
    later(
        millis,
        () -> {
          synchronized (fleet) {
            if (alive && name.equals(group) && number == epoch && state.equals(expected)) {
              change.run();
            }
          }
        });
  }

  private void later(int millis, Runnable r) {
    Worker.daemon(
        () -> {
          pause(millis);
          if (alive) {
            r.run();
          }
        });
  }

  private static void pause(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static long number(String body, String key) {
    Matcher m = Pattern.compile("\"" + key + "\":(\\d+)").matcher(body);
    return m.find() ? Long.parseLong(m.group(1)) : 0;
  }
}
