package org.ebonypond.pgm;

import java.io.IOException;
import java.io.PrintStream;
import java.net.ConnectException;
import java.net.ProtocolException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;

/** Sends a request to the entries in order until one of them gives a final answer. */
public final class EntryClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_ROUNDS = 3;
  private static final long ROUND_DELAY_MILLIS = 500;

  /** An entry keeps 20,000 events of less than 1 KiB; other answers are smaller. In bytes. */
  private static final int MAX_ANSWER_BYTES = 32 << 20;

  /** The range of final statuses in HTTP; the library also accepts others. */
  private static final int MIN_STATUS = 200;

  private static final int MAX_STATUS = 599;

  private final List<String> entries;
  private final Duration timeout;
  private final PrintStream err;
  private final ToolContext.Pause pause;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();

  /**
   * Creates a client.
   *
   * @param entries the addresses of the entries, in the order in which they are tried
   * @param timeout the timeout of one request
   * @param err receives a line for each failed attempt
   * @param pause waits between two rounds over the entries
   */
  public EntryClient(
      List<String> entries, Duration timeout, PrintStream err, ToolContext.Pause pause) {
    this.entries = List.copyOf(entries);
    this.timeout = timeout;
    this.err = err;
    this.pause = pause;
  }

  /**
   * Reads from the first entry that answers.
   *
   * @throws ToolException with {@code REFUSED} or {@code UNREACHABLE}
   */
  public Answer get(String path) {
    Answer refused = null;
    List<String> failures = new ArrayList<>();
    for (String entry : entries) {
      try {
        Answer a = send(entry, request(entry, path).GET().build());
        if (a.ok()) {
          return a;
        }
        refused = a;
        if (a.status() / 100 == 4) {
          break;
        }
        err.println(ToolMessage.NOT_NOW.format(entry, Problem.of(a).detail()));
      } catch (IOException e) {
        failures.add(reportFailure(entry, e));
      }
    }
    if (refused != null) {
      throw refused(refused);
    }
    throw unreachable(failures);
  }

  /**
   * Reads from one entry.
   *
   * @throws IOException if the entry cannot be reached
   */
  public Answer getFrom(String entry, String path) throws IOException {
    return send(entry, request(entry, path).GET().build());
  }

  /**
   * Makes a change. The request carries an operation identifier, so it can be sent again after an
   * answer was lost: the system then returns the result of the first one.
   *
   * @param method the HTTP method
   * @param path the path
   * @param contentType the type of the body
   * @param body the body
   * @param operationId identifies the change
   * @throws ToolException with {@code REFUSED}, {@code UNREACHABLE} or {@code UNKNOWN}
   */
  public Answer change(
      String method, String path, String contentType, String body, String operationId) {
    boolean mayHaveRunAnywhere = false;
    Answer refused = null;
    List<String> failures = new ArrayList<>();
    for (int round = 0; round < MAX_ROUNDS; round++) {
      if (round > 0 && !pause.sleep(ROUND_DELAY_MILLIS)) {
        break;
      }
      for (String entry : entries) {
        HttpRequest r =
            request(entry, path)
                .header("Content-Type", contentType)
                .header("Ebonypond-Operation-Id", operationId)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
          Answer a = send(entry, r);
          if (a.ok()) {
            return a;
          }
          Problem p = Problem.of(a);
          if (!mayHaveRun(a, p) && !p.isRetryable(a.status())) {
            throw refused(a);
          }
          mayHaveRunAnywhere |= mayHaveRun(a, p);
          refused = a;
          err.println(ToolMessage.NOT_NOW.format(entry, p.detail()));
        } catch (ConnectException | HttpConnectTimeoutException e) {
          failures.add(reportFailure(entry, e));
        } catch (IOException e) {
          mayHaveRunAnywhere = true;
          err.println(ToolMessage.ANSWER_LOST.format(entry, describe(e)));
        }
      }
    }
    if (mayHaveRunAnywhere) {
      throw new ToolException(ExitCode.UNKNOWN, ToolMessage.UNKNOWN_OUTCOME, operationId);
    }
    if (refused != null) {
      throw refused(refused);
    }
    throw unreachable(failures);
  }

  /**
   * Returns whether the change may have run. After a server error it may have, unless the answer
   * states that it was not run.
   */
  private static boolean mayHaveRun(Answer a, Problem p) {
    return p.outcome().equals("outcome-unknown")
        || (a.status() / 100 == 5 && !p.outcome().equals("not-run"));
  }

  private static ToolException refused(Answer a) {
    Problem p = Problem.of(a);
    return new ToolException(ExitCode.REFUSED, ToolMessage.REFUSED, p.code(), p.detail());
  }

  private static ToolException unreachable(List<String> failures) {
    String tried = String.join(", ", failures.stream().distinct().toList());
    return new ToolException(ExitCode.UNREACHABLE, ToolMessage.UNREACHABLE, tried);
  }

  private String reportFailure(String entry, IOException e) {
    err.println(ToolMessage.NOT_REACHED.format(entry, describe(e)));
    return entry;
  }

  private static String describe(IOException e) {
    @Nullable String message = e.getMessage();
    return message == null ? e.getClass().getSimpleName() : message;
  }

  private HttpRequest.Builder request(String entry, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + entry + path)).timeout(timeout);
  }

  private Answer send(String entry, HttpRequest request) throws IOException {
    CompletableFuture<HttpResponse<String>> answer =
        http.sendAsync(request, head -> new LimitedText(MAX_ANSWER_BYTES));
    try {
      // The timeout of a request ends with the head of its answer; its body gets as long again.
      HttpResponse<String> r = answer.get(2 * timeout.toMillis(), TimeUnit.MILLISECONDS);
      if (r.statusCode() < MIN_STATUS || r.statusCode() > MAX_STATUS) {
        throw new ProtocolException("the status " + r.statusCode() + " does not exist");
      }
      return new Answer(entry, r.statusCode(), r.body());
    } catch (ExecutionException e) {
      if (e.getCause() instanceof IOException failure) {
        throw failure;
      }
      throw new IOException(e.getCause());
    } catch (TimeoutException e) {
      answer.cancel(true);
      throw new HttpTimeoutException("the answer does not end");
    } catch (InterruptedException e) {
      answer.cancel(true);
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}
