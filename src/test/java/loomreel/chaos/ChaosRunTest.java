package loomreel.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import loomreel.standin.DaemonProcess;
import loomreel.standin.ExecutionLog;
import loomreel.standin.FaktoryClient;
import loomreel.standin.FaktoryWorker;
import loomreel.standin.HttpWorker;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients and workers of both protocols at one daemon. */
@Timeout(180)
class ChaosRunTest {
  /** A short run of {@code loomreel chaos}. */
  @Test
  void everyJobHasOneEndAndNoNonIdempotentJobRunsTwice() throws Exception {
    long seed = 7;
    System.out.println("seed " + seed);
    ChaosResult result = new ChaosRun(new ChaosRun.Plan(seed, 1200, 5, true)).run();
    assertEquals(List.of(), result.violations());
    assertEquals(1200, result.ends().values().stream().mapToInt(Integer::intValue).sum());
    assertTrue(result.servedBy().values().stream().allMatch(n -> n > 0), result.toString());
  }

  private static String settings(String workers, Path spool) {
    return """
    name: "t"
    listen: {http: "127.0.0.1:0", operators: "127.0.0.1:0"}
    classes: {
    	render: {repeat: "free", target: "20s", deadline: "20s"}
    	record: {repeat: "single_shot", target: "20s", deadline: "20s"}
    }
    rules: cold_from: 1.0
    %s
    faktory: {
    	listen: "127.0.0.1:0"
    	queues: {pages: class: "render", entries: class: "record"}
    	workers: {fetch_wait: "300ms", cold: false}
    	spool: "%s"
    }
    """
        .formatted(workers, spool);
  }

  /**
   * SIGTERM while an HTTP client's job is at a Faktory worker: it is served before the daemon ends.
   */
  @Test
  void aShutdownWaitsForAnHttpJobAtAFaktoryWorker() throws Exception {
    Path directory = Files.createTempDirectory("loomreel");
    try (DaemonProcess daemon =
            new DaemonProcess(DaemonProcess.writeSettings(settings("", directory.resolve("s"))));
        FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w")) {
      assertEquals(null, worker.call("FETCH entries"));
      CompletableFuture<HttpResponse<String>> answer =
          HttpClient.newHttpClient()
              .sendAsync(
                  HttpRequest.newBuilder(
                          URI.create(
                              "http://127.0.0.1:"
                                  + daemon.http().getPort()
                                  + "/record/certificate?n=1"))
                      .header("X-Call-Id", "00000000000000aa")
                      .header("X-Budget-Ms", "20000")
                      .POST(HttpRequest.BodyPublishers.ofString("serial-1"))
                      .build(),
                  HttpResponse.BodyHandlers.ofString());
      Object fetched = null;
      while (fetched == null) {
        fetched = worker.call("FETCH entries");
      }
      JsonNode job = new ObjectMapper().readTree((String) fetched);
      assertEquals("certificate", job.path("jobtype").asText());
      assertEquals("/record/certificate?n=1", job.path("args").path(0).path("target").asText());
      assertEquals("serial-1", FaktoryWorker.serial(job));
      daemon.requestShutdown();
      daemon.awaitLog("graceful shutdown started");
      worker.callExpectingOk(
          "ACK {\"jid\":\"" + job.path("jid").asText() + "\",\"result\":\"made\"}");
      assertEquals("made", answer.join().body());
      assertEquals(143, daemon.shutDown());
    }
  }

  /**
   * SIGTERM while a Faktory client's job is at an HTTP worker, and others wait: they are executed
   * by the next process.
   */
  @Test
  void aRestartLosesNoJob() throws Exception {
    Path directory = Files.createTempDirectory("loomreel");
    Path spool = directory.resolve("spool");
    ExecutionLog executions = new ExecutionLog();
    AtomicReference<InetSocketAddress> callbackAddress = new AtomicReference<>();
    try (HttpWorker worker = new HttpWorker("w0", callbackAddress::get, 1, 400, executions)) {
      String settings = settings("workers: w0: address: \"" + worker.address() + "\"", spool);
      try (DaemonProcess first = new DaemonProcess(DaemonProcess.writeSettings(settings));
          FaktoryClient client = new FaktoryClient(first.faktory(), null, null)) {
        callbackAddress.set(first.http());
        for (int i = 0; i < 6; i++) {
          client.callExpectingOk(
              "PUSH {\"jid\":\"restart-"
                  + i
                  + "\",\"jobtype\":\"Make\",\"queue\":\"entries\",\"args\":[\"s"
                  + i
                  + "\"]"
                  + (i >= 4 ? ",\"at\":\"2099-01-01T00:00:00Z\"" : "")
                  + "}");
        }
        while (executions.executions("s0")
                + executions.executions("s1")
                + executions.executions("s2")
                + executions.executions("s3")
            == 0) {
          Thread.sleep(5);
        }
        assertEquals(143, first.shutDown());
      }
      assertTrue(Files.exists(spool));
      try (DaemonProcess second = new DaemonProcess(DaemonProcess.writeSettings(settings));
          FaktoryClient client = new FaktoryClient(second.faktory(), null, null)) {
        callbackAddress.set(second.http());
        for (int i = 0; i < 4; i++) {
          while (executions.executions("s" + i) == 0) {
            Thread.sleep(5);
          }
        }
        JsonNode tasks = client.callForJson("INFO").path("faktory").path("tasks");
        assertEquals(2, tasks.path("Scheduled").path("size").asInt(), tasks.toString());
        assertEquals("scheduled", client.callForJson("TRACK GET restart-5").path("state").asText());
        assertEquals(0, tasks.path("Dead").path("size").asInt(), tasks.toString());
      }
      assertEquals(Set.of(), executions.executedRepeatedly("s"));
    }
  }
}
