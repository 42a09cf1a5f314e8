package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
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
    return new StepControlledServer(1, c -> c.replace("\"sockets\":1024", "\"sockets\":64"));
  }

  /** A client that rests, and what makes the server end its connection. */
  private static void resting(
      StepControlledServer server, Why why, List<Socket> others, Socket[] resting)
      throws Exception {
    Socket client = server.connect();
    resting[0] = client;
    if (why != Why.CROWD) {
      DispatcherHarness.Job job = server.job(client, "/copy", 20_000, "");
      server.serve(0, "first");
      assertEquals("first", job.answer().body());
    }
    server.settle();
    switch (why) {
      case STOP -> server.server.shutDown();
      case IDLE -> {
        for (int i = 0; i < 8; i++) {
          others.add(server.connect());
          Http.write(others.get(i), "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
          assertEquals(200, Http.read(others.get(i)).status());
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
      DispatcherHarness.Job[] crossing = new DispatcherHarness.Job[1];
      server.at("letgo", () -> crossing[0] = server.job(client[0], "/copy", 20_000, ""));
      resting(server, why, others, client);
      server.await("letgo");
      server.serve(0, "crossing");
      assertEquals("crossing", crossing[0].answer().body());
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
      server.at("shut", () -> server.job(client[0], "/copy/crossing", 20_000, ""));
      resting(server, why, others, client);
      server.await("shut");
      assertNull(Http.read(client[0]), "an end, and no reset that could take an answer along");
      // The client stays, for one that has gone would not be served either.
      server.settle();
      assertFalse(server.workers.get(0).wasAsked());
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
      DispatcherHarness.Job job = server.job("/copy", "");
      server.at("shut", () -> Http.write(job.socket(), "POST /copy HTTP/1.1\r\nX-Call-"));
      server.server.shutDown();
      server.workers.get(0).next().answer(202, "");
      server.news(job.id(), "w0", "done", ",\"result\":\"last\"");
      assertEquals("last", job.answer().body());
      server.await("shut");
      assertNull(Http.read(job.socket()));
    }
  }

  /** Half a request, or half a call-back, that has come is waited for. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatHasHalfComeAtAStopIsWaitedFor(boolean news) throws Exception {
    try (StepControlledServer server = server();
        Socket half = server.connect();
        Socket resting = server.connect()) {
      DispatcherHarness.Job job = server.job("/copy", "");
      server.workers.get(0).next().answer(202, "");
      String body =
          "{\"id\":\"" + job.id() + "\",\"from\":\"w0\",\"state\":\"done\",\"result\":\"r\"}";
      String whole =
          news
              ? "POST /_jobs/news HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body
              : "POST /copy/half HTTP/1.1\r\nX-Call-Id: 00000000000000dd\r\nX-Budget-Ms: 9000\r\nContent-Length: 0\r\n\r\n";
      server.settle();
      // The first one that is let go is the first that came.
      server.at("letgo", () -> Http.write(half, whole.substring(0, 30)));
      server.server.shutDown();
      assertNull(Http.read(resting));
      Http.write(half, whole.substring(30));
      if (news) {
        assertEquals(200, Http.read(half).status());
      } else {
        assertEquals("POST /copy/half HTTP/1.1", server.workers.get(0).next().first());
        server.news("00000000000000dd", "w0", "done", ",\"result\":\"half\"");
        assertEquals("half", Http.read(half).body());
        server.news(job.id(), "w0", "done", ",\"result\":\"r\"");
      }
      assertEquals("r", job.answer().body());
    }
  }

  /**
   * The end of the process resets what is not closed: it comes after that of the last client, if
   * that comes in time.
   */
  @Test
  void theProcessEndsAfterItsClientsHave() throws Exception {
    try (StepControlledServer server = server()) {
      DispatcherHarness.Job job = server.job("/copy", "");
      server.serve(0, "r");
      assertEquals("r", job.answer().body());
      AtomicBoolean gone = new AtomicBoolean();
      AtomicBoolean before = new AtomicBoolean();
      server.at("stop", () -> before.set(!gone.get()));
      server.server.shutDown();
      server.server.shutDown();
      assertNull(Http.read(job.socket()));
      gone.set(true);
      job.socket().close();
      server.await("stop");
      assertFalse(before.get(), "it ended while a client had not read to the end");
      server.thread.join(Http.PATIENCE_MS);
      assertFalse(server.thread.isAlive());
    }
  }

  /**
   * Asked to stop once more, it does not begin anew: the time to the end would run out for the
   * platform only.
   */
  @Test
  void aSecondStopChangesNothing() throws Exception {
    try (StepControlledServer server = server()) {
      server.server.shutDown();
      server.server.shutDown();
      server.await("stop");
      assertTrue(server.stepsSoFar().stream().filter(s -> s.what().equals("drain")).count() == 1);
    }
  }
}
