package loomreel.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.URL;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.faktory.protocol.Handshake;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;
import loomreel.standin.RespReader;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The daemon as a process, met as Faktory clients and copy workers meet it: rude ones too. */
@Timeout(120)
class ProtocolTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String SETTINGS =
      """
      name: "t"
      listen: {http: "127.0.0.1:0", operators: "127.0.0.1:0"}
      classes: {
      	copy: {repeat: "free", target: "20s", deadline: "20s"}
      	issue: {repeat: "single_shot", target: "20s", deadline: "20s"}
      	only: {repeat: "free", target: "20s", deadline: "20s", kind: "nobody"}
      }
      rules: cold_from: 1.0
      faktory: {
      	listen: "127.0.0.1:0"
      	password: "secret"
      	iterations: 7
      	queues: {copies: class: "copy", renewals: class: "issue", parked: class: "only"}
      	workers: {fetch_wait: "300ms", cold: false}
      	connections: 64
      	command: "256KiB"
      	backoff: "50ms"
      	may_mutate: true
      	spool: "none"
      }
      """;
  private static DaemonProcess daemon;
  private static final AtomicInteger NUMBERS = new AtomicInteger(10_000_000);

  @BeforeAll
  static void start() throws IOException {
    daemon = new DaemonProcess(DaemonProcess.writeSettings(SETTINGS));
  }

  @AfterAll
  static void stop() throws InterruptedException {
    assertEquals(143, daemon.shutDown());
    daemon.close();
  }

  private static FaktoryClient client() throws IOException {
    return new FaktoryClient(daemon.faktory(), "secret", null);
  }

  private static FaktoryClient worker(String wid) throws IOException {
    return new FaktoryClient(daemon.faktory(), "secret", wid, "slots=8");
  }

  private static String jid() {
    return "jid-" + NUMBERS.incrementAndGet();
  }

  private static String job(String jid, String queue, String more) {
    return "{\"jid\":\""
        + jid
        + "\",\"jobtype\":\"Make\",\"queue\":\""
        + queue
        + "\",\"args\":[\""
        + jid
        + "\"]"
        + more
        + "}";
  }

  private static JsonNode await(FaktoryClient link, String jid, String state) throws Exception {
    JsonNode now = link.callForJson("TRACK GET " + jid);
    for (int i = 0; i < 3000 && !now.path("state").asText().equals(state); i++) {
      Thread.sleep(10);
      now = link.callForJson("TRACK GET " + jid);
    }
    assertEquals(state, now.path("state").asText(), now.toString());
    return now;
  }

  /** Fetches until a job comes. */
  private static JsonNode fetch(FaktoryClient worker, String queue) throws IOException {
    for (int i = 0; i < 100; i++) {
      Object job = worker.call("FETCH " + queue);
      if (job != null) {
        return JSON.readTree((String) job);
      }
    }
    throw new AssertionError("nothing to fetch");
  }

  private static String ack(JsonNode job) {
    return "ACK {\"jid\":\"" + job.path("jid").asText() + "\",\"result\":\"done\"}";
  }

  @Test
  void onlyWhoKnowsThePasswordAndTheVersionComesIn() throws Exception {
    assertThrows(IOException.class, () -> new FaktoryClient(daemon.faktory(), "wrong", null));
    for (String hello :
        new String[] {
          "HELLO {\"v\":2}",
          "HELLO {\"v\":1}",
          "HELLO what",
          "HELLO",
          "PUSH {}",
          "INFO",
          "",
          "HELLO {\"v\":2,\"pwdhash\":\"\"}",
          "HELLO [2]"
        }) {
      try (Socket socket = new Socket(daemon.faktory().getAddress(), daemon.faktory().getPort())) {
        socket.setSoTimeout(30_000);
        InputStream in = socket.getInputStream();
        assertTrue(RespReader.read(in).toString().startsWith("HI {\"v\":2,\"i\":7,\"s\":"));
        socket.getOutputStream().write((hello + "\r\n").getBytes(StandardCharsets.UTF_8));
        assertTrue(RespReader.read(in) instanceof RespReader.ErrorReply, hello);
        assertEquals(-1, in.read(), "the connection is closed");
      }
    }
    try (FaktoryClient link = client()) {
      assertEquals("OK", link.call("END"));
    }
  }

  /**
   * Each gets an error, and those after which nothing could be made sense of a close; the daemon
   * goes on.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "*1\r\n$60000000\r\n",
        "$-5\r\n",
        "*-1\r\n",
        "*99999999999\r\n",
        "*1\r\n*1\r\n*1\r\n$4\r\nINFO\r\n"
      })
  void framingOfServersIsRefused(String bytes) throws Exception {
    try (FaktoryClient link = client()) {
      link.socket().getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
      assertTrue(link.read() instanceof RespReader.ErrorReply);
      assertThrows(IOException.class, link::read);
    }
    try (FaktoryClient link = client()) {
      link.callForJson("INFO");
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "NONSENSE",
        "PUSH",
        "PUSH {",
        "PUSH []",
        "PUSHB {}",
        "PUSHB [1,",
        "PUSHB [] 1",
        "FETCH copies",
        "TRACK",
        "MUTATE {\"cmd\":\"kill\",\"target\":\"all\"}",
        "MUTATE {\"cmd\":\"x\",\"target\":\"dead\"}",
        "BEAT {\"wid\":\"x\"}",
        "FAIL {\"jid\":\"nobody's\"}",
        "TRACK SET {\"jid\":\"nobody's\"}",
        "ACK {",
        "PUSH {\"jid\":\"12345678\"}",
        "PUSH {\"jid\":\"short\",\"jobtype\":\"a\",\"queue\":\"copies\",\"args\":[]}",
        "PUSH {\"jid\":\"12345678\",\"jobtype\":\"a\",\"queue\":\"nowhere\",\"args\":[]}",
        "PUSH {\"jid\":\"12345678\",\"jobtype\":\"a\",\"queue\":\"copies\",\"args\":[],\"at\":\"tomorrow\"}",
        "PUSH {\"jid\":\"12345678\",\"jobtype\":\"a\",\"queue\":\"copies\",\"args\":[],\"priority\":77}",
        "PUSH {\"jid\":\"12345678\",\"jobtype\":\"a\",\"queue\":\"copies\",\"args\":[],\"custom\":{\"cost_us\":1e300}}"
      })
  void whatIsWrongIsAnErrorAndTheConnectionGoesOn(String command) throws Exception {
    try (FaktoryClient link = client()) {
      assertTrue(link.call(command) instanceof RespReader.ErrorReply, command);
      link.callForJson("INFO");
    }
  }

  @Test
  void aLineThatIsTooLongEndsItsConnection() throws Exception {
    try (FaktoryClient link = client()) {
      link.socket()
          .getOutputStream()
          .write(("PUSH \"" + "x".repeat(300_000)).getBytes(StandardCharsets.UTF_8));
      assertTrue(link.read().toString().contains("over 262144 bytes"));
    } catch (java.net.SocketException e) {
      // What was still to be sent met the close; the next lines show that the daemon goes on.
    }
    try (FaktoryClient link = client()) {
      Object answer =
          link.call(
              "PUSH " + job(jid(), "copies", ",\"custom\":{\"x\":\"" + "x".repeat(70_000) + "\"}"));
      assertTrue(
          answer.toString().contains("61440 bytes"),
          "no kind of copy worker could take it: " + answer);
      link.callForJson("INFO");
    }
  }

  @Test
  void aBatchIsTakenButForWhatIsWrongWithIt() throws Exception {
    StringBuilder batch = new StringBuilder("[");
    String first = null;
    for (int i = 0; i < 1000; i++) {
      String jid = jid();
      first = first == null ? jid : first;
      batch
          .append(i == 0 ? "" : ",")
          .append(i % 10 == 3 ? "{\"jid\":\"" + jid + "\",\"args\":7}" : job(jid, "parked", ""));
    }
    try (FaktoryClient link = client()) {
      JsonNode refused = link.callForJson("PUSHB " + batch + "]");
      assertEquals(100, refused.size());
      refused.forEach(r -> assertTrue(r.asText().startsWith("ERR "), r.toString()));
      assertTrue(
          link.callForJson("PUSHB [" + job(first, "parked", "") + "]")
              .path(first)
              .asText()
              .startsWith("NOTUNIQUE"));
      assertTrue(
          List.of("enqueued", "working", "retrying")
              .contains(link.callForJson("TRACK GET " + first).path("state").asText()));
      link.callExpectingOk("FLUSH");
      assertEquals("{}", link.callForJson("PUSHB []").toString());
    }
  }

  @Test
  void aJobGoesFromClientToWorkerAndItsEndComesBack() throws Exception {
    String jid = jid();
    try (FaktoryClient client = client();
        FaktoryClient worker = worker("round-trip")) {
      assertNull(worker.call("FETCH copies"), "an empty queue is told after the wait");
      client.callExpectingOk(
          "PUSH " + job(jid, "copies", ",\"custom\":{\"key\":\"k\",\"mine\":[1]}"));
      JsonNode job = fetch(worker, "copies");
      assertEquals(jid, job.path("custom").path("client_jid").asText());
      assertEquals("[1]", job.path("custom").path("mine").toString());
      assertEquals(jid, job.path("args").path(0).asText());
      worker.callExpectingOk(
          "TRACK SET {\"jid\":\""
              + job.path("jid").asText()
              + "\",\"percent\":\"40\",\"desc\":\"half\"}");
      assertEquals("40", client.callForJson("TRACK GET " + jid).path("percent").asText());
      worker.callExpectingOk("BEAT {\"wid\":\"round-trip\"}");
      worker.callExpectingOk(ack(job));
      assertEquals("done", await(client, jid, "success").path("result").asText());
      // Doubled and foreign: answered as published, acted on once.
      worker.callExpectingOk(ack(job));
      assertTrue(
          worker.call("FAIL {\"jid\":\"" + job.path("jid").asText() + "\"}")
              instanceof RespReader.ErrorReply);
      assertEquals("success", client.callForJson("TRACK GET " + jid).path("state").asText());
      assertTrue(
          client.call("PUSH " + job(jid, "copies", "")).toString().contains("NOTUNIQUE"),
          "ended lately");
    }
  }

  /** The connection is cut before the ACK, within it and right after it. */
  @ParameterizedTest
  @CsvSource({"before,dead", "within,dead", "after,success"})
  void anIssueWhoseAckIsLostIsNeverHandedOutAgain(String cut, String end) throws Exception {
    String jid = jid();
    try (FaktoryClient client = client();
        FaktoryClient other = worker("other-" + cut)) {
      String id;
      try (FaktoryClient worker = worker("cut-" + cut)) {
        assertNull(worker.call("FETCH renewals"));
        client.callExpectingOk("PUSH " + job(jid, "renewals", ""));
        JsonNode job = fetch(worker, "renewals");
        id = job.path("jid").asText();
        if (cut.equals("within")) {
          String ack = ack(job);
          worker
              .socket()
              .getOutputStream()
              .write(ack.substring(0, ack.length() - 4).getBytes(StandardCharsets.UTF_8));
        } else if (cut.equals("after")) {
          worker.send(ack(job));
          worker.read();
        }
      }
      JsonNode state = await(client, jid, end);
      if (end.equals("dead")) {
        assertEquals("may have run", state.path("reason").asText());
        assertTrue(state.path("may_have_run").asBoolean());
        assertTrue(
            client.call(
                    "MUTATE {\"cmd\":\"requeue\",\"target\":\"dead\",\"filter\":{\"jids\":[\""
                        + jid
                        + "\"]}}")
                instanceof RespReader.ErrorReply,
            "not even by an operator");
      }
      // The process comes again, and tells what it did: that settles the record and not the answer.
      try (FaktoryClient again = worker("cut-" + cut)) {
        assertNull(again.call("FETCH renewals"));
        again.callExpectingOk("ACK {\"jid\":\"" + id + "\"}");
      }
      state = client.callForJson("TRACK GET " + jid);
      assertEquals(end, state.path("state").asText());
      assertTrue(state.path("evidence").asText().contains("ACK from cut-" + cut), state.toString());
      assertNull(other.call("FETCH renewals"), "nobody else gets it");
    }
  }

  /**
   * What is safe to repeat goes to another worker when one dies with it, between its FETCH and its
   * first BEAT.
   */
  @Test
  void aCopyWhoseWorkerDiesIsHandedToAnother() throws Exception {
    String jid = jid();
    try (FaktoryClient client = client();
        FaktoryClient two = worker("two-lives")) {
      try (FaktoryClient one = worker("one-dies")) {
        assertNull(one.call("FETCH copies"));
        client.callExpectingOk("PUSH " + job(jid, "copies", ""));
        fetch(one, "copies");
      }
      JsonNode job = fetch(two, "copies");
      assertEquals(jid, job.path("custom").path("client_jid").asText());
      two.callExpectingOk(ack(job));
      await(client, jid, "success");
    }
  }

  @Test
  void aWorkerThatIsQuietGetsNothingNewAndMayEndWhatItHas() throws Exception {
    String first = jid();
    String second = jid();
    try (FaktoryClient client = client();
        FaktoryClient worker = worker("quiet");
        FaktoryClient beat = worker("quiet")) {
      assertNull(worker.call("FETCH copies"));
      client.callExpectingOk("PUSH " + job(first, "copies", ""));
      JsonNode job = fetch(worker, "copies");
      // A FETCH that is waiting when the drain comes is answered with nothing, as is one that comes
      // later.
      worker.send("FETCH copies");
      beat.callExpectingOk("BEAT {\"wid\":\"quiet\",\"current_state\":\"quiet\"}");
      assertNull(worker.read());
      client.callExpectingOk("PUSH " + job(second, "copies", ""));
      assertNull(worker.call("FETCH copies"));
      worker.callExpectingOk(ack(job));
      await(client, first, "success");
      try (FaktoryClient next = worker("next")) {
        JsonNode other = fetch(next, "copies");
        assertEquals(second, other.path("custom").path("client_jid").asText());
        next.callExpectingOk(ack(other));
      }
      await(client, second, "success");
    }
  }

  @Test
  void aWorkerThatOperatorsTakeOutGetsNothing() throws Exception {
    String jid = jid();
    try (FaktoryClient client = client();
        FaktoryClient worker = worker("taken-out")) {
      assertNull(worker.call("FETCH copies"));
      assertEquals(200, operate("down", "f:taken-out"));
      client.callExpectingOk("PUSH " + job(jid, "copies", ""));
      assertNull(worker.call("FETCH copies"));
      assertEquals(200, operate("up", "f:taken-out"));
      JsonNode job = fetch(worker, "copies");
      worker.callExpectingOk(ack(job));
      await(client, jid, "success");
    }
  }

  private static int operate(String what, String worker) throws IOException {
    HttpURLConnection call =
        (HttpURLConnection)
            new URL("http", "127.0.0.1", daemon.operators().getPort(), "/ops/copy-workers/" + what)
                .openConnection();
    call.setDoOutput(true);
    call.getOutputStream().write(worker.getBytes(StandardCharsets.UTF_8));
    return call.getResponseCode();
  }

  /** One connection of a process breaks: what the other one fetched goes on. */
  @Test
  void connectionsOfOneProcessEndOnlyWhatTheyFetched() throws Exception {
    String lost = jid();
    String kept = jid();
    try (FaktoryClient client = client();
        FaktoryClient two = worker("pair")) {
      JsonNode keptJob;
      try (FaktoryClient one = worker("pair")) {
        assertNull(one.call("FETCH renewals"));
        client.callExpectingOk("PUSH " + job(lost, "renewals", ""));
        fetch(one, "renewals");
        client.callExpectingOk("PUSH " + job(kept, "renewals", ""));
        keptJob = fetch(two, "renewals");
      }
      assertEquals("may have run", await(client, lost, "dead").path("reason").asText());
      two.callExpectingOk(ack(keptJob));
      await(client, kept, "success");
    }
  }

  /**
   * Answers that pile up unread: the jobs of which every byte has gone out may have run, the others
   * have not.
   */
  @Test
  // Not split yet; listed in docs/ROADMAP.md.
  @SuppressWarnings("checkstyle:MethodLength")
  void aFetchAnswerThatIsCutInTheMiddleNeverRan() throws Exception {
    int jobs = 120;
    List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
    HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    Socket unread = new Socket();
    try (FaktoryClient other = worker("reads")) {
      unread.setReceiveBufferSize(4096);
      unread.connect(daemon.faktory());
      JsonNode hi = JSON.readTree(RespReader.read(unread.getInputStream()).toString().substring(3));
      unread
          .getOutputStream()
          .write(
              ("HELLO {\"v\":2,\"wid\":\"never-reads\",\"labels\":[\"slots=400\"],\"pwdhash\":\""
                      + Handshake.hash("secret", hi.path("s").asText(), hi.path("i").asInt())
                      + "\"}\r\nFETCH renewals\r\n")
                  .getBytes(StandardCharsets.UTF_8));
      assertEquals("OK", RespReader.read(unread.getInputStream()));
      assertNull(RespReader.read(unread.getInputStream()));
      for (int i = 0; i < jobs; i++) {
        answers.add(
            http.sendAsync(
                HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + daemon.http().getPort() + "/issue/x"))
                    .header("X-Call-Id", String.format("%016x", 0xabc000 + i))
                    .header("X-Budget-Ms", "20000")
                    .POST(HttpRequest.BodyPublishers.ofString("x".repeat(60_000)))
                    .build(),
                HttpResponse.BodyHandlers.ofString()));
        unread.getOutputStream().write("FETCH renewals\r\n".getBytes(StandardCharsets.UTF_8));
      }
      // Until nothing more moves: the sockets' buffers are full, and the daemon has stopped reading
      // commands there.
      try (FaktoryClient client = client()) {
        int before = -1;
        for (int same = 0; same < 30; ) {
          int now = client.callForJson("INFO").path("server").path("command_count").asInt();
          same = now - before <= 1 ? same + 1 : 0;
          before = now;
          Thread.sleep(20);
        }
      }
      other.send("FETCH renewals");
      Thread.sleep(50);
      unread.close();
      while (answers.stream().anyMatch(a -> !a.isDone())) {
        Object job = other.read();
        if (job != null) {
          other.callExpectingOk(ack(JSON.readTree((String) job)));
        }
        other.send("FETCH renewals");
      }
      long served = answers.stream().filter(a -> a.join().statusCode() == 200).count();
      long failed = answers.stream().filter(a -> a.join().statusCode() == 500).count();
      assertEquals(jobs, served + failed);
      assertTrue(failed > 0, "some went out whole, and must not run again");
      assertTrue(served > 0, "the others never ran, and did so elsewhere");
    } finally {
      unread.close();
    }
  }

  /** Many that say nothing, and one that never reads: others are served, and room is made. */
  @Test
  void silentConnectionsAndUnreadAnswersHarmNobody() throws Exception {
    List<Socket> silent = new ArrayList<>();
    try {
      for (int i = 0; i < 300; i++) {
        silent.add(new Socket(daemon.faktory().getAddress(), daemon.faktory().getPort()));
      }
      try (FaktoryClient rude = client();
          FaktoryClient link = client()) {
        rude.socket().setSoTimeout(100);
        CompletableFuture<Void> flood =
            CompletableFuture.runAsync(
                () -> {
                  try {
                    for (int i = 0; i < 200_000; i++) {
                      rude.send("INFO");
                    }
                  } catch (IOException e) {
                    // It is closed for leaving its answers unread.
                  }
                });
        for (int i = 0; i < 50; i++) {
          link.callForJson("INFO");
        }
        HttpURLConnection ready =
            (HttpURLConnection)
                new URL("http", "127.0.0.1", daemon.http().getPort(), "/health/ready")
                    .openConnection();
        assertEquals(200, ready.getResponseCode());
        flood.join();
        int used = link.callForJson("INFO").path("server").path("connections").asInt();
        assertTrue(used <= 64, used + " connections");
      } catch (SocketTimeoutException e) {
        throw new AssertionError("somebody else was kept waiting", e);
      }
    } finally {
      for (Socket socket : silent) {
        socket.close();
      }
    }
  }
}
