package loomreel.chaos;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import loomreel.standin.ExecutionLog;

/**
 * An HTTP client of a chaos run: submits its jobs on schedule, several at a time, and checks each
 * response.
 */
final class ChaosHttpClient {
  /** The time that a request allows for its response. */
  private static final int BUDGET_MS = 3000;

  /**
   * How much later than its budget a response may arrive. The daemon counts the budget from when it
   * has read the request, which a busy machine delays, as it delays the response.
   */
  private static final int LATENESS_TOLERANCE_MS = 1500;

  /** Requests in flight at a time: fewer than the connections that the daemon keeps idle. */
  private static final int MAX_IN_FLIGHT = 16;

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

  /** Separates the random numbers of clients and protocols. */
  private static final long SEED_FACTOR = 31;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final HttpClient http;
  private final InetSocketAddress daemon;
  private final ExecutionLog executions;
  private final ChaosFindings findings;
  private final SplittableRandom random;
  private final ChaosJobSource jobSource;

  /**
   * Creates a client.
   *
   * @param number the client's number among those of its kind
   * @param http shared by all clients; its owner is the run
   */
  ChaosHttpClient(
      int number,
      long seed,
      HttpClient http,
      InetSocketAddress daemon,
      ExecutionLog executions,
      ChaosFindings findings) {
    this.http = http;
    this.daemon = daemon;
    this.executions = executions;
    this.findings = findings;
    random = new SplittableRandom(seed * SEED_FACTOR + number);
    jobSource = new ChaosJobSource(random, "http", number);
  }

  /** Submits jobs over a time, and returns when each has its response. */
  void run(int jobs, int seconds) throws IOException, InterruptedException {
    JobSchedule schedule = new JobSchedule(jobs, seconds);
    List<CompletableFuture<Void>> inFlight = new ArrayList<>();
    for (int job = 0; job < jobs; job++) {
      schedule.await(job);
      inFlight.add(submit(job));
      if (inFlight.size() >= MAX_IN_FLIGHT) {
        inFlight.remove(0).join();
      }
    }
    inFlight.forEach(CompletableFuture::join);
  }

  private CompletableFuture<Void> submit(int job) {
    ChaosJob next = jobSource.next(job);
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://127.0.0.1:"
                        + daemon.getPort()
                        + "/"
                        + next.jobClass().className()
                        + "/page"))
            .header("X-Call-Id", HexFormat.of().toHexDigits(random.nextLong()))
            .header("X-Budget-Ms", "" + BUDGET_MS)
            .header("X-Route-Hash", jobSource.nextRoutingKey())
            .timeout(REQUEST_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(next.serial()))
            .build();
    long sentNanos = System.nanoTime();
    findings.jobsSubmitted(1);
    return send(request)
        .handle(
            (response, failure) -> {
              if (failure == null) {
                check(next, response, (System.nanoTime() - sentNanos) / NANOS_PER_MILLI);
              } else {
                findings.violation(next.serial() + " has no response: " + failure);
              }
              return null;
            });
  }

  /** Sends a request, once more where its connection closed before the daemon had read it. */
  private CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
    HttpResponse.BodyHandler<String> text = HttpResponse.BodyHandlers.ofString();
    return http.sendAsync(request, text)
        .exceptionallyCompose(
            failure ->
                failure.getMessage().contains("received no bytes")
                    ? http.sendAsync(request, text)
                    : CompletableFuture.failedFuture(failure));
  }

  private void check(ChaosJob job, HttpResponse<String> response, long elapsedMs) {
    String serial = job.serial();
    int status = response.statusCode();
    findings.jobEnded("HTTP", job.jobClass(), endName(status));
    if (elapsedMs > BUDGET_MS + LATENESS_TOLERANCE_MS) {
      findings.violation(serial + " was answered after " + elapsedMs + " ms");
    }
    int runs = executions.executions(serial);
    switch (status) {
      case 200 -> {
        if (!response.body().equals("made " + serial) || runs == 0) {
          findings.violation(serial + " was served with a foreign result: " + response.body());
        }
      }
      case 503 -> {
        if (job.jobClass() == ChaosJobClass.RECORD && runs > 0) {
          findings.violation(serial + " was rejected although it ran");
        }
      }
      case 500 -> {}
      default -> findings.violation(serial + " was answered with status " + status);
    }
  }

  private static String endName(int status) {
    return switch (status) {
      case 200 -> "served";
      case 503 -> "rejected";
      case 500 -> "failed";
      default -> "status " + status;
    };
  }
}
