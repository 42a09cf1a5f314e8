package loomreel.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loomreel.standin.BackgroundThreads;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The jobs of a daemon that is stopped, killed and started again with the same spool. */
@Timeout(120)
class SpoolTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  @TempDir private Path directory;

  private DaemonSettings settings() {
    return new DaemonSettings()
        .withClass("copy", "free")
        .withClass("issue", "single_shot")
        .withQueue("copies", "copy")
        .withQueue("renewals", "issue")
        .withFaktory("workers", "{fetch_wait: \"200ms\"}")
        .withFaktoryText("spool", directory.resolve("spool").toString());
  }

  private DaemonProcess startDaemon() throws IOException {
    return new DaemonProcess(settings().write());
  }

  private static String job(String jid, String queue) {
    return "{\"jid\":\""
        + jid
        + "\",\"jobtype\":\"Copy\",\"queue\":\""
        + queue
        + "\",\"args\":[1]}";
  }

  private static void push(FaktoryClient client, String prefix, String queue, int jobs)
      throws IOException {
    for (int i = 0; i < jobs; i++) {
      client.callExpectingOk("PUSH " + job(prefix + "-" + (1000 + i), queue));
    }
  }

  private static String clientJid(JsonNode job) {
    return job.path("custom").path("client_jid").asText();
  }

  private static void ack(FaktoryClient worker, JsonNode job) throws IOException {
    worker.callExpectingOk("ACK {\"jid\":\"" + job.path("jid").asText() + "\"}");
  }

  /** Fetches until there is a job. */
  private static JsonNode fetch(FaktoryClient worker, String queues) throws IOException {
    Object job = null;
    while (job == null) {
      job = worker.call("FETCH " + queues);
    }
    return JSON.readTree((String) job);
  }

  private static int size(FaktoryClient link, String set) throws IOException {
    return link.callForJson("INFO").path("faktory").path("tasks").path(set).path("size").asInt();
  }

  /** One wid, a connection for each thread, no labels; the HTTP workers cannot be reached. */
  @Test
  void aWorkerWithTenConnectionsRunsTenJobsAtATimeWhileOthersAreUnreachable() throws Exception {
    int port;
    try (ServerSocket unused =
        new ServerSocket(0, 1, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}))) {
      port = unused.getLocalPort();
    }
    try (DaemonProcess daemon =
            new DaemonProcess(
                settings()
                    .withHttpWorker("w1", "127.0.0.1:" + port)
                    .withHttpWorker("w2", "127.0.0.1:" + port)
                    .write());
        FaktoryClient client = new FaktoryClient(daemon.faktory(), null, null)) {
      push(client, "ten", "copies", 200);
      CountDownLatch atOnce = new CountDownLatch(10);
      CountDownLatch done = new CountDownLatch(200);
      Set<String> seen = ConcurrentHashMap.newKeySet();
      for (int i = 0; i < 10; i++) {
        BackgroundThreads.start(
            () -> {
              try (FaktoryClient link = new FaktoryClient(daemon.faktory(), null, "library")) {
                while (done.getCount() > 0) {
                  JsonNode job = fetch(link, "copies");
                  atOnce.countDown();
                  assertTrue(atOnce.await(100, TimeUnit.SECONDS), "fewer than ten jobs at a time");
                  seen.add(clientJid(job));
                  ack(link, job);
                  done.countDown();
                }
              }
            });
      }
      assertTrue(done.await(100, TimeUnit.SECONDS), done.getCount() + " jobs remain");
      assertEquals(200, seen.size());
      assertEquals(0, size(client, "Dead"));
      daemon.awaitLog("worker slots changed wid=library slots=10 ");
    }
  }

  @Test
  void aKillLosesNoWaitingJobAndRepeatsNoneThatMustNotRepeat() throws Exception {
    Set<String> expected = killWithJobsAtWorkers();
    List<String> found;
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = new FaktoryClient(daemon.faktory(), null, null);
        FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w2")) {
      assertEquals(1, size(client, "Dead"));
      assertTrue(
          client.call("PUSH " + job("copy-1050", "copies")).toString().contains("NOTUNIQUE"));
      found = fetchAndAck(worker, expected.size());
      assertNull(worker.call("FETCH copies renewals"));
      assertEquals(143, daemon.shutDown());
    }
    assertEquals(new ArrayList<>(expected), found.stream().sorted().toList());
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = new FaktoryClient(daemon.faktory(), null, null)) {
      assertEquals(1, size(client, "Dead"), "a dead job stays for operators to inspect");
      assertEquals(0, size(client, "Retries") + size(client, "Scheduled"));
      assertTrue(
          client.callForJson("TRACK GET copy-1050").path("state").asText().equals("success"));
    }
  }

  /**
   * Kills a daemon while a job of each class is at a worker; returns the jids that must wait then.
   */
  private Set<String> killWithJobsAtWorkers() throws IOException {
    Set<String> waiting = new TreeSet<>();
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = new FaktoryClient(daemon.faktory(), null, null);
        FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w1");
        FaktoryClient other = new FaktoryClient(daemon.faktory(), null, "w0")) {
      push(client, "copy", "copies", 100);
      push(client, "issue", "renewals", 20);
      assertEquals("{}", client.call("PUSHB [" + job("copy-batched", "copies") + "]"));
      JsonNode served = fetch(worker, "copies");
      ack(worker, served);
      JsonNode copy = fetch(worker, "copies");
      JsonNode issue = fetch(other, "renewals");
      for (int i = 0; i < 100; i++) {
        waiting.add("copy-" + (1000 + i));
      }
      waiting.add("copy-batched");
      waiting.remove(clientJid(served));
      for (int i = 0; i < 20; i++) {
        waiting.add("issue-" + (1000 + i));
      }
      waiting.remove(clientJid(issue));
      assertTrue(waiting.contains(clientJid(copy)));
      daemon.kill();
    }
    return waiting;
  }

  /** Fetches and acknowledges a number of jobs; returns their jids in this order. */
  private static List<String> fetchAndAck(FaktoryClient worker, int jobs) throws IOException {
    List<String> jids = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      JsonNode job = fetch(worker, "copies renewals");
      jids.add(clientJid(job));
      ack(worker, job);
    }
    return jids;
  }

  @Test
  void aGracefulShutdownStartsNoJobAndAwaitsThoseAtWorkers() throws Exception {
    Set<String> served = new HashSet<>();
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = new FaktoryClient(daemon.faktory(), null, null);
        FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w1");
        FaktoryClient beat = new FaktoryClient(daemon.faktory(), null, "w1");
        FaktoryClient other = new FaktoryClient(daemon.faktory(), null, "w0")) {
      push(client, "copy", "copies", 50);
      push(client, "issue", "renewals", 5);
      JsonNode copy = fetch(worker, "copies");
      JsonNode issue = fetch(other, "renewals");
      assertEquals("OK", beat.call("BEAT {\"wid\":\"w1\",\"rss_kb\":1234}"));
      daemon.requestShutdown();
      daemon.awaitLog("graceful shutdown started");
      assertEquals("{\"state\":\"quiet\"}", beat.call("BEAT {\"wid\":\"w1\"}"));
      assertNull(beat.call("FETCH copies renewals"));
      assertTrue(client.call("PUSH " + job("too-late", "copies")).toString().contains("leaving"));
      ack(worker, copy);
      ack(other, issue);
      served.addAll(Set.of(clientJid(copy), clientJid(issue)));
      daemon.awaitLog("spool closed waiting_jobs=53");
    }
    Set<String> found = new HashSet<>(served);
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w2")) {
      for (int i = 0; i < 53; i++) {
        JsonNode job = fetch(worker, "copies renewals");
        assertTrue(found.add(clientJid(job)), "a job ran twice");
        ack(worker, job);
      }
      assertNull(worker.call("FETCH copies renewals"));
    }
  }

  /** Whether the job ran is unknown once its reservation of 1 s has ended. */
  @Test
  void anAckAfterTheReservationIsOnlyEvidence() throws Exception {
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = new FaktoryClient(daemon.faktory(), null, null);
        FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w1")) {
      client.callExpectingOk(
          "PUSH " + job("slow-issue", "renewals").replace("}", ",\"reserve_for\":1}"));
      JsonNode job = fetch(worker, "renewals");
      while (!client.callForJson("TRACK GET slow-issue").path("state").asText().equals("dead")) {
        Thread.sleep(20);
      }
      ack(worker, job);
      JsonNode now = client.callForJson("TRACK GET slow-issue");
      assertEquals("dead", now.path("state").asText());
      assertTrue(now.path("may_have_run").asBoolean());
      assertTrue(now.path("evidence").asText().contains("ACK from w1"), now.toString());
      assertNull(worker.call("FETCH renewals"), "it is never handed out again");
      assertEquals(143, daemon.shutDown());
    }
  }

  /** Guards against accepting the jid of an ended job again after a restart. */
  @Test
  void anEndedJidIsNotAcceptedAgainAfterTwoRestarts() throws Exception {
    try (DaemonProcess daemon = startDaemon();
        FaktoryClient client = new FaktoryClient(daemon.faktory(), null, null);
        FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w1")) {
      client.callExpectingOk("PUSH " + job("served-issue", "renewals"));
      ack(worker, fetch(worker, "renewals"));
      assertEquals(143, daemon.shutDown());
    }
    for (int restart = 1; restart <= 2; restart++) {
      try (DaemonProcess daemon = startDaemon();
          FaktoryClient client = new FaktoryClient(daemon.faktory(), null, null);
          FaktoryClient worker = new FaktoryClient(daemon.faktory(), null, "w2")) {
        String reply = client.call("PUSH " + job("served-issue", "renewals")).toString();
        assertTrue(reply.contains("NOTUNIQUE"), "restart " + restart + ": " + reply);
        client.callExpectingOk("PUSH " + job("other-issue-" + restart, "renewals"));
        JsonNode other = fetch(worker, "renewals");
        assertEquals("other-issue-" + restart, clientJid(other));
        ack(worker, other);
        assertEquals(143, daemon.shutDown());
      }
    }
  }

  @Test
  void aSecondDaemonCannotOpenTheSpool() throws Exception {
    try (DaemonProcess daemon = startDaemon()) {
      IOException e = null;
      try {
        startDaemon().close();
      } catch (IOException refused) {
        e = refused;
      }
      assertTrue(e != null && e.getMessage().contains("another process holds"), String.valueOf(e));
      assertEquals(143, daemon.shutDown());
    }
  }
}
