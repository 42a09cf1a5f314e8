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
   * The descriptor limit of the dispatcher under test. From this limit the dispatcher derives the
   * limits {@link #MAX_CLIENT_CONNECTIONS} and {@link #MAX_IDLE_CONNECTIONS}.
   */
  private static final int DESCRIPTOR_LIMIT = 64;

  /** The maximum number of client connections, including those that are idle. */
  private static final int MAX_CLIENT_CONNECTIONS = 24;

  /** The maximum number of idle client connections. A connection is idle between two requests. */
  private static final int MAX_IDLE_CONNECTIONS = 8;

  /** The reason for which the dispatcher closes a client connection that has no request. */
  private enum CloseReason {
    SHUTDOWN,
    /** The number of idle client connections exceeds its limit. */
    IDLE_LIMIT,
    /**
     * The number of client connections reaches its limit, and the client has not sent a request on
     * this connection.
     */
    CONNECTION_LIMIT
  }

  private static StepControlledServer start() throws Exception {
    return new StepControlledServer(1, new TestConfiguration().descriptorLimit(DESCRIPTOR_LIMIT));
  }

  /**
   * A client connection that the dispatcher closes while the connection has no request. If a limit
   * on connections is the reason for the close, this class also holds the further connections that
   * make the dispatcher reach the limit.
   */
  private static final class CloseCandidate implements AutoCloseable {
    private final StepControlledServer server;
    private final List<Socket> others = new ArrayList<>();
    private final Socket connection;

    CloseCandidate(StepControlledServer server) throws IOException {
      this.server = server;
      connection = server.connect();
    }

    /**
     * Makes the dispatcher close the connection for a reason. A first job is served on the
     * connection before, unless the reason is {@link CloseReason#CONNECTION_LIMIT}.
     */
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

    /** Opens connections that become idle after a readiness check. */
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

  /**
   * The client sends a job when the dispatcher starts to close the connection. The dispatcher reads
   * the input once more before it shuts down the output side of the connection. A request that it
   * reads at this time is accepted and served.
   */
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
   * The client sends a job when the dispatcher shuts down the output side of the connection. From
   * this moment on, the dispatcher reads and discards the input. The client has to send the job
   * again on another connection.
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
      // The client stays connected until the check is done. The job of a disconnected client is
      // never forwarded, so the check would prove nothing after a disconnect.
      server.awaitPendingInputRead();
      assertFalse(server.worker(0).hasPendingRequest());
      client.connection.close();
    }
  }

  /**
   * The client sends further input when the dispatcher shuts down the output side after the last
   * response. This input must not make the dispatcher reset the connection, because a reset would
   * discard a response that the client has not read yet.
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

  /**
   * During a shutdown the dispatcher closes client connections that have no request. In this test,
   * two connections have had no request so far. When the dispatcher starts to close one of them,
   * the first 30 bytes of a request arrive on this connection. The dispatcher has to wait for the
   * rest and serve the request.
   *
   * @param isStatusUpdate whether the request is the status update that completes another job; if
   *     false, it is a job
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aPartialRequestAtAShutdownIsReadAndServed(boolean isStatusUpdate) throws Exception {
    try (StepControlledServer server = start();
        Socket partialConnection = server.connect();
        Socket unusedConnection = server.connect()) {
      SubmittedJob job = server.submit("/copy", "");
      server.worker(0).nextRequest().respond(202, "");
      String request =
          isStatusUpdate
              ? doneUpdate(job.id())
              : DispatcherHarness.jobRequest("/copy/partial", "00000000000000dd", 9000, "", "");
      server.awaitPendingInputRead();

      // The dispatcher closes connections without a request in the order in which they were opened.
      // The first connection that it starts to close is therefore partialConnection, and the action
      // runs at this time.
      server.onStep(
          Step.IDLE_CONNECTION_CLOSING,
          () -> HttpIo.write(partialConnection, request.substring(0, 30)));
      server.requestShutdown();
      assertNull(HttpIo.read(unusedConnection));
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

  /** Returns a status update that completes a job with the result "r". */
  private static String doneUpdate(String id) {
    String body = DispatcherHarness.statusUpdate(id, "w0", "done", DispatcherHarness.result("r"));
    return HttpIo.withBody(DispatcherHarness.STATUS_UPDATE_HEAD, body);
  }

  /**
   * The exit of a process resets the connections that are still open. The dispatcher therefore
   * waits until its clients have disconnected, and then stops its event loop.
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

  /**
   * The platform measures the time until the exit of the process from the first shutdown request
   * on, so a second request must not start the shutdown again.
   */
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
