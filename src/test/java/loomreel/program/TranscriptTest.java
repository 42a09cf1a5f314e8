package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loomreel.program.EndpointList.Extent;
import loomreel.program.EndpointList.Health;
import loomreel.program.HotRestartRelay.Sender;
import loomreel.standin.DaemonProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Plays whole exchanges with the program and compares every byte that it sends with a transcript;
 * {@link Transcript} says how the transcripts are recorded.
 */
@Timeout(120)
class TranscriptTest {
  private static final String CLIENT = "client";
  private static final String OPERATOR = "operator";
  private static final String DISCOVERY = "discovery";
  private static final String FIRST_ID = "00000000000000a1";
  private static final String SECOND_ID = "00000000000000a2";
  private static final String FAKTORY_SETTINGS =
      """
      name: "t"
      listen: {http: "127.0.0.1:0", operators: "127.0.0.1:0"}
      classes: {
      	copy: {repeat: "free", target: "20s", deadline: "20s"}
      	issue: {repeat: "single_shot", target: "20s", deadline: "20s"}
      }
      faktory: {
      	listen: "127.0.0.1:0"
      	password: "secret"
      	iterations: 7
      	queues: {copies: class: "copy", renewals: class: "issue"}
      	workers: {fetch_wait: "20s", cold: false}
      	backoff: "1h"
      	may_mutate: true
      	spool: "none"
      }
      """;

  private final Transcript transcript = new Transcript();

  private static String job(String path, String id) {
    return DispatcherHarness.jobRequest(path, id, DispatcherHarness.DEADLINE_MILLIS, "", "body");
  }

  /** Has a client send a job, and the only worker take it. */
  private void accepted(DispatcherProcess program, Socket client, String job) throws Exception {
    transcript.send(CLIENT, client, job);
    HttpMessage post = transcript.receive("w0", program.workers.get(0).nextRequest());
    transcript.respond("w0", post, 202, "");
  }

  /** Sends a callback of the only worker and reads the answer to it. */
  private void callback(DispatcherProcess program, String id, String state, String more)
      throws IOException {
    String body = "{\"id\":\"" + id + "\",\"from\":\"w0\",\"state\":\"" + state + "\"" + more + "}";
    call(program.port(), "w0", "POST /_jobs/news", body);
  }

  /** Sends one request on a connection of its own and reads the answer. */
  private HttpMessage call(int port, String sender, String request, String body)
      throws IOException {
    try (Socket socket = new Socket(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port)) {
      socket.setSoTimeout(HttpIo.TIMEOUT_MILLIS);
      String head = request + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length();
      transcript.send(sender, socket, head + "\r\n\r\n" + body);
      return transcript.receive(sender, socket);
    }
  }

  private void operate(DispatcherProcess program, int process, String request, String body)
      throws IOException {
    call(program.managementPorts.get(process), OPERATOR, request, body);
  }

  /** Discovery answers a call with a list; its own bytes are not recorded, as they hold ports. */
  private void list(HttpMessage call, EndpointList list) throws IOException {
    transcript.event("discovery answers with a list");
    list.respondTo(call);
  }

