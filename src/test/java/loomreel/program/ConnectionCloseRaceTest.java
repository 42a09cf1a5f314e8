package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import loomreel.program.StepControlledServer.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections are ended between requests; bytes may arrive in that very moment. */
@Timeout(120)
class ConnectionCloseRaceTest {
  /** Why a connection on which a client rests is ended. */
  private enum Why {
    /** The process is to stop. */
    STOP,
    /** More rest than may. */
    IDLE,
    /** Nobody has said anything on it, and others come. */
    CROWD
  }

  private static StepControlledServer server() throws Exception {
    // 24 connections may come in, and 8 of them rest.
    return new StepControlledServer(1, new TestConfiguration().descriptorLimit(64));
  }

  /** A client that rests, and what makes the server end its connection. */
  private static void resting(
      StepControlledServer server, Why why, List<Socket> others, Socket[] resting)
      throws Exception {
    Socket client = server.connect();
    resting[0] = client;
    if (why != Why.CROWD) {
      SubmittedJob job = server.submit(client, "/copy", 20_000, "");
      server.serveNextJob(0, "first");
      assertEquals("first", job.response().body());
    }
    server.awaitPendingInputRead();
    switch (why) {
      case STOP -> server.requestShutdown();
      case IDLE -> {
        for (int i = 0; i < 8; i++) {
          others.add(server.connect());
          HttpIo.write(others.get(i), "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
          assertEquals(200, HttpIo.read(others.get(i)).status());
        }
      }
      default -> {
        for (int i = 0; i < 24; i++) {
          others.add(server.connect());
        }
      }
    }
  }

  private static void end(List<Socket> others) throws Exception {
    for (Socket other : others) {
      other.close();
    }
  }

  /** Written before our side is shut, a request has been taken, and is served. */
  @ParameterizedTest
  @EnumSource(Why.class)
  void aRequestThatComesJustBeforeTheEndIsServed(Why why) throws Exception {
    try (StepControlledServer server = server()) {
      List<Socket> others = new ArrayList<>();
      Socket[] client = new Socket[1];
      SubmittedJob[] crossing = new SubmittedJob[1];
      server.onStep(
          Step.IDLE_CONNECTION_CLOSING,
          () -> crossing[0] = server.submit(client[0], "/copy", 20_000, ""));
      resting(server, why, others, client);
      server.awaitStep(Step.IDLE_CONNECTION_CLOSING);
      server.serveNextJob(0, "crossing");
      assertEquals("crossing", crossing[0].response().body());
      end(others);
    }
  }

  /**
   * Written after our side is shut it is the client's to send again: it is read, thrown away and
   * never sent on.
   */
  @ParameterizedTest
  @EnumSource(Why.class)
  void aRequestThatComesAfterTheEndIsNotSentOn(Why why) throws Exception {
    try (StepControlledServer server = server()) {
      List<Socket> others = new ArrayList<>();
      Socket[] client = new Socket[1];
      server.onStep(Step.OUTPUT_SHUT, () -> server.submit(client[0], "/copy/crossing", 20_000, ""));
      resting(server, why, others, client);
      server.awaitStep(Step.OUTPUT_SHUT);
      assertNull(HttpIo.read(client[0]), "an end, and no reset that could take an answer along");
      // The client stays, for one that has gone would not be served either.
      server.awaitPendingInputRead();
      assertFalse(server.workers.get(0).hasPendingRequest());
      client[0].close();
      end(others);
    }
  }

  /**
   * A reset would take along what the client has not read yet: the answer that was just written.
   */
  @Test
  void theLastAnswerIsReadWhateverComesBehindIt() throws Exception {
    try (StepControlledServer server = server()) {
      SubmittedJob job = server.submit("/copy", "");
      server.onStep(
          Step.OUTPUT_SHUT, () -> HttpIo.write(job.connection(), "POST /copy HTTP/1.1\r\nX-Call-"));
      server.requestShutdown();
      server.workers.get(0).nextRequest().respond(202, "");
      server.reportStatus(job.id(), "w0", "done", ",\"result\":\"last\"");
      assertEquals("last", job.response().body());
      server.awaitStep(Step.OUTPUT_SHUT);
      assertNull(HttpIo.read(job.connection()));
    }
  }

  /** Half a request, or half a call-back, that has come is waited for. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatHasHalfComeAtAStopIsWaitedFor(boolean news) throws Exception {
    try (StepControlledServer server = server();
        Socket half = server.connect();
        Socket resting = server.connect()) {
      SubmittedJob job = server.submit("/copy", "");
      server.workers.get(0).nextRequest().respond(202, "");
      String body =
          "{\"id\":\"" + job.id() + "\",\"from\":\"w0\",\"state\":\"done\",\"result\":\"r\"}";
      String whole =
          news
              ? "POST /_jobs/news HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body
              : "POST /copy/half HTTP/1.1\r\nX-Call-Id: 00000000000000dd\r\nX-Budget-Ms: 9000\r\nContent-Length: 0\r\n\r\n";
      server.awaitPendingInputRead();
      // The first one that is let go is the first that came.
      server.onStep(Step.IDLE_CONNECTION_CLOSING, () -> HttpIo.write(half, whole.substring(0, 30)));
      server.requestShutdown();
      assertNull(HttpIo.read(resting));
      HttpIo.write(half, whole.substring(30));
      if (news) {
        assertEquals(200, HttpIo.read(half).status());
      } else {
        assertEquals("POST /copy/half HTTP/1.1", server.workers.get(0).nextRequest().startLine());
        server.reportStatus("00000000000000dd", "w0", "done", ",\"result\":\"half\"");
        assertEquals("half", HttpIo.read(half).body());
        server.reportStatus(job.id(), "w0", "done", ",\"result\":\"r\"");
      }
      assertEquals("r", job.response().body());
    }
  }

  /**
   * The end of the process resets what is not closed: it comes after that of the last client, if
   * that comes in time.
   */
  @Test
  void theProcessEndsAfterItsClientsHave() throws Exception {
    try (StepControlledServer server = server()) {
      SubmittedJob job = server.submit("/copy", "");
      server.serveNextJob(0, "r");
      assertEquals("r", job.response().body());
      AtomicBoolean gone = new AtomicBoolean();
      AtomicBoolean before = new AtomicBoolean();
      server.onStep(Step.LOOP_STOPPED, () -> before.set(!gone.get()));
      server.requestShutdown();
      server.requestShutdown();
      assertNull(HttpIo.read(job.connection()));
      gone.set(true);
      job.connection().close();
      server.awaitStep(Step.LOOP_STOPPED);
      assertFalse(before.get(), "it ended while a client had not read to the end");
      assertTrue(server.awaitLoopEnd());
    }
  }

  /**
   * Asked to stop once more, it does not begin anew: the time to the end would run out for the
   * platform only.
   */
  @Test
  void aSecondStopChangesNothing() throws Exception {
    try (StepControlledServer server = server()) {
      server.requestShutdown();
      server.requestShutdown();
      server.awaitStep(Step.LOOP_STOPPED);
      assertEquals(1, server.stepCount(Step.SHUTDOWN_REQUESTED));
    }
  }
}
