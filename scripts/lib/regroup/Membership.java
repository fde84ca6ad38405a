import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The membership of an instance in a group, and the models on its host. Carries out orders; unlike
 * {@link Engine}, a head breaks when a member is missing for too long. The lock of the fleet guards
 * it.
 */
final class Membership {
  private static final int REJOIN_MILLIS = 200;
  private static final int WARM_MILLIS = 500;
  private static final int LOAD_MILLIS = 1_200;
  private static final int FORM_MILLIS = 300;
  private static final int MAX_STAGED = 2;
  private static final String GROUP =
      """
      "group":{"name":"%s","epoch":%d,"rank":%d,"state":"%s"},\
      """;

  private final Fleet fleet;
  private final Harness harness;
  private final String id;
  private final Semaphore changed;
  private final List<String> staged = new ArrayList<>();
  private boolean stopped;
  private long heldUntil;
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

  /** Creates a membership in no group; {@code changed} is released at each change. */
  Membership(Fleet fleet, String id, List<String> staged, Semaphore changed) {
    this.fleet = fleet;
    this.harness = fleet.harness;
    this.id = id;
    this.staged.addAll(staged);
    this.changed = changed;
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

  /** Answers 409 to the order to leave for a while. */
  void hold(long millis) {
    synchronized (fleet) {
      heldUntil = harness.now() + millis;
    }
  }

  boolean isHeld() {
    return harness.now() < heldUntil;
  }

  /** Ends all changes that are under way. */
  void stop() {
    stopped = true;
  }

  /** Begins a request if this instance is the head of an open group. */
  boolean begin() {
    synchronized (fleet) {
      boolean open = headState().equals("open");
      running += open ? 1 : 0;
      return open;
    }
  }

  void end() {
    synchronized (fleet) {
      running--;
    }
  }

  /** Returns whether requests wait for a missing member. */
  boolean isStalled() {
    synchronized (fleet) {
      return missingSince >= 0 && !state.equals("broken");
    }
  }

  boolean isBroken() {
    synchronized (fleet) {
      return state.equals("broken");
    }
  }

  /** Returns the fields of a heartbeat that tell of models and the group. */
  String report() {
    boolean loaded = !model.isEmpty() && !state.equals("joining");
    String models = loaded ? "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}" : "";
    String hosts = staged.isEmpty() ? "" : "\"" + String.join("\",\"", staged) + "\"";
    String g = group.isEmpty() ? "" : GROUP.formatted(group, epoch, rank, state);
    return g + "\"models\":[" + models + "],\"staged\":[" + hosts + "]";
  }

  /** Breaks a group that has lacked a member for too long, and ends the closing of an idle one. */
  void tick(long now, boolean missing) {
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

  /** Carries out an order that arrived {@code delay} milliseconds ago; returns the status. */
  int order(String body, int delay) {
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
    fleet.checkJoin(id, name, number, ids);
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
    if (!isCurrent(body) || isHeld()) {
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
          load(wanted);
          changed.release();
        });
    return 202;
  }

  private void load(String wanted) {
    if (!staged.contains(wanted)) {
      staged.add(wanted);
      if (staged.size() > MAX_STAGED) {
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
          if (name.equals(group) && number == epoch && state.equals(expected)) {
            change.run();
          }
        });
  }

  private void later(int millis, Runnable r) {
    Worker.daemon(
        () -> {
          try {
            Thread.sleep(millis);
          } catch (InterruptedException e) {
            return;
          }
          synchronized (fleet) {
            if (!stopped) {
              r.run();
            }
          }
        });
  }

  private static long number(String body, String key) {
    Matcher m = Pattern.compile("\"" + key + "\":(\\d+)").matcher(body);
    return m.find() ? Long.parseLong(m.group(1)) : 0;
  }
}