  @Test
  void jobsAreServed() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket client = program.connect()) {
      transcript.receive(DISCOVERY, program.discovery.nextRequest());
      call(program.port(), CLIENT, "GET /health/ready", "");
      accepted(program, client, job("/copy/path?q=1", FIRST_ID));
      callback(program, FIRST_ID, "running", ",\"share\":0.5");
      callback(program, FIRST_ID, "done", ",\"result\":\"served\"");
      transcript.receive(CLIENT, client);
      accepted(
          program,
          client,
          DispatcherHarness.jobRequest("/issue", SECOND_ID, 9000, "Idempotency-Key: k\r\n", ""));
      callback(program, SECOND_ID, "done", ",\"result\":\"\"");
      transcript.receive(CLIENT, client);
      transcript.send(CLIENT, client, "GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n");
      transcript.receive(CLIENT, client);
      transcript.receive(CLIENT, client);
    }
    transcript.check("served");
  }

  @Test
  void jobsAreRejected() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket client = program.connect();
        Socket other = program.connect()) {
      transcript.send(CLIENT, client, DispatcherHarness.jobRequest("/copy", FIRST_ID, 1, "", ""));
      transcript.receive(CLIENT, client);
      transcript.send(CLIENT, client, job("/nothing", FIRST_ID));
      transcript.receive(CLIENT, client);
      call(program.port(), CLIENT, "POST /copy", "");
      call(program.port(), CLIENT, "DELETE /copy", "");
      transcript.send(CLIENT, client, job("/issue", FIRST_ID));
      HttpMessage post = transcript.receive("w0", program.workers.get(0).nextRequest());
      transcript.send("another client", other, job("/issue", FIRST_ID));
      transcript.receive("another client", other);
      transcript.respond("w0", post, 500, "");
      transcript.receive(CLIENT, client);
      call(program.port(), "w0", "POST /_jobs/news", "[1");
      try (Socket malformed = program.connect()) {
        transcript.send(CLIENT, malformed, "what?\r\n\r\n");
        transcript.receive(CLIENT, malformed);
        transcript.receive(CLIENT, malformed);
      }
    }
    transcript.check("rejected");
  }

  @Test
  void aJobIsRetriedAtAnotherWorker() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2);
        Socket client = program.connect()) {
      transcript.send(CLIENT, client, job("/issue", FIRST_ID));
      int first = program.awaitWorkerWithRequest();
      HttpMessage post = transcript.receive("w" + first, program.workers.get(first).nextRequest());
      transcript.respond("w" + first, post, 503, "", "X-Rejected: 1");
      int second = 1 - first;
      post = transcript.receive("w" + second, program.workers.get(second).nextRequest());
      transcript.respond("w" + second, post, 500, "");
      transcript.receive(CLIENT, client);
    }
    transcript.check("retried");
  }

  @Test
  void aJobIsCancelledByItsClient() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      try (Socket client = program.connect()) {
        accepted(program, client, job("/copy", FIRST_ID));
        // The answer to a callback shows that the worker's 202 has been read.
        callback(program, FIRST_ID, "running", ",\"share\":0.1");
      }
      transcript.event("client closes its connection");
      HttpMessage delete = transcript.receive("w0", program.workers.get(0).nextRequest());
      transcript.respond("w0", delete, 200, "");
      callback(program, FIRST_ID, "done", ",\"result\":\"too late\"");
    }
    transcript.check("cancelled");
  }

  @Test
  void aReloadMovesTheWatchToAnotherDiscovery() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket client = program.connect()) {
      HttpMessage watch = transcript.receive(DISCOVERY, program.discovery.nextRequest());
      transcript.event("SIGHUP");
      program.moveDiscovery().awaitClosed(watch.connection());
      transcript.event(Transcript.PROGRAM + " closes the connection of discovery");
      HttpMessage whole = transcript.receive("new discovery", program.discovery.nextRequest());
      list(whole, program.endpointList(7, Extent.COMPLETE, Health.SERVING));
      transcript.receive("new discovery", program.discovery.nextRequest());
      accepted(program, client, job("/copy", FIRST_ID));
      callback(program, FIRST_ID, "done", ",\"result\":\"after\"");
      transcript.receive(CLIENT, client);
    }
    transcript.check("reload");
  }

  @Test
  void aDrainAnswersWhatIsInFlight() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket idle = program.connect();
        Socket client = program.connect()) {
      accepted(program, idle, job("/copy", FIRST_ID));
      callback(program, FIRST_ID, "done", ",\"result\":\"before\"");
      transcript.receive(CLIENT, idle);
      accepted(program, client, job("/copy", SECOND_ID));
      callback(program, SECOND_ID, "running", ",\"share\":0.1");
      transcript.event("SIGTERM");
      program.signal("TERM");
      // The end of the idle connection shows that clients are sent away from here on.
      transcript.receive("idle client", idle);
      callback(program, SECOND_ID, "done", ",\"result\":\"drained\"");
      transcript.receive(CLIENT, client);
      transcript.receive(CLIENT, client);
      assertTrue(program.process.waitFor(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      transcript.event("exit code " + program.process.exitValue());
    }
    transcript.check("drain");
  }

  /**
   * Records the next message on the hot-restart link, and waits until its receiver has acted on it:
   * of two requests that follow each other, the second is served in a later iteration of its loop.
   */
  private void receiveOverLink(DispatcherProcess program, HotRestartRelay relay, Sender sender)
      throws Exception {
    relay.receive(transcript, sender);
    for (int i = 0; i < 2; i++) {
      program.callManagement(sender == Sender.OLD ? 1 : 0, "GET", "readiness", "");
    }
  }

  /** The tie between an old and a new process is heard on its way through a relay. */
  @Test
  void anUpgradeHandsOver() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(2);
        HotRestartRelay relay = new HotRestartRelay(program.temporaryDirectory.resolve("n0.tie"));
        Socket client = program.connect()) {
      operate(program, 0, "POST /ops/copy-workers/down", "w1");
      accepted(program, client, job("/issue", FIRST_ID));
      callback(program, FIRST_ID, "running", ",\"share\":0.1");
      transcript.event("the new process starts");
      program.startSuccessor();
      receiveOverLink(program, relay, Sender.OLD);
      receiveOverLink(program, relay, Sender.OLD);
      operate(program, 1, "POST /ops/copy-workers/down", "w0");
      receiveOverLink(program, relay, Sender.NEW);
      operate(program, 1, "POST /ops/copy-workers/up", "w0");
      receiveOverLink(program, relay, Sender.NEW);
      operate(program, 0, "POST /ops/drain/start", "");
      receiveOverLink(program, relay, Sender.OLD);
      operate(program, 0, "POST /ops/drain/stop", "");
      receiveOverLink(program, relay, Sender.OLD);
      transcript.event("SIGTERM to the old process");
      program.instances.get(0).destroy();
      receiveOverLink(program, relay, Sender.OLD);
      try (Socket late = program.connect()) {
        transcript.send(CLIENT, late, job("/copy", FIRST_ID));
        transcript.receive(CLIENT, late);
        accepted(program, late, job("/copy", SECOND_ID));
        relay.receive(transcript, Sender.NEW);
        callback(program, SECOND_ID, "done", ",\"result\":\"by the new process\"");
        transcript.receive(CLIENT, late);
        relay.receive(transcript, Sender.NEW);
      }
      callback(program, FIRST_ID, "done", ",\"result\":\"by the old process\"");
      relay.receive(transcript, Sender.NEW);
      transcript.receive(CLIENT, client);
      transcript.receive(CLIENT, client);
      program.awaitExit(0);
      relay.receive(transcript, Sender.OLD);
      relay.receive(transcript, Sender.OLD);
    }
    transcript.check("upgrade");
  }

  @Test
  void operatorsAreAnswered() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.managed(2);
        Socket client = program.connect()) {
      for (String call :
          new String[] {"GET /ops/readiness", "GET /ops/stats", "GET /ops/nothing"}) {
        operate(program, 0, call, "");
      }
      operate(program, 0, "POST /ops/stats", "");
      operate(program, 0, "GET /ops/drain/start", "");
      operate(program, 0, "POST /ops/copy-workers/down", "w7");
      operate(program, 0, "POST /ops/copy-workers/down", "w1");
      accepted(program, client, job("/copy", FIRST_ID));
      operate(program, 0, "GET /ops/stats", "");
      callback(program, FIRST_ID, "done", ",\"result\":\"counted\"");
      transcript.receive(CLIENT, client);
      operate(program, 0, "GET /ops/stats", "");
      operate(program, 0, "POST /ops/copy-workers/up", "w1");
      operate(program, 0, "POST /ops/drain/start", "");
      call(program.port(), CLIENT, "GET /health/ready", "");
      operate(program, 0, "GET /ops/readiness", "");
      operate(program, 0, "POST /ops/drain/stop", "");
      call(program.port(), CLIENT, "GET /health/ready", "");
    }
    transcript.check("operators");
  }

  private static String push(String jid, String queue) {
    return "PUSH {\"jid\":\""
        + jid
        + "\",\"jobtype\":\"Make\",\"queue\":\""
        + queue
        + "\",\"args\":[1]}";
  }

  /** Connects and says HELLO with the password that the greeting asks for. */
  private RecordedFaktoryClient hello(DaemonProcess daemon, String name, String more)
      throws Exception {
    RecordedFaktoryClient client = new RecordedFaktoryClient(transcript, name, daemon.faktory());
    Matcher salt = Pattern.compile("\"s\":\"([^\"]+)\"").matcher(client.receive());
    assertTrue(salt.find());
    byte[] hash = ("secret" + salt.group(1)).getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < 7; i++) {
      hash = MessageDigest.getInstance("SHA-256").digest(hash);
    }
    String password = HexFormat.of().formatHex(hash);
    client.call("HELLO {\"v\":2,\"pwdhash\":\"" + password + "\"" + more + "}");
    return client;
  }

  /** Fetches a job; the id under which the worker has it. */
  private static String fetch(RecordedFaktoryClient worker, String queue) throws IOException {
    Matcher jid = Pattern.compile("\"jid\":\"([0-9a-f]+)\"").matcher(worker.call("FETCH " + queue));
    assertTrue(jid.find());
    return jid.group(1);
  }

  @Test
  void faktoryIsSpoken() throws Exception {
    try (DaemonProcess daemon = new DaemonProcess(DaemonProcess.writeSettings(FAKTORY_SETTINGS))) {
      try (RecordedFaktoryClient client = hello(daemon, "client", "");
          RecordedFaktoryClient worker = hello(daemon, "worker", ",\"wid\":\"f0\"")) {
        client.call("INFO");
        client.call(push("copy-0001", "copies"));
        client.call(push("copy-0001", "copies"));
        client.call(push("copy-0002", "nowhere"));
        client.call("NONSENSE");
        String copy = fetch(worker, "copies");
        client.call("TRACK GET copy-0001");
        worker.call("BEAT {\"wid\":\"f0\"}");
        worker.call("ACK {\"jid\":\"" + copy + "\",\"result\":\"done\"}");
        client.call("TRACK GET copy-0001");
        client.call(push("issue-001", "renewals"));
        String issue = fetch(worker, "renewals");
        worker.call("FAIL {\"jid\":\"" + issue + "\",\"errtype\":\"E\",\"message\":\"no\"}");
        client.call("TRACK GET issue-001");
        client.call("INFO");
        client.call("FLUSH");
        client.call("END");
        client.receive();
      }
      try (RecordedFaktoryClient stranger =
          new RecordedFaktoryClient(transcript, "stranger", daemon.faktory())) {
        stranger.receive();
        stranger.call("HELLO {\"v\":2}");
        stranger.receive();
      }
      transcript.event("exit code " + daemon.shutDown());
    }
    transcript.check("faktory");
  }
}
