import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Starts a small deployment of the platform on loopback addresses, with the commands of the deploy
 * file, and plays its operator and its clients. One object for each run of a script.
 */
final class Harness implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  static final int HEARTBEAT_MILLIS = 1_200;
  static final int DRAIN_MILLIS = 2_000;
  static final int EVACUATE_MILLIS = 5_000;
  static final int CONTACT_MILLIS = 3_000;
  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final Path folder;
  private final String net;
  private final int peerPort;
  private final int controlPort;
  private final int frontPort;
  private final int readyPort;
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<AutoCloseable> closeables = new ArrayList<>();

  /** Creates a run with a record file, a temporary folder and free ports. */
  Harness(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    folder = Files.createTempDirectory("ebonypond-review");
    long pid = ProcessHandle.current().pid();
    net = "127." + (1 + pid % 250) + "." + (1 + pid / 250 % 250) + ".";
    peerPort = freePort();
    controlPort = freePort();
    frontPort = freePort();
    readyPort = freePort();
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    log("folder " + folder + ", network " + net + "0");
  }

  /** A process of the project. */
  static final class Node {
    String name;
    String role;
    String ip;
    Path settings;
    Path output;
    Process process;
  }

  /** An answer; status 0 if there was none. */
  static final class Answer {
    int status;
    Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = {};
    boolean complete;
    String failure = "";

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
      return (status == 0 ? "no answer (" + failure + ")" : "status " + status)
          + (complete ? "" : ", not complete");
    }
  }

  /** Returns whether the disruption is to be played. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  synchronized long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void log(String text) {
    String line = String.format(Locale.ROOT, "%8.3f %s", now() / 1_000.0, text);
    record.println(line);
    System.out.println(line);
  }

  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket()) {
      s.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
      return s.getLocalPort();
    }
  }

  /** Returns an address of this run. */
  String ip(int last) {
    return net + last;
  }

  void closeLater(AutoCloseable c) {
    closeables.add(c);
  }

  /** Starts replicas and entries, one of each in each zone. */
  void startSystem(int entries) throws IOException {
    for (int i = 0; i < 3; i++) {
      addNode("core-" + i, "replica", ip(10 + i), ZONES.get(i));
    }
    for (int i = 0; i < entries; i++) {
      addNode("front-" + i, "entry", ip(20 + i), ZONES.get(i % 3));
    }
    for (Node n : nodes.values()) {
      start(n);
    }
  }

  private void addNode(String name, String role, String ip, String zone) throws IOException {
    boolean core = role.equals("replica");
    Node n = new Node();
    n.name = name;
    n.role = role;
    n.ip = ip;
    n.settings = folder.resolve(name + ".json");
    n.output = folder.resolve(name + ".log");
    Path data = folder.resolve(name + "-data");
    if (core) {
      Files.createDirectories(data);
    }
    String seeds =
        Stream.of(0, 1, 2)
            .map(i -> "\"" + ip(10 + i) + ":" + controlPort + "\"")
            .collect(Collectors.joining(","));
    String listen =
        core
            ? "{\"control\":\"" + ip + ":" + controlPort + "\"}"
            : "{\"front\":\""
                + ip
                + ":"
                + frontPort
                + "\",\"ready_addr\":\""
                + ip
                + ":"
                + readyPort
                + "\"}";
    String zones =
        ZONES.stream().map(z -> "\"" + z + "\":\"region\"").collect(Collectors.joining(","));
    Files.writeString(
        n.settings,
        "{\"node_name\":\"" + name + "\",\"role\":\"" + role + "\",\"machine_class\":\""
            + (core ? "core" : "front") + "\",\"serves\":[\"" + (core ? "control" : "front")
            + "\"],\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"region\":\"region\",\"zones\":{"
            + zones + "},\"listen\":" + listen + ",\"port_range\":[" + peerPort + ","
            + (peerPort + 15) + "],\"seeds\":[" + seeds + "],\"bootstrap\":true,\"loss_counts\":"
            + core + ",\"limits\":{\"cpu_share\":0.75,\"cores\":1,\"memory_mb\":430,"
            + "\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":" + (core ? 128 : 0)
            + "},\"data_dir\":" + (core ? "\"" + data + "\"" : "null")
            + ",\"discovery\":\"register\",\"entry\":\"vip\",\"heartbeat_ms\":" + HEARTBEAT_MILLIS
            + ",\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
            + "\"engine\",\"stream\",\"tenants\",\"places\",\"gangs\"],"
            + "\"fault_tolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},"
            + "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":" + CONTACT_MILLIS
            + ",\"ack_ms\":4000,\"catchup_s\":4,\"drain_ms\":" + DRAIN_MILLIS
            + ",\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
            + "\"rollback_slack_ms\":250,\"max_skew_ms\":5000,\"strict_revoke\":false,"
            + "\"revoke_ms\":5000,\"retry_ratio\":0.2,\"retry_window_s\":10,\"budget_slack\":132,"
            + "\"cold_overshoot\":1.5,\"cold_slack\":5,\"evacuate_ms\":" + EVACUATE_MILLIS
            + ",\"recovery_s\":12,\"pass_ms\":120,\"retry_after_s\":0,\"stall_ms\":5000,"
            + "\"require_fencing\":true,\"ceiling_window_s\":5,\"origin_overshoot\":1.1},"
            + "\"config_mode\":\"highest\"}");
    nodes.put(name, n);
  }

  /** Starts a process with the command that the deploy file has for its role. */
  void start(Node n) throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher m =
        Pattern.compile("\\[roles\\." + n.role + "\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
    if (!m.find()) {
      throw new IOException("the deploy file has no command for " + n.role);
    }
    ProcessBuilder b = new ProcessBuilder(m.group(1).split(" "));
    Map<String, String> old = new LinkedHashMap<>(b.environment());
    b.environment().clear();
    for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
      if (old.containsKey(name)) {
        b.environment().put(name, old.get(name));
      }
    }
    b.environment().put("EBONYPOND_SETTINGS", n.settings.toString());
    b.redirectErrorStream(true);
    b.redirectOutput(ProcessBuilder.Redirect.appendTo(n.output.toFile()));
    n.process = b.start();
    log("started " + n.name + " at " + n.ip + ", process " + n.process.pid());
  }

  Node node(String name) {
    return nodes.get(name);
  }

  List<Node> replicas() {
    return nodes.values().stream().filter(n -> n.role.equals("replica")).toList();
  }

  /** Sends a signal to a process of this run. */
  void signal(Node n, String signal) throws IOException, InterruptedException {
    // The shell's own kill, which every machine has.
    new ProcessBuilder("sh", "-c", "kill -" + signal + " " + n.process.pid()).start().waitFor();
    log("sent SIG" + signal + " to " + n.name);
  }

  /** Kills a process of this run at once. */
  void kill(Node n) {
    n.process.destroyForcibly();
    log("sent SIGKILL to " + n.name);
  }

  String control(Node replica) {
    return replica.ip + ":" + controlPort;
  }

  List<String> controls() {
    return replicas().stream().map(this::control).toList();
  }

  String front(int i) {
    return ip(20 + i) + ":" + frontPort;
  }

  /** Waits until the entries say that they are ready. */
  boolean awaitReady(int entries, long millis) throws InterruptedException {
    long end = now() + millis;
    for (int i = 0; i < entries; i++) {
      while (call(ip(20 + i) + ":" + readyPort, "GET", "/ebonypond/ready", "", (byte[]) null, 1_000).status
          != 200) {
        if (now() > end) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  /**
   * Sends an order as the operator: to the given replicas in turn, each a second, until one answers
   * with 2xx. Returns the time of the answer, or -1.
   */
  long order(List<Node> to, String method, String path, String body, long millis)
      throws InterruptedException {
    long end = now() + millis;
    for (int i = 0; now() < end; i++) {
      Node n = to.get(i % to.size());
      Answer a = call(control(n), method, path, "Content-Type: application/json\r\n", body, 1_000);
      log("operator: " + method + " " + path + " to " + n.name + ": " + a);
      if (a.status / 100 == 2) {
        return now();
      }
      Thread.sleep(a.failure.contains("refused") ? 50 : 100);
    }
    return -1;
  }

  /** Sends a call on a new connection and returns the answer. */
  Answer call(
      String address, String method, String path, String headers, String body, int millis) {
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    return call(address, method, path, headers, bytes, millis);
  }

  Answer call(
      String address, String method, String path, String headers, byte[] body, int millis) {
    Answer a = new Answer();
    try (Socket s = new Socket()) {
      int colon = address.lastIndexOf(':');
      s.connect(
          new InetSocketAddress(
              InetAddress.getByName(address.substring(0, colon)),
              Integer.parseInt(address.substring(colon + 1))),
          1_000);
      s.setSoTimeout(millis);
      String host = headers.contains("Host:") ? "" : "Host: " + address + "\r\n";
      String length = body == null ? "" : "Content-Length: " + body.length + "\r\n";
      String head =
          method + " " + path + " HTTP/1.1\r\n" + host + headers + length
              + "Connection: close\r\n\r\n";
      OutputStream out = s.getOutputStream();
      out.write(head.getBytes(StandardCharsets.UTF_8));
      if (body != null) {
        out.write(body);
      }
      out.flush();
      readAnswer(s.getInputStream(), a);
    } catch (IOException e) {
      a.failure = String.valueOf(e.getMessage());
    }
    return a;
  }

  private static void readAnswer(InputStream in, Answer a) throws IOException {
    String status = readLine(in);
    if (status == null || !status.startsWith("HTTP/1.1 ")) {
      throw new IOException("closed without an answer");
    }
    int code = Integer.parseInt(status.substring(9, 12));
    for (String l = readLine(in); l != null && !l.isEmpty(); l = readLine(in)) {
      int colon = l.indexOf(':');
      a.headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
    }
    a.status = code;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    String length = a.headers.get("content-length");
    try {
      if (length != null) {
        byte[] b = in.readNBytes(Integer.parseInt(length));
        body.write(b);
        a.complete = b.length == Integer.parseInt(length);
      } else if ("chunked".equals(a.headers.get("transfer-encoding"))) {
        a.complete = readChunks(in, body);
      } else {
        body.write(in.readAllBytes());
        a.complete = true;
      }
    } finally {
      a.body = body.toByteArray();
    }
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body)
      throws IOException {
    while (true) {
      String size = readLine(in);
      if (size == null) {
        return false;
      }
      int n = Integer.parseInt(size.trim(), 16);
      byte[] b = in.readNBytes(n);
      body.write(b);
      if (b.length < n || readLine(in) == null) {
        return false;
      }
      if (n == 0) {
        return true;
      }
    }
  }

  /** Reads a line without its end; null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int c = in.read();
      if (c < 0) {
        return null;
      }
      if (c == '\n') {
        String s = line.toString(StandardCharsets.UTF_8);
        return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
      }
      line.write(c);
    }
  }

  /** Waits until a process has written a text; returns the time at which it was seen, or -1. */
  long awaitOutput(String text, long millis) throws IOException, InterruptedException {
    long end = now() + millis;
    while (now() < end) {
      for (Node n : nodes.values()) {
        if (Files.exists(n.output) && Files.readString(n.output).contains(text)) {
          log(n.name + " wrote: " + text);
          return now();
        }
      }
      Thread.sleep(20);
    }
    return -1;
  }

  private synchronized void killAll() {
    for (Node n : nodes.values()) {
      if (n.process != null) {
        n.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable c : closeables) {
      c.close();
    }
    killAll();
    for (Node n : nodes.values()) {
      n.process.waitFor(2, TimeUnit.SECONDS);
    }
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(p);
        }
      }
    }
    log("all processes have ended");
  }
}
