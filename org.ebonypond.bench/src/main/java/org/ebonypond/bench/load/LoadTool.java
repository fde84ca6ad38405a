package org.ebonypond.bench.load;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Sends completions and refunds with idempotency keys to entries in an open loop and checks each
 * answer. A call without a conclusive answer is sent again, a refund with the same key, until its
 * deadline.
 */
@Command(name = "load", description = "Sends load to entries and checks the answers")
public final class LoadTool {
  private static final long RETRY_MILLIS = 300;
  private static final int MAX_TOKENS = 40;
  private static final int MIN_TOKENS = 5;

  @Option(name = "--entries", description = "HOST:PORT of each entry, separated by commas")
  private String entries = "127.0.0.1:8080";

  @Option(name = "--seconds", description = "Duration in seconds for which requests are sent")
  private int seconds = 20;

  @Option(name = "--rate", description = "Requests per second")
  private int rate = 20;

  @Option(name = "--refund-percent", description = "Percentage of refunds with idempotency keys")
  private int refundPercent = 20;

  @Option(name = "--deadline-ms", description = "Deadline of a call in milliseconds")
  private int deadlineMillis = 10_000;

  @Option(name = "--model", description = "Name of the model")
  private String model = "drafter";

  @Option(name = "--service", description = "Name of the plain service")
  private String service = "orders";

  @Option(name = "--workspaces", description = "Workspaces, separated by commas")
  private String workspaces = "surabaya,malang";

  @Option(name = "--seed", description = "Seed of the requests")
  private long seed = 1;

  @Option(name = "--csv", description = "File for the verdicts per second")
  private @Nullable String csv;

  @Option(name = "--judge", description = "HOST:PORT of each plain service stand-in")
  private String standIns = "";

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final Tally tally = new Tally();

  /** Creates a tool with default options; the command-line library calls it. */
  public LoadTool() {}

  /**
   * Runs the tool; exits with 1 if an answer was wrong or missing, or an execution contradicts the
   * answers.
   */
  public static void main(String[] args) throws Exception {
    LoadTool t = SingleCommand.singleCommand(LoadTool.class).parse(args);
    System.exit(t.run());
  }

  private int run() throws Exception {
    EntryPool pool = new EntryPool(List.of(entries.split(",")), client);
    pool.start(timer);
    List<Call> calls = calls();
    CountDownLatch remaining = new CountDownLatch(calls.size());
    long start = System.nanoTime();
    for (Call c : calls) {
      long dueMillis = c.number() * 1_000 / rate;
      timer.schedule(
          () -> new Sender(c, pool, start, dueMillis, remaining).send(),
          dueMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start),
          TimeUnit.MILLISECONDS);
    }
    final boolean allEnded =
        remaining.await(seconds + 4L * deadlineMillis / 1_000 + 10, TimeUnit.SECONDS);
    timer.shutdownNow();
    System.out.println(tally.summary());
    tally.details().forEach(d -> System.out.println("  " + d));
    writeCsv();
    ExecutionChecker checker = new ExecutionChecker(client, standIns);
    List<String> faults = checker.faults(tally.notRunKeys());
    faults.forEach(System.out::println);
    boolean wrong = tally.count(Verdict.WRONG) > 0;
    return allEnded && !wrong && faults.isEmpty() ? 0 : 1;
  }

  private List<Call> calls() {
    Random random = new Random(seed);
    String[] names = workspaces.split(",");
    List<Call> out = new ArrayList<>();
    for (int i = 0; i < seconds * rate; i++) {
      boolean completion = random.nextInt(100) >= refundPercent;
      // Two prompts in three share a long prefix, like drafts for the same school.
      String prefix = random.nextInt(3) > 0 ? "class of 1998, SMA 3 Malang. ".repeat(20) : "";
      String workspace = names[random.nextInt(names.length)];
      int tokens = MIN_TOKENS + random.nextInt(MAX_TOKENS - MIN_TOKENS);
      String id = seed + "-" + i;
      out.add(
          completion
              ? new Call(i, workspace, true, prefix + "badge " + id, tokens, null)
              : new Call(i, workspace, false, "{\"keg\":" + i + "}", 0, "refund-" + id));
    }
    return out;
  }

  private void writeCsv() throws IOException {
    if (csv != null) {
      Files.write(Path.of(csv), tally.csv());
    }
  }

  /** Sends one call until its outcome is known or its deadline has passed. */
  private final class Sender {
    private final Call call;
    private final EntryPool pool;
    private final long start;
    private final long dueMillis;
    private final CountDownLatch remaining;

    Sender(Call call, EntryPool pool, long start, long dueMillis, CountDownLatch remaining) {
      this.call = call;
      this.pool = pool;
      this.start = start;
      this.dueMillis = dueMillis;
      this.remaining = remaining;
    }

    void send() {
      client
          .sendAsync(
              call.request(pool.next(), model, service, Duration.ofMillis(deadlineMillis)),
              HttpResponse.BodyHandlers.ofString())
          .whenComplete(this::answered);
    }

    private void answered(@Nullable HttpResponse<String> a, @Nullable Throwable failure) {
      long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) - dueMillis;
      Verdict v = a == null ? Verdict.LOST : call.verdict(a.statusCode(), a.body());
      String detail = a == null ? String.valueOf(failure) : shorten(a.body());
      if (v == Verdict.CORRECT && elapsed > deadlineMillis) {
        v = Verdict.LATE;
      }
      boolean conclusive = v == Verdict.CORRECT || v == Verdict.WRONG || v == Verdict.LATE;
      boolean retry = !conclusive && elapsed < deadlineMillis;
      // Before the deadline, the caller retries a completion, and a refund with the same key.
      if (retry) {
        timer.schedule(this::send, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        return;
      }
      tally.add(call, v, dueMillis / 1_000, elapsed, detail);
      remaining.countDown();
    }

    private static String shorten(String text) {
      int at = text.indexOf("\"code\"");
      return at < 0 ? "" : text.substring(at, Math.min(text.length(), at + 60));
    }
  }
}
