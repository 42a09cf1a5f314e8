package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import loomreel.program.harness.DispatcherHarness;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.StepControlledServer;
import loomreel.program.harness.StepControlledServer.Step;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Input that arrives at the very moment at which the dispatcher closes a client connection. */
@Timeout(120)
class ConnectionCloseRaceTest {
  /** With this limit clients may have 24 connections, 8 of them idle. */
  private static final int DESCRIPTORS = 64;

  private static final int CLIENT_CONNECTIONS = 24;
  private static final int IDLE_CONNECTIONS = 8;

  /** Why the dispatcher closes a connection between two requests. */
  private enum CloseReason {
    SHUTDOWN,
    /** More connections are idle than may be. */
    IDLE_LIMIT,
    /** No request was received on it, and others connect. */
    CONNECTION_LIMIT
  }

  private static StepControlledServer start() throws Exception {
    return new StepControlledServer(1, new TestConfiguration().descriptorLimit(DESCRIPTORS));
  }

  /** A connection between two requests, and the further ones that have it closed. */
  private static final class ClosedClient implements AutoCloseable {
    private final StepControlledServer server;
    private final List<Socket> others = new ArrayList<>();
    private final Socket connection;

    ClosedClient(StepControlledServer server) throws IOException {
      this.server = server;
      connection = server.connect();
    }

    /** Makes the connection ready to be closed, and has the server close it. */
    void haveClosed(CloseReason reason) throws Exception {
      if (reason != CloseReason.CONNECTION_LIMIT) {
        SubmittedJob job = server.submit(connection, "/copy", 20_000, "");
        server.serveNextJob(0, "first");
        assertEquals("first", job.response().body());
      }
      server.awaitPendingInputRead();
      switch (reason) {
        case SHUTDOWN -> server.requestShutdown();
        case IDLE_LIMIT -> addIdleConnections();
        case CONNECTION_LIMIT -> {
          for (int i = 0; i < CLIENT_CONNECTIONS; i++) {
            others.add(server.connect());
          }
        }
      }
    }

    private void addIdleConnections() throws IOException {
      for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        Socket other = server.connect();
        others.add(other);
        HttpIo.write(other, DispatcherHarness.READINESS_HEAD + "\r\n");
        assertEquals(200, HttpIo.read(other).status());
      }
    }

    @Override
    public void close() throws IOException {
      for (Socket other : others) {
        other.close();
      }
    }
  }

  /** The request arrived before the output is shut, and counts as accepted. */
  @ParameterizedTest
  @EnumSource(CloseReason.class)
  void aRequestThatArrivesJustBeforeTheCloseIsServed(CloseReason reason) throws Exception {
    try (StepControlledServer server = start();
        ClosedClient client = new ClosedClient(server)) {
      SubmittedJob[] racing = new SubmittedJob[1];
      server.onStep(
          Step.IDLE_CONNECTION_CLOSING,
          () -> racing[0] = server.submit(client.connection, "/copy", 20_000, ""));

      client.haveClosed(reason);

      server.awaitStep(Step.IDLE_CONNECTION_CLOSING);
      server.serveNextJob(0, "racing");
      assertEquals("racing", racing[0].response().body());
    }
  }

  /** The client has to send the request again: it is read and discarded. */
  @ParameterizedTest
  @EnumSource(CloseReason.class)
  void aRequestThatArrivesAfterTheCloseIsNotForwarded(CloseReason reason) throws Exception {
    try (StepControlledServer server = start();
        ClosedClient client = new ClosedClient(server)) {
      server.onStep(
          Step.OUTPUT_SHUT, () -> server.submit(client.connection, "/copy/racing", 20_000, ""));

      client.haveClosed(reason);

      server.awaitStep(Step.OUTPUT_SHUT);
      assertNull(HttpIo.read(client.connection), "an end of input, and no reset");
      // The client stays connected: the job of a disconnected one would not be forwarded either.
      server.awaitPendingInputRead();
      assertFalse(server.worker(0).hasPendingRequest());
      client.connection.close();
    }
  }

  /** A reset would discard the response that was just written. */
  @Test
  void theLastResponseIsReceivedWhateverArrivesBehindIt() throws Exception {
    try (StepControlledServer server = start()) {
      SubmittedJob job = server.submit("/copy", "");
      server.onStep(
          Step.OUTPUT_SHUT, () -> HttpIo.write(job.connection(), "POST /copy HTTP/1.1\r\nX-Call-"));

      server.requestShutdown();
      server.worker(0).nextRequest().respond(202, "");
      server.reportDone(job.id(), "w0", "last");

      assertEquals("last", job.response().body());
      server.awaitStep(Step.OUTPUT_SHUT);
      assertNull(HttpIo.read(job.connection()));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aPartialRequestAtAShutdownIsCompleted(boolean isStatusUpdate) throws Exception {
    try (StepControlledServer server = start();
        Socket partial = server.connect();
        Socket idle = server.connect()) {
      SubmittedJob job = server.submit("/copy", "");
      server.worker(0).nextRequest().respond(202, "");
      String request =
          isStatusUpdate
              ? doneUpdate(job.id())
              : DispatcherHarness.jobRequest("/copy/partial", "00000000000000dd", 9000, "", "");
      server.awaitPendingInputRead();

      // The connection that was opened first is the first to be closed.
      server.onStep(
          Step.IDLE_CONNECTION_CLOSING, () -> HttpIo.write(partial, request.substring(0, 30)));
      server.requestShutdown();
      assertNull(HttpIo.read(idle));
      HttpIo.write(partial, request.substring(30));

      if (isStatusUpdate) {
        assertEquals(200, HttpIo.read(partial).status());
      } else {
        assertEquals("POST /copy/partial HTTP/1.1", server.worker(0).nextRequest().startLine());
        server.reportDone("00000000000000dd", "w0", "partial");
        assertEquals("partial", HttpIo.read(partial).body());
        server.reportDone(job.id(), "w0", "r");
      }
      assertEquals("r", job.response().body());
    }
  }

  private static String doneUpdate(String id) {
    String body = DispatcherHarness.statusUpdate(id, "w0", "done", DispatcherHarness.result("r"));
    return HttpIo.withBody(DispatcherHarness.STATUS_UPDATE_HEAD, body);
  }

  /** The end of the process resets connections that are not closed. */
  @Test
  void theProcessEndsAfterItsClientsHaveDisconnected() throws Exception {
    try (StepControlledServer server = start()) {
      SubmittedJob job = server.submit("/copy", "");
      server.serveNextJob(0, "r");
      assertEquals("r", job.response().body());
      AtomicBoolean disconnected = new AtomicBoolean();
      AtomicBoolean endedBefore = new AtomicBoolean();
      server.onStep(Step.LOOP_STOPPED, () -> endedBefore.set(!disconnected.get()));

      server.requestShutdown();
      server.requestShutdown();
      assertNull(HttpIo.read(job.connection()));
      disconnected.set(true);
      job.connection().close();

      server.awaitStep(Step.LOOP_STOPPED);
      assertFalse(endedBefore.get(), "it ended while a client was connected");
      assertTrue(server.awaitLoopEnd());
    }
  }

  /** The platform counts the time to the end from the first request. */
  @Test
  void aSecondShutdownRequestChangesNothing() throws Exception {
    try (StepControlledServer server = start()) {
      server.requestShutdown();
      server.requestShutdown();

      server.awaitStep(Step.LOOP_STOPPED);
      assertEquals(1, server.stepCount(Step.SHUTDOWN_REQUESTED));
    }
  }
}
