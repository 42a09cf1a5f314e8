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

/** Tests input that arrives while the dispatcher closes a client connection. */
@Timeout(120)
class ConnectionCloseRaceTest {
  /**
   * The descriptor limit of the dispatcher under test. It permits {@link #MAX_CLIENT_CONNECTIONS}
   * client connections, of which {@link #MAX_IDLE_CONNECTIONS} may be idle.
   */
  private static final int DESCRIPTOR_LIMIT = 64;

  private static final int MAX_CLIENT_CONNECTIONS = 24;
  private static final int MAX_IDLE_CONNECTIONS = 8;

  /** The reason for which the dispatcher closes a connection between two requests. */
  private enum CloseReason {
    SHUTDOWN,
    /** The number of idle connections exceeds the limit. */
    IDLE_LIMIT,
    /** The client has sent no request, and the number of connections approaches its limit. */
    CONNECTION_LIMIT
  }

  private static StepControlledServer start() throws Exception {
    return new StepControlledServer(1, new TestConfiguration().descriptorLimit(DESCRIPTOR_LIMIT));
  }

  /**
   * A client whose connection the dispatcher closes between two requests, and the additional
   * connections that make the dispatcher close it.
   */
  private static final class CloseCandidate implements AutoCloseable {
    private final StepControlledServer server;
    private final List<Socket> others = new ArrayList<>();
    private final Socket connection;

    CloseCandidate(StepControlledServer server) throws IOException {
      this.server = server;
      connection = server.connect();
    }

    /** Prepares the connection for the close reason and makes the dispatcher close it. */
    void triggerClose(CloseReason reason) throws Exception {
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
          for (int i = 0; i < MAX_CLIENT_CONNECTIONS; i++) {
            others.add(server.connect());
          }
        }
      }
    }

    private void addIdleConnections() throws IOException {
      for (int i = 0; i < MAX_IDLE_CONNECTIONS; i++) {
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

  /** A request that arrives before the output side is shut down counts as accepted. */
  @ParameterizedTest
  @EnumSource(CloseReason.class)
  void aRequestThatArrivesJustBeforeTheCloseIsServed(CloseReason reason) throws Exception {
    try (StepControlledServer server = start();
        CloseCandidate client = new CloseCandidate(server)) {
      SubmittedJob[] racingJob = new SubmittedJob[1];
      server.onStep(
          Step.IDLE_CONNECTION_CLOSING,
          () -> racingJob[0] = server.submit(client.connection, "/copy", 20_000, ""));

      client.triggerClose(reason);

      server.awaitStep(Step.IDLE_CONNECTION_CLOSING);
      server.serveNextJob(0, "racing");
      assertEquals("racing", racingJob[0].response().body());
    }
  }

  /**
   * The dispatcher reads and discards a request that arrives after the output side is shut down.
   * The client has to send the request again.
   */
  @ParameterizedTest
  @EnumSource(CloseReason.class)
  void aRequestThatArrivesAfterTheOutputIsShutDownIsNotForwarded(CloseReason reason)
      throws Exception {
    try (StepControlledServer server = start();
        CloseCandidate client = new CloseCandidate(server)) {
      server.onStep(
          Step.OUTPUT_SHUT, () -> server.submit(client.connection, "/copy/racing", 20_000, ""));

      client.triggerClose(reason);

      server.awaitStep(Step.OUTPUT_SHUT);
      assertNull(HttpIo.read(client.connection), "expected an end of input without a reset");
      // The client is still connected. A job of a disconnected client would not be forwarded in any
      // case, so the check would prove nothing.
      server.awaitPendingInputRead();
      assertFalse(server.worker(0).hasPendingRequest());
      client.connection.close();
    }
  }

  /**
   * Input that arrives after the last response must not make the dispatcher reset the connection. A
   * reset would discard the response before the client has read it.
   */
  @Test
  void theLastResponseIsReceivedIfFurtherInputArrivesAfterIt() throws Exception {
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

  /** The partial request is a job, or the status update that completes another job. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aPartialRequestAtAShutdownIsReadAndServed(boolean isStatusUpdate) throws Exception {
    try (StepControlledServer server = start();
        Socket partialConnection = server.connect();
        Socket idleConnection = server.connect()) {
      SubmittedJob job = server.submit("/copy", "");
      server.worker(0).nextRequest().respond(202, "");
      String request =
          isStatusUpdate
              ? doneUpdate(job.id())
              : DispatcherHarness.jobRequest("/copy/partial", "00000000000000dd", 9000, "", "");
      server.awaitPendingInputRead();

      // The dispatcher closes the connection that was opened first before the others, so the action
      // runs when the dispatcher is about to close partialConnection.
      server.onStep(
          Step.IDLE_CONNECTION_CLOSING,
          () -> HttpIo.write(partialConnection, request.substring(0, 30)));
      server.requestShutdown();
      assertNull(HttpIo.read(idleConnection));
      HttpIo.write(partialConnection, request.substring(30));

      if (isStatusUpdate) {
        assertEquals(200, HttpIo.read(partialConnection).status());
      } else {
        assertEquals("POST /copy/partial HTTP/1.1", server.worker(0).nextRequest().startLine());
        server.reportDone("00000000000000dd", "w0", "partial");
        assertEquals("partial", HttpIo.read(partialConnection).body());
        server.reportDone(job.id(), "w0", "r");
      }
      assertEquals("r", job.response().body());
    }
  }

  private static String doneUpdate(String id) {
    String body = DispatcherHarness.statusUpdate(id, "w0", "done", DispatcherHarness.result("r"));
    return HttpIo.withBody(DispatcherHarness.STATUS_UPDATE_HEAD, body);
  }

  /**
   * The exit of a process resets connections that are still open, so the dispatcher waits for its
   * clients to disconnect.
   */
  @Test
  void theLoopStopsAfterAllClientsHaveDisconnected() throws Exception {
    try (StepControlledServer server = start()) {
      SubmittedJob job = server.submit("/copy", "");
      server.serveNextJob(0, "r");
      assertEquals("r", job.response().body());
      AtomicBoolean disconnected = new AtomicBoolean();
      AtomicBoolean stoppedBeforeDisconnect = new AtomicBoolean();
      server.onStep(Step.LOOP_STOPPED, () -> stoppedBeforeDisconnect.set(!disconnected.get()));

      server.requestShutdown();
      server.requestShutdown();
      assertNull(HttpIo.read(job.connection()));
      disconnected.set(true);
      job.connection().close();

      server.awaitStep(Step.LOOP_STOPPED);
      assertFalse(stoppedBeforeDisconnect.get(), "the loop stopped while a client was connected");
      assertTrue(server.awaitLoopEnd());
    }
  }

  /** The platform measures the time until the exit from the first shutdown request. */
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
