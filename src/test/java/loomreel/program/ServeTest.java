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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The real program, met as clients, copy workers and discovery meet it. */
@Timeout(120)
// Requests and responses stand as their bytes, with CRLF.
@SuppressWarnings("StringConcatToTextBlock")
class ServeTest {
  @Test
  void aJobGoesOutUnchangedAndItsResultComesBack() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      assertEquals(200, program.request("GET /health/ready HTTP/1.1\r\nHost: x\r\n", "").status());
      DispatcherHarness.Job job = program.job("/copy/page?n=1", "the body");
      Http.Message post = program.workers.get(0).next();
      assertEquals("POST /copy/page?n=1 HTTP/1.1", post.first());
      assertEquals("the body", post.body());
      assertEquals(job.id(), post.header("X-Call-Id"));
      int budget = Integer.parseInt(post.header("X-Budget-Ms"));
      assertTrue(budget > 0 && budget <= 20_000, "budget " + budget);
      post.answer(202, "");
      assertEquals(200, program.news(job.id(), "w0", "running", ",\"share\":0.4"));
      assertEquals(200, program.news(job.id(), "w0", "done", ",\"result\":\"r\\u00e9sultat\""));
      Http.Message answer = job.answer();
      assertEquals(200, answer.status());
      assertEquals("résultat", answer.body());
    }
  }

  static String keyedClass(String settings) {
    return settings.replace(
        "\"RequestClasses\":[",
        "\"RequestClasses\":[{\"Name\":\"hold\",\"TargetS\":20,"
            + "\"DeadlineS\":20,\"Repeat\":\"guarded\",\"Group\":\"zone\",\"WindowS\":15,\"Value\":3},");
  }

  /**
   * The copy workers tell repeats by the key: without one a repeat would be a second run, so there
   * is none.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aKeyedJobIsSentAgainUnderItsKeyAndNeverWithoutOne(boolean keyed) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, false, ServeTest::keyedClass);
        Socket client = program.connect()) {
      String key = "5c0f6e1a-2b3d, \"x\"; ~";
      Http.write(
          client,
          "POST /hold/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: 00000000000000cc\r\nX-Budget-Ms: 20000\r\n"
              + (keyed ? "idempotency-KEY: " + key + "\r\n" : "")
              + "Content-Length: 4\r\n\r\nbody");
      int at = asked(program);
      Http.Message first = program.workers.get(at).next();
      assertEquals(keyed ? key : null, first.header("Idempotency-Key"));
      first.from().close();
      if (keyed) {
        Http.Message second = program.workers.get(1 - at).next();
        assertEquals(key, second.header("Idempotency-Key"));
        assertEquals("body", second.body());
        second.answer(202, "");
        program.news("00000000000000cc", "w" + (1 - at), "done", ",\"result\":\"held\"");
        assertEquals("held", Http.read(client).body());
      } else {
        assertEquals(500, Http.read(client).status());
        assertFalse(program.workers.get(1 - at).wasAsked());
      }
    }
  }

  private static String pushed(String settings) {
    return settings
        .replace("\"Discovery\":\"ask\"", "\"Discovery\":\"push\"")
        .replace("\"StopSendingWithinS\":3", "\"StopSendingWithinS\":5");
  }

  /**
   * Answers with a list until the program goes on from it: it asks again when this machine is slow.
   */
  private static Http.Message untilItHas(DispatcherProcess program, int seq, String list)
      throws Exception {
    Http.Message call = program.discovery.next();
    while (!call.first().contains("?from=" + seq + "&")) {
      call.answer(200, list);
      call = program.discovery.next();
    }
    return call;
  }

  /**
   * Where lists are pushed, what the agent has counts as told from the first moment on, whatever
   * was known before.
   */
  @Test
  void aPushedListIsTakenBeforeTheFirstJobGoesOut() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, false, ServeTest::pushed)) {
      Http.Message whole = program.discovery.next();
      assertEquals("GET /registry/instances HTTP/1.1", whole.first());
      List<DispatcherHarness.Job> jobs = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        jobs.add(program.job("/copy/" + i, ""));
      }
      String list = program.list(7, true, "DRAINING", "SERVING").replace(",", ",\n  ");
      whole.answer(200, list);
      untilItHas(program, 7, list);
      for (int i = 0; i < jobs.size(); i++) {
        program.serve(1, "served");
      }
      for (DispatcherHarness.Job job : jobs) {
        assertEquals("served", job.answer().body());
      }
      assertFalse(program.workers.get(0).wasAsked());
    }
  }

  /**
   * Nothing that an agent has may be missed for as long as the grace, whether it is silent or
   * fails.
   */
  @ParameterizedTest
  @ValueSource(strings = {"silent", "503", "closed", "cut"})
  void aPushedListIsAskedForAgainOnANewConnectionWithinTheGrace(String how) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, false, ServeTest::pushed)) {
      Http.Message watch = untilItHas(program, 41, program.list(41, true, "SERVING"));
      for (int i = 0; i < 3; i++) {
        int hold = Integer.parseInt(watch.first().replaceAll(".*hold_ms=(\\d+).*", "$1"));
        assertTrue(watch.first().contains("?from=41&") && hold <= 2500, watch.first());
        switch (how) {
          case "503" -> watch.answer(503, "");
          case "cut" -> watch.answer(200, program.list(44, true, "DRAINING").substring(0, 40));
          case "closed" -> watch.from().close();
          default -> program.discovery.awaitEnd(watch.from());
        }
        watch = program.discovery.next();
      }
      watch.answer(200, program.list(43, false, "DRAINING", "SERVING"));
      untilItHas(program, 43, program.list(43, false, "DRAINING", "SERVING"));
      program.allGoTo(1, 8);
    }
  }

  /**
   * An agent that says nothing must not keep a dispatcher from being ready in the platform's 30 s.
   */
  @Test
  void aSilentAgentIsNotWaitedForForEver() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false, ServeTest::pushed)) {
      program.discovery.next();
      DispatcherHarness.Job job = program.job("/copy", "");
      assertTrue(program.awaitLog("discovery agent silent").contains("last known endpoint list"));
      program.serve(0, "held");
      assertEquals("held", job.answer().body());
    }
  }

  /**
   * A silent watch is over: what comes on it later is not the answer to the call that took its
   * place.
   */
  @Test
  void aListThatComesLateOnASilentWatchIsNotTaken() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, false, ServeTest::pushed)) {
      Http.Message silent = untilItHas(program, 41, program.list(41, true, "SERVING"));
      program.discovery.awaitEnd(silent.from());
      try {
        silent.answer(200, program.list(50, true, "SERVING", "DRAINING"));
      } catch (SocketException gone) {
        // That is as good as not being read.
      }
      program.discovery.next().answer(200, program.list(43, false, "DRAINING", "SERVING"));
      untilItHas(program, 43, program.list(43, false, "DRAINING", "SERVING"));
      program.allGoTo(1, 8);
    }
  }

  /**
   * An answer that comes twice counts once; the call after it goes out on a connection that owes
   * nothing.
   */
  @Test
  void aListThatIsAnsweredTwiceCountsOnce() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, false)) {
      Http.Message watch = program.discovery.next();
      String first = program.list(43, false, "DRAINING", "SERVING");
      String second = program.list(44, false, "SERVING", "DRAINING");
      Http.write(
          watch.from(),
          "HTTP/1.1 200 x\r\nContent-Length: "
              + first.length()
              + "\r\n\r\n"
              + first
              + "HTTP/1.1 200 x\r\nContent-Length: "
              + second.length()
              + "\r\n\r\n"
              + second);
      Http.Message next = program.discovery.next();
      assertTrue(next.first().contains("?from=43&"), next.first());
      assertNotSame(watch.from(), next.from());
      program.allGoTo(1, 8);
    }
  }

  /**
   * Bytes behind a whole answer are nobody's: as the next answer they would say that a job was
   * turned away.
   */
  @Test
  void whatComesBehindAnAnswerIsNotTheNextOne() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      for (int i = 0; i < 4; i++) {
        DispatcherHarness.Job job = program.job("/issue", "");
        Http.Message post = program.workers.get(0).next();
        Http.write(
            post.from(),
            "HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n"
                + "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
        program.workers.get(0).awaitEnd(post.from());
        program.news(job.id(), "w0", "done", ",\"result\":\"once\"");
        assertEquals("once", job.answer().body());
      }
      assertEquals(4, program.workers.get(0).connections(), "none of them was used again");
      assertFalse(program.workers.get(0).wasAsked());
    }
  }

  /** A call-back may overtake the 202, come again, or name a job that nobody knows (any more). */
  @Test
  void newsIsActedOnOnceAndAlwaysAnswered() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      DispatcherHarness.Job first = program.job("/copy", "");
      Http.Message post = program.workers.get(0).next();
      assertEquals(200, program.news(first.id(), "w7", "done", ",\"result\":\"not from there\""));
      assertEquals(200, program.news(first.id(), "w0", "done", ",\"result\":\"early\""));
      assertEquals("early", first.answer().body());
      post.answer(202, "");
      assertEquals(200, program.news(first.id(), "w0", "done", ",\"result\":\"again\""));
      assertEquals(200, program.news("00000000000000ff", "w0", "failed", ""));
      assertEquals(400, program.request("POST /_jobs/news HTTP/1.1\r\nHost: x\r\n", "[1").status());
      DispatcherHarness.Job second = program.job(first.socket(), "/copy", 20_000, "");
      Http.Message next = program.workers.get(0).next();
      assertSame(post.from(), next.from(), "the connection is used again");
      next.answer(202, "");
      program.news(second.id(), "w0", "done", ",\"result\":\"second\"");
      assertEquals("second", second.answer().body());
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
    try (DispatcherProcess program = new DispatcherProcess(2, false)) {
      DispatcherHarness.Job job = program.job("/" + requestClass, "b");
      int at = asked(program);
      Http.Message post = program.workers.get(at).next();
      switch (outcome) {
        case "reset" -> post.from().close();
        case "500" -> post.answer(500, "");
        case "turned away" -> post.answer(503, "", "X-Rejected: 1");
        case "garbage" -> Http.write(post.from(), "\0\1 what?\r\n\r\n");
        default -> {
          post.answer(202, "");
          program.news(job.id(), "w" + at, outcome, "");
        }
      }
      if (status == 200) {
        program.serve(1 - at, "elsewhere");
      }
      assertEquals(status, job.answer().status());
      assertFalse(program.workers.get(0).wasAsked() || program.workers.get(1).wasAsked());
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
            1, false, s -> s.replace("\"TargetS\":20", "\"TargetS\":0.1,\"AimStretch\":1000"))) {
      DispatcherHarness.Job job = program.job("/issue", "");
      program.workers.get(0).next().answer(202, "");
      program.news(job.id(), "w0", "returned", "");
      program.workers.get(0).next().answer(202, "");
      program.news(job.id(), "w0", "returned", "");
      assertEquals(500, job.answer().status());
      assertFalse(program.workers.get(0).wasAsked());
    }
  }

  private static int asked(DispatcherProcess program) throws InterruptedException {
    while (true) {
      for (int i = 0; i < program.workers.size(); i++) {
        if (program.workers.get(i).wasAsked()) {
          return i;
        }
      }
      Thread.sleep(1);
    }
  }

  @Test
  void aCopyWorkerThatCannotBeReachedIsPassedOver() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, false)) {
      program.workers.get(0).close();
      for (int i = 0; i < 6; i++) {
        DispatcherHarness.Job job = program.job("/issue", "");
        program.serve(1, "there");
        assertEquals("there", job.answer().body());
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
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      DispatcherHarness.Job job = program.job(program.connect(), "/copy", 2000, "");
      Http.Message post = program.workers.get(0).next();
      if (accepts) {
        post.answer(202, "");
      }
      Http.Message answer = job.answer();
      assertEquals(503, answer.status(), "a copy may be asked for again");
      assertEquals("1.500", answer.header("Retry-After"));
      DispatcherHarness.Job late = program.job(job.socket(), "/copy", 1, "");
      assertNotEquals(200, late.answer().status());
    }
  }

  @Test
  void aClientThatLeavesEndsItsJob() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      DispatcherHarness.Job job = program.job("/copy", "");
      program.workers.get(0).next().answer(202, "");
      // Only after a call-back of its own is it sure that the 202 has been read.
      program.news(job.id(), "w0", "running", ",\"share\":0.1");
      job.socket().close();
      assertEquals("DELETE /jobs/" + job.id() + " HTTP/1.1", program.workers.get(0).next().first());
    }
  }

  /** Requests sent ahead on one connection are answered one by one, in their order. */
  @Test
  void requestsSentAheadWaitTheirTurn() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false);
        Socket socket = program.connect()) {
      String[] ids = new String[3];
      for (int i = 0; i < ids.length; i++) {
        ids[i] = program.job(socket, "/copy/" + i, 20_000, "").id();
      }
      for (int i = 0; i < ids.length; i++) {
        Http.Message post = program.workers.get(0).next();
        assertEquals("POST /copy/" + i + " HTTP/1.1", post.first());
        assertFalse(program.workers.get(0).wasAsked());
        post.answer(202, "");
        program.news(ids[i], "w0", "done", ",\"result\":\"r" + i + "\"");
        assertEquals("r" + i, Http.read(socket).body());
      }
    }
  }

  /**
   * A copy worker resets what is written to a connection that it has closed: ours is closed first.
   */
  @Test
  void idleConnectionsAreClosedBeforeTheOtherSideDoes() throws Exception {
    try (DispatcherProcess program =
        new DispatcherProcess(1, false, s -> s.replace("\"ConnIdleS\":60", "\"ConnIdleS\":1"))) {
      DispatcherHarness.Job job = program.job("/copy", "");
      Http.Message post = program.workers.get(0).next();
      post.answer(202, "");
      program.news(job.id(), "w0", "done", ",\"result\":\"r\"");
      assertEquals("r", job.answer().body());
      program.workers.get(0).awaitEnd(post.from());
    }
  }

  /**
   * Something on the way may forget idle connections sooner than the settings say, and reset the
   * next request.
   */
  @Test
  void connectionsThatAreResetWhenUsedAgainAreKeptForLess() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      DispatcherHarness.Job job = program.job("/copy", "");
      program.serve(0, "first");
      assertEquals("first", job.answer().body());
      for (int i = 0; i < 3; i++) {
        Thread.sleep(200);
        job = program.job(job.socket(), "/issue", 20_000, "");
        program.workers.get(0).next().from().close();
        assertEquals(500, job.answer().status());
        job = program.job(job.socket(), "/copy", 20_000, "");
        program.serve(0, "next");
        assertEquals("next", job.answer().body());
      }
      Thread.sleep(400);
      program.workers.get(0).forget();
      job = program.job(job.socket(), "/issue", 20_000, "");
      program.serve(0, "on a new connection");
      assertEquals("on a new connection", job.answer().body());
      assertEquals(1, program.workers.get(0).connections());
    }
  }

  @Test
  void aCopyWorkerThatMovesIsCalledWhereItIsNow() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      Http.Peer before = program.workers.set(0, new Http.Peer());
      program.discovery.next().answer(200, program.list(42, true, "SERVING"));
      program.discovery.next();
      DispatcherHarness.Job job = program.job("/copy", "");
      program.serve(0, "moved");
      assertEquals("moved", job.answer().body());
      assertFalse(before.wasAsked());
      before.close();
    }
  }

  @Test
  void bodiesComeWholeHoweverTheyAreCut() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false);
        Socket socket = program.connect()) {
      String request =
          "POST /copy HTTP/1.1\r\nHost: x\r\nX-Call-Id: 00000000000000aa\r\nX-Budget-Ms: 20000\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0a\r\n0123456789\r\n0\r\nT: v\r\n\r\n";
      socket.setTcpNoDelay(true);
      for (int i = 0; i < request.length(); i++) {
        Http.write(socket, request.substring(i, i + 1));
      }
      Http.Message post = program.workers.get(0).next();
      assertEquals("abc0123456789", post.body());
      String large = "x".repeat(64 * 1024);
      DispatcherHarness.Job job = program.job("/copy", large);
      assertEquals(large, program.workers.get(0).next().body());
      program.news(job.id(), "w0", "done", ",\"result\":\"" + large.substring(100) + "\"");
      assertEquals(large.substring(100), job.answer().body());
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
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      for (String[] c : cases) {
        try (Socket socket = program.connect()) {
          Http.write(socket, c[1]);
          assertEquals(Integer.parseInt(c[0]), Http.read(socket).status(), c[1]);
        }
      }
      assertEquals(200, program.request("GET /health/ready HTTP/1.1\r\nHost: x\r\n", "").status());
      assertFalse(program.workers.get(0).wasAsked());
    }
  }

  @Test
  void theListIsWatchedAndADrainingCopyWorkerGetsNothingNew() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, false)) {
      Http.Message watch = program.discovery.next();
      assertTrue(
          watch.first().startsWith("GET /registry/instances?from=41&hold_ms="), watch.first());
      watch.answer(200, program.list(43, false, "DRAINING", "SERVING"));
      Http.Message next = program.discovery.next();
      assertTrue(next.first().contains("from=43&"), next.first());
      assertSame(watch.from(), next.from());
      program.allGoTo(1, 8);
    }
  }

  @Test
  void aListThatNamesACopyWorkerTwiceHoldsByItsLastWord() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, false)) {
      String draining = program.list(43, true, "DRAINING", "SERVING");
      String serving = program.list(43, true, "SERVING", "SERVING");
      String first = serving.substring(serving.indexOf('[') + 1, serving.lastIndexOf(']'));
      program.discovery.next().answer(200, draining.replace("[", "[" + first + ","));
      assertTrue(program.discovery.next().first().contains("from=43&"));
      program.allGoTo(1, 8);
    }
  }

  /**
   * An answer that is older than what is held would send jobs to a copy worker that has been told
   * to drain.
   */
  @Test
  void anOlderListIsNotTakenAndTheWholeOneIsAskedFor() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, false)) {
      program.discovery.next().answer(200, program.list(43, false, "DRAINING", "SERVING"));
      program.discovery.next().answer(200, program.list(42, true, "SERVING", "DRAINING"));
      Http.Message whole = program.discovery.next();
      assertTrue(whole.first().startsWith("GET /registry/instances HTTP"), whole.first());
      program.allGoTo(1, 8);
      whole.answer(200, program.list(7, true, "SERVING", "DRAINING"));
      assertTrue(
          program.discovery.next().first().contains("from=7&"),
          "its count is the one that holds now");
      DispatcherHarness.Job job = program.job("/copy", "");
      program.serve(0, "back");
      assertEquals("back", job.answer().body());
    }
  }

  /**
   * Discovery may fail, talk nonsense or fall silent: the list that is held stays good, and it is
   * asked again.
   */
  @ParameterizedTest
  @ValueSource(strings = {"503", "nonsense", "cut", "closed", "silent"})
  void aLostWatchIsStartedAgain(String how) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      Http.Message watch = program.discovery.next();
      switch (how) {
        case "503" -> watch.answer(503, "");
        case "silent" -> {}
        case "nonsense" -> watch.answer(200, "{\"seq\":44,\"whole\":true,\"hosts\":[{}]}");
        case "cut" -> watch.answer(200, program.list(44, true, "DRAINING").substring(0, 40));
        default -> watch.from().close();
      }
      assertTrue(program.discovery.next().first().contains("from=41&"));
      DispatcherHarness.Job job = program.job("/copy", "");
      program.serve(0, "held");
      assertEquals("held", job.answer().body());
    }
  }

  /**
   * A JVM left to itself ends on SIGHUP. The file's discovery is the newer one, and it may count
   * its versions anew.
   */
  @Test
  void aNewConfigurationMovesTheWatchAtOnce() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(2, false)) {
      DispatcherHarness.Job job = program.job("/copy", "");
      Http.Message old = program.discovery.next();
      for (int seq : new int[] {7, 3}) {
        try (Http.Peer before = program.moveDiscovery()) {
          before.awaitEnd(old.from());
          Http.Message whole = program.discovery.next();
          assertEquals("GET /registry/instances HTTP/1.1", whole.first());
          whole.answer(200, program.list(seq, true, seq == 7 ? "SERVING" : "DRAINING", "SERVING"));
          old = program.discovery.next();
          assertTrue(old.first().contains("?from=" + seq + "&"), old.first());
          assertFalse(before.wasAsked());
        }
      }
      program.workers.get(asked(program)).next().from().close();
      program.serve(1, "kept");
      assertEquals("kept", job.answer().body());
      program.signal("HUP");
      program.signal("TERM");
      assertTrue(program.process.waitFor(Http.PATIENCE_MS, TimeUnit.MILLISECONDS));
      assertEquals(143, program.process.exitValue());
    }
  }

  /** It may be another customer's file: neither its settings nor its discovery may turn up here. */
  @ParameterizedTest
  @CsvSource({
    "\"Name\":\"issue\",\"Name\":\"sell\",settings",
    "\"AskWithinS\":0.5,\"AskWithinS\":0.7,settings",
    "\"sockets\":1024,\"sockets\":512,limits.sockets",
    "\"name\":\"n0\",\"name\":\"n1\",name"
  })
  void aNewConfigurationThatChangesMoreThanItMayKeepsTheOldWhole(
      String from, String to, String field) throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false);
        Http.Peer other = new Http.Peer()) {
      Http.Message watch = program.discovery.next();
      program.configure(
          program
              .configured()
              .replace(program.discovery.address(), other.address())
              .replace(from, to));
      program.signal("HUP");
      String said = program.awaitLog("configuration reload rejected");
      assertTrue(
          said.endsWith("the old configuration stays reason=restart required to change " + field),
          said);
      watch.answer(200, program.list(42, true, "SERVING"));
      assertTrue(program.discovery.next().first().contains("?from=42&"));
      DispatcherHarness.Job job = program.job("/issue", "");
      program.serve(0, "as before");
      assertEquals("as before", job.answer().body());
      assertFalse(other.wasAsked());
    }
  }

  @Test
  void aBadNewConfigurationChangesNothing() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      Http.Message watch = program.discovery.next();
      program.configure("{\"name\":");
      program.signal("HUP");
      assertTrue(
          program
              .awaitLog("configuration reload rejected")
              .contains("the old configuration stays"));
      watch.answer(200, program.list(42, true, "SERVING"));
      assertTrue(program.discovery.next().first().contains("?from=42&"));
      DispatcherHarness.Job job = program.job("/copy", "");
      program.serve(0, "as before");
      assertEquals("as before", job.answer().body());
    }
  }

  /**
   * Clients may fill their part of the descriptors; news still comes in, or no job would ever end.
   */
  @Test
  void clientsThatTakeAllTheRoomDoNotShutTheNewsOut() throws Exception {
    try (DispatcherProcess program =
        new DispatcherProcess(1, false, c -> c.replace("\"sockets\":1024", "\"sockets\":52"))) {
      List<DispatcherHarness.Job> jobs = new ArrayList<>();
      for (int i = 0; i < 11; i++) {
        jobs.add(program.job("/copy", ""));
      }
      // Once a later request is answered, all of these have been read, in whatever order.
      assertEquals(200, program.request("GET /health/ready HTTP/1.1\r\n", "").status());
      assertEquals(503, program.job("/copy", "").answer().status(), "there is no room for another");
      for (int i = 0; i < jobs.size(); i++) {
        program.serve(0, "served");
      }
      for (DispatcherHarness.Job job : jobs) {
        assertEquals(200, program.news(job.id(), "w0", "done", ",\"result\":\"served\""));
      }
      for (DispatcherHarness.Job job : jobs) {
        assertEquals("served", job.answer().body());
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
        new DispatcherProcess(1, false, c -> c.replace("\"sockets\":1024", "\"sockets\":64"))) {
      DispatcherHarness.Job first = program.job("/copy", "");
      program.serve(0, "first");
      assertEquals("first", first.answer().body());
      List<Socket> silent = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        silent.add(program.connect());
        Http.write(silent.get(i), i % 2 == 0 ? "" : "POST /copy HTTP/1.1\r\nX-");
      }
      DispatcherHarness.Job kept = program.job(first.socket(), "/copy", 20_000, "");
      program.serve(0, "kept");
      assertEquals("kept", kept.answer().body());
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
        new DispatcherProcess(1, false, c -> c.replace("\"sockets\":1024", "\"sockets\":64"))) {
      List<DispatcherHarness.Job> jobs = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        jobs.add(program.job("/copy", ""));
        program.serve(0, "served");
        assertEquals("served", jobs.get(i).answer().body());
      }
      assertNull(Http.read(jobs.get(0).socket()));
      assertNull(Http.read(jobs.get(1).socket()));
      DispatcherHarness.Job next = program.job(jobs.get(5).socket(), "/copy", 20_000, "");
      program.serve(0, "kept");
      assertEquals("kept", next.answer().body());
    }
  }

  private static boolean isLetGo(Socket socket) throws IOException {
    try (socket) {
      Http.Message answer = Http.read(socket);
      return answer == null || answer.status() == 408;
    } catch (SocketException reset) {
      return true;
    }
  }

  /** A client that repeats at once what was wrong must not take the processor from the others. */
  @Test
  void whoRepeatsWhatWasWrongIsReadLessOften() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false);
        Socket socket = program.connect()) {
      long start = System.nanoTime();
      Http.write(socket, "GET /nowhere HTTP/1.1\r\n\r\n".repeat(5));
      for (int i = 0; i < 5; i++) {
        assertEquals(404, Http.read(socket).status());
      }
      assertTrue(System.nanoTime() - start >= 400_000_000, "four pauses of 0.1 s at least");
    }
  }

  @Test
  void loadIsAskedForWhereProbesAreAllowed() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, true)) {
      DispatcherHarness.Job job = program.job("/copy", "");
      Http.Message probe = program.workers.get(0).next();
      assertEquals("GET /stats HTTP/1.1", probe.first());
      probe.answer(200, "TEXT inflight=1, queue=0, x0=3");
      program.serve(0, "served");
      assertEquals("served", job.answer().body());
    }
  }

  /**
   * A planned restart loses nothing: clients use the connections that they have for a while, what
   * is taken is served, and what cannot be done in time is answered before the process has to go.
   */
  @Test
  void aStopServesWhatWasTakenAndThenEnds() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false)) {
      DispatcherHarness.Job before = program.job("/copy", "");
      program.serve(0, "first");
      assertEquals("first", before.answer().body());
      program.process.toHandle().destroy();
      program.awaitLog("graceful shutdown started successor=false");
      DispatcherHarness.Job kept = program.job(before.socket(), "/copy", 20_000, "");
      program.serve(0, "kept");
      Http.Message answer = kept.answer();
      assertEquals("kept", answer.body());
      assertNull(answer.header("Connection"));
      DispatcherHarness.Job fresh = program.job("/copy", "");
      program.serve(0, "taken");
      assertEquals("taken", fresh.answer().body());
      DispatcherHarness.Job endless = program.job(kept.socket(), "/issue", 20_000, "");
      program.workers.get(0).next().answer(202, "");
      assertEquals(500, endless.answer().status());
      assertNull(Http.read(endless.socket()));
      assertTrue(program.process.waitFor(Http.PATIENCE_MS, TimeUnit.MILLISECONDS));
    }
  }

  /**
   * What was read behind a request has been taken too, and is answered before its connection ends.
   */
  @Test
  void aStopAnswersWhatWasSentAheadOnOneConnection() throws Exception {
    try (DispatcherProcess program = new DispatcherProcess(1, false);
        Socket ahead = program.connect()) {
      DispatcherHarness.Job idle = program.job("/copy", "");
      program.serve(0, "idle");
      assertEquals("idle", idle.answer().body());
      DispatcherHarness.Job first = program.job(ahead, "/copy/1", 20_000, "");
      DispatcherHarness.Job second = program.job(ahead, "/copy/2", 20_000, "");
      Http.Message post = program.workers.get(0).next();
      post.answer(202, "");
      program.process.toHandle().destroy();
      assertNull(Http.read(idle.socket()), "from here on connections are closed");
      program.news(first.id(), "w0", "done", ",\"result\":\"1\"");
      Http.Message answer = Http.read(ahead);
      assertEquals("1", answer.body());
      assertNull(answer.header("Connection"));
      assertEquals("POST /copy/2 HTTP/1.1", program.workers.get(0).next().first());
      program.news(second.id(), "w0", "done", ",\"result\":\"2\"");
      answer = Http.read(ahead);
      assertEquals("2", answer.body());
      assertEquals("close", answer.header("Connection"));
      assertTrue(program.process.waitFor(Http.PATIENCE_MS, TimeUnit.MILLISECONDS));
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
      Process process = DispatcherProcess.start(file, command, "");
      String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
      assertEquals(2, process.waitFor(), said);
      assertEquals(1, said.lines().count(), said);
      assertTrue(said.startsWith("loomreel: " + file), said);
    }
    Files.delete(file);
  }
}
