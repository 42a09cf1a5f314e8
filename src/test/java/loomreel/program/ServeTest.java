package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loomreel.program.EndpointList.Extent;
import loomreel.program.EndpointList.Health;
import loomreel.program.TestConfiguration.DiscoveryMode;
import loomreel.program.TestConfiguration.LoadReports;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The real program, met as clients, copy workers and discovery meet it. */
@Timeout(120)
// Requests and responses stand as their bytes, with CRLF.
@SuppressWarnings("StringConcatToTextBlock")
class ServeTest {
  @Test
  void aJobGoesOutUnchangedAndItsResultComesBack() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      assertEquals(200, program.request("GET /health/ready HTTP/1.1\r\nHost: x\r\n", "").status());
      SubmittedJob job = program.submit("/copy/page?n=1", "the body");
      HttpMessage post = program.workers.get(0).nextRequest();
      assertEquals("POST /copy/page?n=1 HTTP/1.1", post.startLine());
      assertEquals("the body", post.body());
      assertEquals(job.id(), post.header("X-Call-Id"));
      int budget = Integer.parseInt(post.header("X-Budget-Ms"));
      assertTrue(budget > 0 && budget <= 20_000, "budget " + budget);
      post.respond(202, "");
      assertEquals(200, program.reportStatus(job.id(), "w0", "running", ",\"share\":0.4"));
      assertEquals(
          200, program.reportStatus(job.id(), "w0", "done", ",\"result\":\"r\\u00e9sultat\""));
      HttpMessage answer = job.response();
      assertEquals(200, answer.status());
      assertEquals("résultat", answer.body());
    }
  }

  /**
   * The copy workers tell repeats by the key: without one a repeat would be a second run, so there
   * is none.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aKeyedJobIsSentAgainUnderItsKeyAndNeverWithoutOne(boolean keyed) throws Exception {
    try (DispatcherProcess program =
            new DispatcherProcess(
                2,
                new TestConfiguration()
                    .requestClasses(
                        RequestClass.hold(15), RequestClass.copy(), RequestClass.issue()));
        Socket client = program.connect()) {
      String key = "5c0f6e1a-2b3d, \"x\"; ~";
      HttpIo.write(
          client,
          "POST /hold/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: 00000000000000cc\r\nX-Budget-Ms: 20000\r\n"
              + (keyed ? "idempotency-KEY: " + key + "\r\n" : "")
              + "Content-Length: 4\r\n\r\nbody");
      int at = program.awaitWorkerWithRequest();
      HttpMessage first = program.workers.get(at).nextRequest();
      assertEquals(keyed ? key : null, first.header("Idempotency-Key"));
      first.connection().close();
      if (keyed) {
        HttpMessage second = program.workers.get(1 - at).nextRequest();
        assertEquals(key, second.header("Idempotency-Key"));
        assertEquals("body", second.body());
        second.respond(202, "");
        program.reportStatus("00000000000000cc", "w" + (1 - at), "done", ",\"result\":\"held\"");
        assertEquals("held", HttpIo.read(client).body());
      } else {
        assertEquals(500, HttpIo.read(client).status());
        assertFalse(program.workers.get(1 - at).hasPendingRequest());
      }
    }
  }

  private static TestConfiguration pushed() {
    return new TestConfiguration().discoveryMode(DiscoveryMode.PUSH).drainGraceSeconds(5);
  }

  /**
   * Answers with a list until the program goes on from it: it asks again when this machine is slow.
   */
  private static HttpMessage untilItHas(DispatcherProcess program, int seq, String list)
      throws Exception {
    HttpMessage call = program.discovery.nextRequest();
    while (!call.startLine().contains("?from=" + seq + "&")) {
      call.respond(200, list);
      call = program.discovery.nextRequest();
    }
    return call;
  }

  /**
   * Where lists are pushed, what the agent has counts as told from the first moment on, whatever
   * was known before.
   */
  @Test
  void aPushedListIsTakenBeforeTheFirstJobGoesOut() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, pushed())) {
      HttpMessage whole = program.discovery.nextRequest();
      assertEquals("GET /registry/instances HTTP/1.1", whole.startLine());
      List<SubmittedJob> jobs = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        jobs.add(program.submit("/copy/" + i, ""));
      }
      String list =
          program
              .endpointList(7, Extent.COMPLETE, Health.DRAINING, Health.SERVING)
              .toJson()
              .replace(",", ",\n  ");
      whole.respond(200, list);
      untilItHas(program, 7, list);
      for (int i = 0; i < jobs.size(); i++) {
        program.serveNextJob(1, "served");
      }
      for (SubmittedJob job : jobs) {
        assertEquals("served", job.response().body());
      }
      assertFalse(program.workers.get(0).hasPendingRequest());
    }
  }

  /**
   * Nothing that an agent has may be missed for as long as the grace, whether it is silent or
   * fails.
   */
  @ParameterizedTest
  @ValueSource(strings = {"silent", "503", "closed", "cut"})
  void aPushedListIsAskedForAgainOnANewConnectionWithinTheGrace(String how) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, pushed())) {
      HttpMessage watch =
          untilItHas(
              program, 41, program.endpointList(41, Extent.COMPLETE, Health.SERVING).toJson());
      for (int i = 0; i < 3; i++) {
        int hold = Integer.parseInt(watch.startLine().replaceAll(".*hold_ms=(\\d+).*", "$1"));
        assertTrue(watch.startLine().contains("?from=41&") && hold <= 2500, watch.startLine());
        switch (how) {
          case "503" -> watch.respond(503, "");
          case "cut" ->
              watch.respond(
                  200,
                  program
                      .endpointList(44, Extent.COMPLETE, Health.DRAINING)
                      .toJson()
                      .substring(0, 40));
          case "closed" -> watch.connection().close();
          default -> program.discovery.awaitClosed(watch.connection());
        }
        watch = program.discovery.nextRequest();
      }
      program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).respondTo(watch);
      untilItHas(
          program,
          43,
          program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).toJson());
      program.assertAllServedBy(1, 8);
    }
  }

  /**
   * An agent that says nothing must not keep a dispatcher from being ready in the platform's 30 s.
   */
  @Test
  void aSilentAgentIsNotWaitedForForEver() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, pushed())) {
      program.discovery.nextRequest();
      SubmittedJob job = program.submit("/copy", "");
      assertTrue(program.awaitLog("discovery agent silent").contains("last known endpoint list"));
      program.serveNextJob(0, "held");
      assertEquals("held", job.response().body());
    }
  }

  /**
   * A silent watch is over: what comes on it later is not the answer to the call that took its
   * place.
   */
  @Test
  void aListThatComesLateOnASilentWatchIsNotTaken() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, pushed())) {
      HttpMessage silent =
          untilItHas(
              program, 41, program.endpointList(41, Extent.COMPLETE, Health.SERVING).toJson());
      program.discovery.awaitClosed(silent.connection());
      try {
        program
            .endpointList(50, Extent.COMPLETE, Health.SERVING, Health.DRAINING)
            .respondTo(silent);
      } catch (SocketException gone) {
        // That is as good as not being read.
      }
      program
          .endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING)
          .respondTo(program.discovery.nextRequest());
      untilItHas(
          program,
          43,
          program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).toJson());
      program.assertAllServedBy(1, 8);
    }
  }

  /**
   * An answer that comes twice counts once; the call after it goes out on a connection that owes
   * nothing.
   */
  @Test
  void aListThatIsAnsweredTwiceCountsOnce() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      HttpMessage watch = program.discovery.nextRequest();
      String first =
          program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).toJson();
      String second =
          program.endpointList(44, Extent.CHANGES, Health.SERVING, Health.DRAINING).toJson();
      HttpIo.write(
          watch.connection(),
          "HTTP/1.1 200 x\r\nContent-Length: "
              + first.length()
              + "\r\n\r\n"
              + first
              + "HTTP/1.1 200 x\r\nContent-Length: "
              + second.length()
              + "\r\n\r\n"
              + second);
      HttpMessage next = program.discovery.nextRequest();
      assertTrue(next.startLine().contains("?from=43&"), next.startLine());
      assertNotSame(watch.connection(), next.connection());
      program.assertAllServedBy(1, 8);
    }
  }

  /**
   * Bytes behind a whole answer are nobody's: as the next answer they would say that a job was
   * turned away.
   */
  @Test
  void whatComesBehindAnAnswerIsNotTheNextOne() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      for (int i = 0; i < 4; i++) {
        SubmittedJob job = program.submit("/issue", "");
        HttpMessage post = program.workers.get(0).nextRequest();
        HttpIo.write(
            post.connection(),
            "HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n"
                + "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
        program.workers.get(0).awaitClosed(post.connection());
        program.reportStatus(job.id(), "w0", "done", ",\"result\":\"once\"");
        assertEquals("once", job.response().body());
      }
      assertEquals(4, program.workers.get(0).connectionCount(), "none of them was used again");
      assertFalse(program.workers.get(0).hasPendingRequest());
    }
  }

  /** A call-back may overtake the 202, come again, or name a job that nobody knows (any more). */
  @Test
  void newsIsActedOnOnceAndAlwaysAnswered() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob first = program.submit("/copy", "");
      HttpMessage post = program.workers.get(0).nextRequest();
      assertEquals(
          200, program.reportStatus(first.id(), "w7", "done", ",\"result\":\"not from there\""));
      assertEquals(200, program.reportStatus(first.id(), "w0", "done", ",\"result\":\"early\""));
      assertEquals("early", first.response().body());
      post.respond(202, "");
      assertEquals(200, program.reportStatus(first.id(), "w0", "done", ",\"result\":\"again\""));
      assertEquals(200, program.reportStatus("00000000000000ff", "w0", "failed", ""));
      assertEquals(400, program.request("POST /_jobs/news HTTP/1.1\r\nHost: x\r\n", "[1").status());
      SubmittedJob second = program.submit(first.connection(), "/copy", 20_000, "");
      HttpMessage next = program.workers.get(0).nextRequest();
      assertSame(post.connection(), next.connection(), "the connection is used again");
      next.respond(202, "");
      program.reportStatus(second.id(), "w0", "done", ",\"result\":\"second\"");
      assertEquals("second", second.response().body());
    }
  }

  /**
   * What may have run must not run again where the class forbids it; what was turned away goes
   * elsewhere.
   */
  @ParameterizedTest
  @CsvSource({
    "issue,reset,500",
    "issue,500,500",
    "issue,lost,500",
    "issue,turned away,200",
    "issue,returned,200",
    "copy,reset,200",
    "copy,500,200",
    "copy,lost,200",
    "copy,garbage,200"
  })
  void anotherAttemptIsMadeAsClassAndOutcomeAllow(String requestClass, String outcome, int status)
      throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      SubmittedJob job = program.submit("/" + requestClass, "b");
      int at = program.awaitWorkerWithRequest();
      HttpMessage post = program.workers.get(at).nextRequest();
      switch (outcome) {
        case "reset" -> post.connection().close();
        case "500" -> post.respond(500, "");
        case "turned away" -> post.respond(503, "", "X-Rejected: 1");
        case "garbage" -> HttpIo.write(post.connection(), "\0\1 what?\r\n\r\n");
        default -> {
          post.respond(202, "");
          program.reportStatus(job.id(), "w" + at, outcome, "");
        }
      }
      if (status == 200) {
        program.serveNextJob(1 - at, "elsewhere");
      }
      assertEquals(status, job.response().status());
      assertFalse(
          program.workers.get(0).hasPendingRequest() || program.workers.get(1).hasPendingRequest());
    }
  }

  /**
   * Call-backs repeat: the first hand-back, come again, must not pass for one of the attempt that
   * is out now.
   */
  @Test
  void aSecondHandBackFromOneCopyWorkerIsNoProofThatNothingRan() throws Exception {
    // Short targets, so that a copy worker which handed a job back is tried again soon.
    try (DispatcherProcess program =
        new DispatcherProcess(
            1,
            new TestConfiguration()
                .requestClasses(
                    RequestClass.copy().withLatencyObjective(0.1, 1000),
                    RequestClass.issue().withLatencyObjective(0.1, 1000)))) {
      SubmittedJob job = program.submit("/issue", "");
      program.workers.get(0).nextRequest().respond(202, "");
      program.reportStatus(job.id(), "w0", "returned", "");
      program.workers.get(0).nextRequest().respond(202, "");
      program.reportStatus(job.id(), "w0", "returned", "");
      assertEquals(500, job.response().status());
      assertFalse(program.workers.get(0).hasPendingRequest());
    }
  }

  @Test
  void aCopyWorkerThatCannotBeReachedIsPassedOver() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      program.workers.get(0).close();
      for (int i = 0; i < 6; i++) {
        SubmittedJob job = program.submit("/issue", "");
        program.serveNextJob(1, "there");
        assertEquals("there", job.response().body());
      }
    }
  }

  /**
   * A machine that says nothing costs the client its own deadline and no more; then it hears when
   * to come back.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aSilentCopyWorkerCostsNoMoreThanTheDeadline(boolean accepts) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob job = program.submit(program.connect(), "/copy", 2000, "");
      HttpMessage post = program.workers.get(0).nextRequest();
      if (accepts) {
        post.respond(202, "");
      }
      HttpMessage answer = job.response();
      assertEquals(503, answer.status(), "a copy may be asked for again");
      assertEquals("1.500", answer.header("Retry-After"));
      SubmittedJob late = program.submit(job.connection(), "/copy", 1, "");
      assertNotEquals(200, late.response().status());
    }
  }

  @Test
  void aClientThatLeavesEndsItsJob() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob job = program.submit("/copy", "");
      program.workers.get(0).nextRequest().respond(202, "");
      // Only after a call-back of its own is it sure that the 202 has been read.
      program.reportStatus(job.id(), "w0", "running", ",\"share\":0.1");
      job.connection().close();
      assertEquals(
          "DELETE /jobs/" + job.id() + " HTTP/1.1",
          program.workers.get(0).nextRequest().startLine());
    }
  }

  /** Requests sent ahead on one connection are answered one by one, in their order. */
  @Test
  void requestsSentAheadWaitTheirTurn() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket socket = program.connect()) {
      String[] ids = new String[3];
      for (int i = 0; i < ids.length; i++) {
        ids[i] = program.submit(socket, "/copy/" + i, 20_000, "").id();
      }
      for (int i = 0; i < ids.length; i++) {
        HttpMessage post = program.workers.get(0).nextRequest();
        assertEquals("POST /copy/" + i + " HTTP/1.1", post.startLine());
        assertFalse(program.workers.get(0).hasPendingRequest());
        post.respond(202, "");
        program.reportStatus(ids[i], "w0", "done", ",\"result\":\"r" + i + "\"");
        assertEquals("r" + i, HttpIo.read(socket).body());
      }
    }
  }

  /**
   * A copy worker resets what is written to a connection that it has closed: ours is closed first.
   */
  @Test
  void idleConnectionsAreClosedBeforeTheOtherSideDoes() throws Exception {
    try (DispatcherProcess program =
        new DispatcherProcess(1, new TestConfiguration().idleConnectionSeconds(1))) {
      SubmittedJob job = program.submit("/copy", "");
      HttpMessage post = program.workers.get(0).nextRequest();
      post.respond(202, "");
      program.reportStatus(job.id(), "w0", "done", ",\"result\":\"r\"");
      assertEquals("r", job.response().body());
      program.workers.get(0).awaitClosed(post.connection());
    }
  }

  /**
   * Something on the way may forget idle connections sooner than the settings say, and reset the
   * next request.
   */
  @Test
  void connectionsThatAreResetWhenUsedAgainAreKeptForLess() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "first");
      assertEquals("first", job.response().body());
      for (int i = 0; i < 3; i++) {
        Thread.sleep(200);
        job = program.submit(job.connection(), "/issue", 20_000, "");
        program.workers.get(0).nextRequest().connection().close();
        assertEquals(500, job.response().status());
        job = program.submit(job.connection(), "/copy", 20_000, "");
        program.serveNextJob(0, "next");
        assertEquals("next", job.response().body());
      }
      Thread.sleep(400);
      program.workers.get(0).resetConnectionCount();
      job = program.submit(job.connection(), "/issue", 20_000, "");
      program.serveNextJob(0, "on a new connection");
      assertEquals("on a new connection", job.response().body());
      assertEquals(1, program.workers.get(0).connectionCount());
    }
  }

  @Test
  void aCopyWorkerThatMovesIsCalledWhereItIsNow() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      StubHttpServer before = program.workers.set(0, new StubHttpServer());
      program
          .endpointList(42, Extent.COMPLETE, Health.SERVING)
          .respondTo(program.discovery.nextRequest());
      program.discovery.nextRequest();
      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "moved");
      assertEquals("moved", job.response().body());
      assertFalse(before.hasPendingRequest());
      before.close();
    }
  }

  @Test
  void bodiesComeWholeHoweverTheyAreCut() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket socket = program.connect()) {
      String request =
          "POST /copy HTTP/1.1\r\nHost: x\r\nX-Call-Id: 00000000000000aa\r\nX-Budget-Ms: 20000\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0a\r\n0123456789\r\n0\r\nT: v\r\n\r\n";
      socket.setTcpNoDelay(true);
      for (int i = 0; i < request.length(); i++) {
        HttpIo.write(socket, request.substring(i, i + 1));
      }
      HttpMessage post = program.workers.get(0).nextRequest();
      assertEquals("abc0123456789", post.body());
      String large = "x".repeat(64 * 1024);
      SubmittedJob job = program.submit("/copy", large);
      assertEquals(large, program.workers.get(0).nextRequest().body());
      program.reportStatus(job.id(), "w0", "done", ",\"result\":\"" + large.substring(100) + "\"");
      assertEquals(large.substring(100), job.response().body());
    }
  }

  /** Nobody can end the process or get an answer of another kind by what they send. */
  @Test
  void badInputIsAnsweredAsSuch() throws Exception {
    String job = "POST /copy HTTP/1.1\r\nHost: x\r\n";
    String id = "X-Call-Id: 00000000000000bb\r\n";
    String budget = "X-Budget-Ms: 900\r\n";
    String[][] cases = {
      {"400", "hello\r\n\r\n"},
      {"400", "GET /health/ready HTTP/1.1\r\nno colon\r\n\r\n"},
      {"400", "GET /health/ready HTTP/1.1\n\n"},
      {"505", "GET /health/ready HTTP/2.0\r\n\r\n"},
      {"404", "GET /nowhere HTTP/1.1\r\n\r\n"},
      {"404", "POST /copies HTTP/1.1\r\n" + id + budget + "\r\n"},
      {"405", "GET /copy HTTP/1.1\r\n\r\n"},
      {"405", "POST /health/ready HTTP/1.1\r\n\r\n"},
      {"405", "GET /_jobs/news HTTP/1.1\r\n\r\n"},
      {"400", job + budget + "\r\n"},
      {"400", job + id + "\r\n"},
      {"400", job + budget + "X-Call-Id: nothex\r\n\r\n"},
      {"400", job + id + "X-Budget-Ms: -5\r\n\r\n"},
      {"400", job + id + "X-Budget-Ms: 1.5\r\n\r\n"},
      {"400", job + id + budget + "X-Call-Cost: -1\r\n\r\n"},
      {"400", job + id + budget + "X-Call-Cost: 1e300\r\n\r\n"},
      {"400", job + id + budget + "X-Call-Info: slots=99999\r\n\r\n"},
      {"400", job + id + budget + "Content-Length: two\r\n\r\n"},
      {"400", job + id + budget + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n"},
      {"400", job + id + budget + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {"400", job + id + budget + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
      {"501", job + id + budget + "Transfer-Encoding: gzip\r\n\r\n"},
      {"413", job + id + budget + "Content-Length: 65537\r\n\r\n"},
      {"413", job + id + budget + "Transfer-Encoding: chunked\r\n\r\n10001\r\n"},
      {"431", job + "X-Long: " + "y".repeat(9000) + "\r\n\r\n"}
    };
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      for (String[] c : cases) {
        try (Socket socket = program.connect()) {
          HttpIo.write(socket, c[1]);
          assertEquals(Integer.parseInt(c[0]), HttpIo.read(socket).status(), c[1]);
        }
      }
      assertEquals(200, program.request("GET /health/ready HTTP/1.1\r\nHost: x\r\n", "").status());
      assertFalse(program.workers.get(0).hasPendingRequest());
    }
  }

  @Test
  void theListIsWatchedAndADrainingCopyWorkerGetsNothingNew() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      HttpMessage watch = program.discovery.nextRequest();
      assertTrue(
          watch.startLine().startsWith("GET /registry/instances?from=41&hold_ms="),
          watch.startLine());
      program.endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING).respondTo(watch);
      HttpMessage next = program.discovery.nextRequest();
      assertTrue(next.startLine().contains("from=43&"), next.startLine());
      assertSame(watch.connection(), next.connection());
      program.assertAllServedBy(1, 8);
    }
  }

  @Test
  void aListThatNamesACopyWorkerTwiceHoldsByItsLastWord() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      EndpointList serving =
          program.endpointList(43, Extent.COMPLETE, Health.SERVING, Health.SERVING);
      EndpointList draining =
          program.endpointList(43, Extent.COMPLETE, Health.DRAINING, Health.SERVING);
      serving.withAllOf(draining).respondTo(program.discovery.nextRequest());
      assertTrue(program.discovery.nextRequest().startLine().contains("from=43&"));
      program.assertAllServedBy(1, 8);
    }
  }

  /**
   * An answer that is older than what is held would send jobs to a copy worker that has been told
   * to drain.
   */
  @Test
  void anOlderListIsNotTakenAndTheWholeOneIsAskedFor() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      program
          .endpointList(43, Extent.CHANGES, Health.DRAINING, Health.SERVING)
          .respondTo(program.discovery.nextRequest());
      program
          .endpointList(42, Extent.COMPLETE, Health.SERVING, Health.DRAINING)
          .respondTo(program.discovery.nextRequest());
      HttpMessage whole = program.discovery.nextRequest();
      assertTrue(whole.startLine().startsWith("GET /registry/instances HTTP"), whole.startLine());
      program.assertAllServedBy(1, 8);
      program.endpointList(7, Extent.COMPLETE, Health.SERVING, Health.DRAINING).respondTo(whole);
      assertTrue(
          program.discovery.nextRequest().startLine().contains("from=7&"),
          "its count is the one that holds now");
      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "back");
      assertEquals("back", job.response().body());
    }
  }

  /**
   * Discovery may fail, talk nonsense or fall silent: the list that is held stays good, and it is
   * asked again.
   */
  @ParameterizedTest
  @ValueSource(strings = {"503", "nonsense", "cut", "closed", "silent"})
  void aLostWatchIsStartedAgain(String how) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      HttpMessage watch = program.discovery.nextRequest();
      switch (how) {
        case "503" -> watch.respond(503, "");
        case "silent" -> {}
        case "nonsense" -> watch.respond(200, "{\"seq\":44,\"whole\":true,\"hosts\":[{}]}");
        case "cut" ->
            watch.respond(
                200,
                program
                    .endpointList(44, Extent.COMPLETE, Health.DRAINING)
                    .toJson()
                    .substring(0, 40));
        default -> watch.connection().close();
      }
      assertTrue(program.discovery.nextRequest().startLine().contains("from=41&"));
      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "held");
      assertEquals("held", job.response().body());
    }
  }

  /**
   * A JVM left to itself ends on SIGHUP. The file's discovery is the newer one, and it may count
   * its versions anew.
   */
  @Test
  void aNewConfigurationMovesTheWatchAtOnce() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2)) {
      SubmittedJob job = program.submit("/copy", "");
      HttpMessage old = program.discovery.nextRequest();
      for (int seq : new int[] {7, 3}) {
        try (StubHttpServer before = program.moveDiscovery()) {
          before.awaitClosed(old.connection());
          HttpMessage whole = program.discovery.nextRequest();
          assertEquals("GET /registry/instances HTTP/1.1", whole.startLine());
          Health first = seq == 7 ? Health.SERVING : Health.DRAINING;
          program.endpointList(seq, Extent.COMPLETE, first, Health.SERVING).respondTo(whole);
          old = program.discovery.nextRequest();
          assertTrue(old.startLine().contains("?from=" + seq + "&"), old.startLine());
          assertFalse(before.hasPendingRequest());
        }
      }
      program.workers.get(program.awaitWorkerWithRequest()).nextRequest().connection().close();
      program.serveNextJob(1, "kept");
      assertEquals("kept", job.response().body());
      program.signal("HUP");
      program.signal("TERM");
      assertTrue(program.process.waitFor(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      assertEquals(143, program.process.exitValue());
    }
  }

  /** A change that needs a restart, and the field that the log names. */
  private enum RestartOnlyChange {
    CLASS_NAME("settings"),
    POLL_INTERVAL("settings"),
    DESCRIPTOR_LIMIT("limits.sockets"),
    DISPATCHER_NAME("name");

    private final String field;

    RestartOnlyChange(String field) {
      this.field = field;
    }

    TestConfiguration applyTo(TestConfiguration configuration) {
      return switch (this) {
        case CLASS_NAME -> {
          RequestClass renamed = RequestClass.issue().withName("sell");
          yield configuration.requestClasses(RequestClass.copy(), renamed);
        }
        case POLL_INTERVAL -> configuration.discoveryPollIntervalSeconds(0.7);
        case DESCRIPTOR_LIMIT -> configuration.descriptorLimit(512);
        case DISPATCHER_NAME -> configuration.name("n1");
      };
    }
  }

  /** It may be another customer's file: neither its settings nor its discovery may turn up here. */
  @ParameterizedTest
  @EnumSource(RestartOnlyChange.class)
  void aNewConfigurationThatChangesMoreThanItMayKeepsTheOldWhole(RestartOnlyChange change)
      throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        StubHttpServer other = new StubHttpServer()) {
      HttpMessage watch = program.discovery.nextRequest();
      program.reload(
          change.applyTo(program.configuration().discoveryAddress(other.address())).toJson());
      String said = program.awaitLog("configuration reload rejected");
      assertTrue(
          said.endsWith(
              "the old configuration stays reason=restart required to change " + change.field),
          said);
      program.endpointList(42, Extent.COMPLETE, Health.SERVING).respondTo(watch);
      assertTrue(program.discovery.nextRequest().startLine().contains("?from=42&"));
      SubmittedJob job = program.submit("/issue", "");
      program.serveNextJob(0, "as before");
      assertEquals("as before", job.response().body());
      assertFalse(other.hasPendingRequest());
    }
  }

  @Test
  void aBadNewConfigurationChangesNothing() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      HttpMessage watch = program.discovery.nextRequest();
      program.reload("{\"name\":");
      assertTrue(
          program
              .awaitLog("configuration reload rejected")
              .contains("the old configuration stays"));
      program.endpointList(42, Extent.COMPLETE, Health.SERVING).respondTo(watch);
      assertTrue(program.discovery.nextRequest().startLine().contains("?from=42&"));
      SubmittedJob job = program.submit("/copy", "");
      program.serveNextJob(0, "as before");
      assertEquals("as before", job.response().body());
    }
  }

  /**
   * Clients may fill their part of the descriptors; news still comes in, or no job would ever end.
   */
  @Test
  void clientsThatTakeAllTheRoomDoNotShutTheNewsOut() throws Exception {
    try (DispatcherProcess program =
        new DispatcherProcess(1, new TestConfiguration().descriptorLimit(52))) {
      List<SubmittedJob> jobs = new ArrayList<>();
      for (int i = 0; i < 11; i++) {
        jobs.add(program.submit("/copy", ""));
      }
      // Once a later request is answered, all of these have been read, in whatever order.
      assertEquals(200, program.request("GET /health/ready HTTP/1.1\r\n", "").status());
      assertEquals(
          503, program.submit("/copy", "").response().status(), "there is no room for another");
      for (int i = 0; i < jobs.size(); i++) {
        program.serveNextJob(0, "served");
      }
      for (SubmittedJob job : jobs) {
        assertEquals(200, program.reportStatus(job.id(), "w0", "done", ",\"result\":\"served\""));
      }
      for (SubmittedJob job : jobs) {
        assertEquals("served", job.response().body());
      }
    }
  }

  /**
   * Whoever opens connections and says nothing, or not enough, takes no room from those that bring
   * jobs.
   */
  @Test
  void connectionsThatSayNothingDoNotPushOthersOut() throws Exception {
    try (DispatcherProcess program =
        new DispatcherProcess(1, new TestConfiguration().descriptorLimit(64))) {
      SubmittedJob first = program.submit("/copy", "");
      program.serveNextJob(0, "first");
      assertEquals("first", first.response().body());
      List<Socket> silent = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        silent.add(program.connect());
        HttpIo.write(silent.get(i), i % 2 == 0 ? "" : "POST /copy HTTP/1.1\r\nX-");
      }
      SubmittedJob kept = program.submit(first.connection(), "/copy", 20_000, "");
      program.serveNextJob(0, "kept");
      assertEquals("kept", kept.response().body());
      for (Socket socket : silent) {
        assertTrue(isLetGo(socket), "it is closed or told so");
      }
    }
  }

  /**
   * Clients may ask once on each connection and keep them all: the longest idle are closed, the
   * last ones stay.
   */
  @Test
  void connectionsThatAskOnceAndStayAreNotKeptForLong() throws Exception {
    try (DispatcherProcess program =
        new DispatcherProcess(1, new TestConfiguration().descriptorLimit(64))) {
      List<SubmittedJob> jobs = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        jobs.add(program.submit("/copy", ""));
        program.serveNextJob(0, "served");
        assertEquals("served", jobs.get(i).response().body());
      }
      assertNull(HttpIo.read(jobs.get(0).connection()));
      assertNull(HttpIo.read(jobs.get(1).connection()));
      SubmittedJob next = program.submit(jobs.get(5).connection(), "/copy", 20_000, "");
      program.serveNextJob(0, "kept");
      assertEquals("kept", next.response().body());
    }
  }

  private static boolean isLetGo(Socket socket) throws IOException {
    try (socket) {
      HttpMessage answer = HttpIo.read(socket);
      return answer == null || answer.status() == 408;
    } catch (SocketException reset) {
      return true;
    }
  }

  /** A client that repeats at once what was wrong must not take the processor from the others. */
  @Test
  void whoRepeatsWhatWasWrongIsReadLessOften() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket socket = program.connect()) {
      long start = System.nanoTime();
      HttpIo.write(socket, "GET /nowhere HTTP/1.1\r\n\r\n".repeat(5));
      for (int i = 0; i < 5; i++) {
        assertEquals(404, HttpIo.read(socket).status());
      }
      assertTrue(System.nanoTime() - start >= 400_000_000, "four pauses of 0.1 s at least");
    }
  }

  @Test
  void loadIsAskedForWhereProbesAreAllowed() throws Exception {
    try (DispatcherProcess program =
        new DispatcherProcess(1, new TestConfiguration().loadReports(LoadReports.POLLED))) {
      SubmittedJob job = program.submit("/copy", "");
      HttpMessage probe = program.workers.get(0).nextRequest();
      assertEquals("GET /stats HTTP/1.1", probe.startLine());
      probe.respond(200, "TEXT inflight=1, queue=0, x0=3");
      program.serveNextJob(0, "served");
      assertEquals("served", job.response().body());
    }
  }

  /**
   * A planned restart loses nothing: clients use the connections that they have for a while, what
   * is taken is served, and what cannot be done in time is answered before the process has to go.
   */
  @Test
  void aStopServesWhatWasTakenAndThenEnds() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1)) {
      SubmittedJob before = program.submit("/copy", "");
      program.serveNextJob(0, "first");
      assertEquals("first", before.response().body());
      program.process.toHandle().destroy();
      program.awaitLog("graceful shutdown started successor=false");
      SubmittedJob kept = program.submit(before.connection(), "/copy", 20_000, "");
      program.serveNextJob(0, "kept");
      HttpMessage answer = kept.response();
      assertEquals("kept", answer.body());
      assertNull(answer.header("Connection"));
      SubmittedJob fresh = program.submit("/copy", "");
      program.serveNextJob(0, "taken");
      assertEquals("taken", fresh.response().body());
      SubmittedJob endless = program.submit(kept.connection(), "/issue", 20_000, "");
      program.workers.get(0).nextRequest().respond(202, "");
      assertEquals(500, endless.response().status());
      assertNull(HttpIo.read(endless.connection()));
      assertTrue(program.process.waitFor(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  /**
   * What was read behind a request has been taken too, and is answered before its connection ends.
   */
  @Test
  void aStopAnswersWhatWasSentAheadOnOneConnection() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1);
        Socket ahead = program.connect()) {
      SubmittedJob idle = program.submit("/copy", "");
      program.serveNextJob(0, "idle");
      assertEquals("idle", idle.response().body());
      SubmittedJob first = program.submit(ahead, "/copy/1", 20_000, "");
      SubmittedJob second = program.submit(ahead, "/copy/2", 20_000, "");
      HttpMessage post = program.workers.get(0).nextRequest();
      post.respond(202, "");
      program.process.toHandle().destroy();
      assertNull(HttpIo.read(idle.connection()), "from here on connections are closed");
      program.reportStatus(first.id(), "w0", "done", ",\"result\":\"1\"");
      HttpMessage answer = HttpIo.read(ahead);
      assertEquals("1", answer.body());
      assertNull(answer.header("Connection"));
      assertEquals("POST /copy/2 HTTP/1.1", program.workers.get(0).nextRequest().startLine());
      program.reportStatus(second.id(), "w0", "done", ",\"result\":\"2\"");
      answer = HttpIo.read(ahead);
      assertEquals("2", answer.body());
      assertEquals("close", answer.header("Connection"));
      assertTrue(program.process.waitFor(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "{}",
        "{\"listen\":\"nowhere\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\"}"
      })
  void aBadConfigurationIsNamedInOneLine(String config) throws Exception {
    Path file = Files.createTempFile("loomreel", ".json");
    Files.writeString(file, config);
    for (String command : new String[] {"serve", "check-config"}) {
      Process process = ProgramCommand.of(file, command, "").start();
      String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
      assertEquals(2, process.waitFor(), said);
      assertEquals(1, said.lines().count(), said);
      assertTrue(said.startsWith("loomreel: " + file), said);
    }
    Files.delete(file);
  }
}
