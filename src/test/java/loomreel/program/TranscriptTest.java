package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import loomreel.program.harness.DispatcherHarness;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.EndpointList;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.program.harness.EndpointList.Health;
import loomreel.program.harness.HotRestartRelay;
import loomreel.program.harness.HotRestartRelay.Sender;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.Transcript;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Verifies that complete exchanges with the program are equal, byte for byte, to recorded
 * transcripts. {@link Transcript} documents how the transcripts are recorded.
 *
 * <p>If a test receives twice in a row on a client connection, the first call records a response,
 * and the second call records that the program closes the connection.
 */
@Timeout(120)
class TranscriptTest {
  // The names of the program's peers in the transcripts.
  private static final String CLIENT = "client";
  private static final String OPERATOR = "operator";
  private static final String DISCOVERY = "discovery";

  // Methods and targets of requests.
  private static final String STATUS_UPDATE = "POST /_jobs/news";
  private static final String DISABLE_WORKER = "POST /ops/copy-workers/down";
  private static final String ENABLE_WORKER = "POST /ops/copy-workers/up";

  // The ids of the submitted jobs.
  private static final String FIRST_ID = "00000000000000a1";
  private static final String SECOND_ID = "00000000000000a2";

  private final Transcript transcript = new Transcript();

  /** Returns the request for a job with the default deadline and without additional headers. */
  private static String job(String path, String id) {
    return DispatcherHarness.jobRequest(path, id, DispatcherHarness.DEADLINE_MILLIS, "", "body");
  }

  /**
   * Submits a job as the client, and accepts the job as the only worker.
   *
   * @param job the complete request for the job
   */
  private void submitAndAccept(DispatcherProcess program, Socket client, String job)
      throws Exception {
    transcript.send(CLIENT, client, job);
    HttpMessage post = transcript.receive("w0", program.worker(0).nextRequest());
    transcript.respond("w0", post, 202, "");
  }

  /**
   * Sends a status update as the only worker, and reads and records the response.
   *
   * @param members further JSON members of the update, each with a comma before it
   */
  private void reportStatus(DispatcherProcess program, String id, String state, String members)
      throws IOException {
    String body = DispatcherHarness.statusUpdate(id, "w0", state, members);
    call(program.port(), "w0", STATUS_UPDATE, body);
  }

  /**
   * Sends a request on a new connection, and returns the response. Records both.
   *
   * @param request the method and the target of the request
   */
  private HttpMessage call(int port, String sender, String request, String body)
      throws IOException {
    try (Socket socket = HttpIo.connect(port)) {
      String head = HttpIo.lines(request + " HTTP/1.1", "Host: x");
      transcript.send(sender, socket, HttpIo.withBody(head, body));
      return transcript.receive(sender, socket);
    }
  }

  /**
   * Sends a request to the management API of a process, and reads and records the response.
   *
   * @param request the method and the target of the request
   */
  private void callManagement(DispatcherProcess program, int process, String request, String body)
      throws IOException {
    call(program.managementPort(process), OPERATOR, request, body);
  }

  /**
   * Responds to a request with an endpoint list, and records only that discovery has responded. The
   * bytes of the list are not recorded, because they contain ports.
   */
  private void respondWithList(HttpMessage request, EndpointList list) throws IOException {
    transcript.event("discovery answers with a list");
    list.respondTo(request);
  }

