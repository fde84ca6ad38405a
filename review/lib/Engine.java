import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in of a model worker: takes orders, and serves streams as the head of an open group. */
class Engine extends Worker {
  static final int REJOIN_MILLIS = 200;
  static final int FORM_MILLIS = 300;

  private final String domain;
  private final int warmMillis;
  private final int loadMillis;
  private final List<String> staged = new ArrayList<>();
  private final List<Join> joins = new ArrayList<>();
  private String group = "";
  private String model = "";
  private String lastModel = "";
  private List<String> members = List.of();
  private int rank;
  private String state = "";
  private long epoch;
  private long highestEpoch;
  private long highestFence;
  private long orders;

  /** A join that this worker took. */
  record Join(long at, String group, long epoch, List<String> members) {}

  Engine(
      Harness h, String id, String service, String zone, String ip, String domain, int loadMillis,
      int warmMillis)
      throws IOException {
    super(h, id, service, zone, ip);
    this.domain = domain;
    this.loadMillis = loadMillis;
    this.warmMillis = warmMillis;
  }

  synchronized List<Join> joins() {
    return List.copyOf(joins);
  }

  /** Returns the state of the group of which this worker is the head; empty if it is none. */
  synchronized String headState() {
    return rank == 0 ? state : "";
  }

  synchronized String group() {
    return group;
  }

  synchronized List<String> members() {
    return members;
  }

  @Override
  synchronized String extra() {
    String models =
        model.isEmpty() || state.equals("joining")
            ? ""
            : "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}";
    StringBuilder hosts = new StringBuilder();
    staged.forEach(m -> hosts.append(hosts.length() == 0 ? "" : ",").append('"' + m + '"'));
    String membership =
        group.isEmpty()
            ? ""
            : ",\"group\":{\"name\":\"" + group + "\",\"epoch\":" + epoch + ",\"rank\":" + rank
                + ",\"state\":\"" + state + "\"}";
    return ",\"stage\":\"both\",\"models\":[" + models + "],\"staged\":[" + hosts
        + "],\"domain\":\"" + domain + "\"" + membership;
  }

  @Override
  boolean handle(Request r, Socket s) throws IOException {
    if (r.path.equals("/ebonypond/order")) {
      String body =
          new String(s.getInputStream().readNBytes(r.length()), StandardCharsets.UTF_8);
      boolean wrong = !r.header("Expect-Instance").isEmpty()
          && !r.header("Expect-Instance").equals(id);
      return write(s, wrong ? 421 : order(body), r, "", "");
    }
    if (!r.path.startsWith("/draft/")) {
      return super.handle(r, s);
    }
    r.body = s.getInputStream().readNBytes(r.length());
    boolean head;
    synchronized (this) {
      head = rank == 0 && state.equals("open") && r.header("Expect-Instance").equals(id);
    }
    if (!head) {
      return write(s, 421, r, "Not-Executed: 1\r\nAt-Server: " + id + "\r\n", "");
    }
    run(r);
    return write(
        s,
        200,
        r,
        "Origin-Seal: seal-" + id + "\r\nContent-Type: text/event-stream\r\n",
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }

  private synchronized int order(String body) {
    String op = text(body, "op");
    long fence = number(body, "fence");
    int status;
    if (fence < highestFence) {
      status = 412;
    } else {
      highestFence = fence;
      status =
          switch (op) {
            case "join" -> join(body);
            case "open" -> open(body);
            case "close" -> close(body);
            case "leave" -> leave(body);
            case "stage" -> stage(text(body, "model"));
            default -> 400;
          };
    }
    h.log(id + ": order " + body + ": " + status);
    return status;
  }

  private int join(String body) {
    String name = text(body, "group");
    long number = number(body, "epoch");
    List<String> ids = list(body, "members");
    if (number < highestEpoch) {
      return 412;
    }
    if (name.equals(group) && number == epoch) {
      return ids.equals(members) ? 200 : 412;
    }
    String wanted = text(body, "model");
    int millis =
        wanted.equals(lastModel)
            ? REJOIN_MILLIS
            : staged.contains(wanted) ? warmMillis : loadMillis;
    highestEpoch = number;
    epoch = number;
    group = name;
    members = ids;
    rank = ids.indexOf(id);
    model = wanted;
    lastModel = wanted;
    state = "joining";
    orders++;
    joins.add(new Join(h.now(), name, number, ids));
    later(millis, () -> {
      if (name.equals(group) && number == epoch && state.equals("joining")) {
        if (!staged.contains(wanted)) {
          staged.clear();
          staged.add(wanted);
        }
        state = "ready";
      }
    });
    beatNow();
    return 202;
  }

  private int open(String body) {
    if (!isCurrent(body) || rank != 0) {
      return 409;
    }
    if (state.equals("open")) {
      return 200;
    }
    if (!state.equals("ready")) {
      return 409;
    }
    String name = group;
    long number = epoch;
    orders++;
    later(FORM_MILLIS, () -> {
      if (name.equals(group) && number == epoch && state.equals("ready")) {
        state = "open";
      }
    });
    return 202;
  }

  private int close(String body) {
    if (!isCurrent(body) || rank != 0) {
      return 409;
    }
    state = "ready";
    orders++;
    beatNow();
    return 202;
  }

  private int leave(String body) {
    if (!isCurrent(body)) {
      return 409;
    }
    group = "";
    model = "";
    state = "";
    members = List.of();
    orders++;
    beatNow();
    return 200;
  }

  private int stage(String wanted) {
    if (staged.contains(wanted)) {
      return 200;
    }
    orders++;
    later(loadMillis, () -> {
      staged.clear();
      staged.add(wanted);
    });
    return 202;
  }

  private boolean isCurrent(String body) {
    return text(body, "group").equals(group) && number(body, "epoch") == epoch;
  }

  private void later(int millis, Runnable r) {
    daemon(
        () -> {
          try {
            Thread.sleep(millis);
          } catch (InterruptedException e) {
            return;
          }
          synchronized (this) {
            r.run();
          }
          beatNow();
        });
  }

  static String text(String body, String key) {
    Matcher m = Pattern.compile("\"" + key + "\":\"([^\"]*)\"").matcher(body);
    return m.find() ? m.group(1) : "";
  }

  static long number(String body, String key) {
    Matcher m = Pattern.compile("\"" + key + "\":(\\d+)").matcher(body);
    return m.find() ? Long.parseLong(m.group(1)) : 0;
  }

  static List<String> list(String body, String key) {
    Matcher m = Pattern.compile("\"" + key + "\":\\[([^\\]]*)\\]").matcher(body);
    List<String> out = new ArrayList<>();
    if (m.find()) {
      for (String s : m.group(1).split(",")) {
        out.add(s.replace("\"", "").trim());
      }
    }
    return out;
  }
}