  @Test
  void jobsAreServed() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket client = program.connect()) {
      transcript.receive(DISCOVERY, program.discovery().nextRequest());
      call(program.port(), CLIENT, "GET /health/ready", "");
      submitAndAccept(program, client, job("/copy/path?q=1", FIRST_ID));
      reportStatus(program, FIRST_ID, "running", ",\"share\":0.5");
      reportStatus(program, FIRST_ID, "done", ",\"result\":\"served\"");
      transcript.receive(CLIENT, client);
      submitAndAccept(
          program,
          client,
          DispatcherHarness.jobRequest("/issue", SECOND_ID, 9000, "Idempotency-Key: k\r\n", ""));
      reportStatus(program, SECOND_ID, "done", ",\"result\":\"\"");
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
        Socket otherClient = program.connect()) {
      transcript.send(CLIENT, client, DispatcherHarness.jobRequest("/copy", FIRST_ID, 1, "", ""));
      transcript.receive(CLIENT, client);
      transcript.send(CLIENT, client, job("/nothing", FIRST_ID));
      transcript.receive(CLIENT, client);
      call(program.port(), CLIENT, "POST /copy", "");
      call(program.port(), CLIENT, "DELETE /copy", "");
      transcript.send(CLIENT, client, job("/issue", FIRST_ID));
      HttpMessage post = transcript.receive("w0", program.worker(0).nextRequest());
      transcript.send("another client", otherClient, job("/issue", FIRST_ID));
      transcript.receive("another client", otherClient);
      transcript.respond("w0", post, 500, "");
      transcript.receive(CLIENT, client);
      call(program.port(), "w0", STATUS_UPDATE, "[1");
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
      HttpMessage post = transcript.receive("w" + first, program.worker(first).nextRequest());
      transcript.respond("w" + first, post, 503, "", "X-Rejected: 1");
      int second = 1 - first;
      post = transcript.receive("w" + second, program.worker(second).nextRequest());
      transcript.respond("w" + second, post, 500, "");
      transcript.receive(CLIENT, client);
    }
    transcript.check("retried");
  }

  @Test
  void aJobIsCancelledByItsClient() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      try (Socket client = program.connect()) {
        submitAndAccept(program, client, job("/copy", FIRST_ID));
        // The response to this update shows that the program has read the 202 of the worker.
        reportStatus(program, FIRST_ID, "running", ",\"share\":0.1");
      }
      transcript.event("client closes its connection");
      HttpMessage delete = transcript.receive("w0", program.worker(0).nextRequest());
      transcript.respond("w0", delete, 200, "");
      reportStatus(program, FIRST_ID, "done", ",\"result\":\"too late\"");
    }
    transcript.check("cancelled");
  }

  @Test
  void aReloadMovesTheWatchToAnotherDiscovery() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket client = program.connect()) {
      HttpMessage watch = transcript.receive(DISCOVERY, program.discovery().nextRequest());
      transcript.event("SIGHUP");
      program.moveDiscovery().awaitClosed(watch.connection());
      transcript.event(Transcript.PROGRAM + " closes the connection of discovery");
      HttpMessage completeListRequest =
          transcript.receive("new discovery", program.discovery().nextRequest());
      respondWithList(
          completeListRequest, program.endpointList(7, Extent.COMPLETE, Health.SERVING));
      transcript.receive("new discovery", program.discovery().nextRequest());
      submitAndAccept(program, client, job("/copy", FIRST_ID));
      reportStatus(program, FIRST_ID, "done", ",\"result\":\"after\"");
      transcript.receive(CLIENT, client);
    }
    transcript.check("reload");
  }

  @Test
  void jobsInFlightAreAnsweredDuringAShutdown() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket idle = program.connect();
        Socket client = program.connect()) {
      submitAndAccept(program, idle, job("/copy", FIRST_ID));
      reportStatus(program, FIRST_ID, "done", ",\"result\":\"before\"");
      transcript.receive(CLIENT, idle);
      submitAndAccept(program, client, job("/copy", SECOND_ID));
      reportStatus(program, SECOND_ID, "running", ",\"share\":0.1");
      transcript.event("SIGTERM");
      program.signal("TERM");
      // The program closes the idle connection, which shows that the shutdown has begun. From now
      // on, the program closes each client connection after the response.
      transcript.receive("idle client", idle);
      reportStatus(program, SECOND_ID, "done", ",\"result\":\"drained\"");
      transcript.receive(CLIENT, client);
      transcript.receive(CLIENT, client);
      assertTrue(program.process().waitFor(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      transcript.event("exit code " + program.process().exitValue());
    }
    transcript.check("drain");
  }

  /**
   * Records the next message on the hot-restart link, which connects the old and the new process.
   * Then waits until the receiver of the message has handled the message. To wait, this method
   * sends two consecutive requests to the receiver. The receiver serves the second request in a
   * later iteration of its event loop than the first one.
   *
   * @param sender the process that sends the message
   */
  private void recordLinkMessage(DispatcherProcess program, HotRestartRelay relay, Sender sender)
      throws Exception {
    relay.receive(transcript, sender);
    for (int i = 0; i < 2; i++) {
      program.callManagement(sender == Sender.OLD ? 1 : 0, "GET", "readiness", "");
    }
  }

  /**
   * The program is upgraded while the old process has a job in flight. A relay on the hot-restart
   * link, which connects the two processes, records their messages.
   */
  @Test
  void anOldProcessHandsOverToItsSuccessor() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(2);
        HotRestartRelay relay =
            new HotRestartRelay(program.temporaryDirectory().resolve("n0.tie"));
        Socket client = program.connect()) {
      callManagement(program, 0, DISABLE_WORKER, "w1");
      submitAndAccept(program, client, job("/issue", FIRST_ID));
      reportStatus(program, FIRST_ID, "running", ",\"share\":0.1");
      transcript.event("the new process starts");
      program.startSuccessor();
      recordLinkMessage(program, relay, Sender.OLD);
      recordLinkMessage(program, relay, Sender.OLD);
      callManagement(program, 1, DISABLE_WORKER, "w0");
      recordLinkMessage(program, relay, Sender.NEW);
      callManagement(program, 1, ENABLE_WORKER, "w0");
      recordLinkMessage(program, relay, Sender.NEW);
      callManagement(program, 0, "POST /ops/drain/start", "");
      recordLinkMessage(program, relay, Sender.OLD);
      callManagement(program, 0, "POST /ops/drain/stop", "");
      recordLinkMessage(program, relay, Sender.OLD);
      transcript.event("SIGTERM to the old process");
      program.instance(0).destroy();
      recordLinkMessage(program, relay, Sender.OLD);
      try (Socket newClient = program.connect()) {
        // A job with this id is still in flight in the old process, so the new process rejects
        // the second job with the same id.
        transcript.send(CLIENT, newClient, job("/copy", FIRST_ID));
        transcript.receive(CLIENT, newClient);
        submitAndAccept(program, newClient, job("/copy", SECOND_ID));
        relay.receive(transcript, Sender.NEW);
        reportStatus(program, SECOND_ID, "done", ",\"result\":\"by the new process\"");
        transcript.receive(CLIENT, newClient);
        relay.receive(transcript, Sender.NEW);
      }
      reportStatus(program, FIRST_ID, "done", ",\"result\":\"by the old process\"");
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
  void operatorsAreServed() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.managed(2);
        Socket client = program.connect()) {
      for (String call :
          new String[] {"GET /ops/readiness", "GET /ops/stats", "GET /ops/nothing"}) {
        callManagement(program, 0, call, "");
      }
      callManagement(program, 0, "POST /ops/stats", "");
      callManagement(program, 0, "GET /ops/drain/start", "");
      callManagement(program, 0, DISABLE_WORKER, "w7");
      callManagement(program, 0, DISABLE_WORKER, "w1");
      submitAndAccept(program, client, job("/copy", FIRST_ID));
      callManagement(program, 0, "GET /ops/stats", "");
      reportStatus(program, FIRST_ID, "done", ",\"result\":\"counted\"");
      transcript.receive(CLIENT, client);
      callManagement(program, 0, "GET /ops/stats", "");
      callManagement(program, 0, ENABLE_WORKER, "w1");
      callManagement(program, 0, "POST /ops/drain/start", "");
      call(program.port(), CLIENT, "GET /health/ready", "");
      callManagement(program, 0, "GET /ops/readiness", "");
      callManagement(program, 0, "POST /ops/drain/stop", "");
      call(program.port(), CLIENT, "GET /health/ready", "");
    }
    transcript.check("operators");
  }
}
