package loomreel.faktory;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import loomreel.program.harness.HttpIo;
import loomreel.program.harness.HttpMessage;
import loomreel.standin.DaemonProcess;
import loomreel.standin.FaktoryClient;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A worker of the settings file that is ejected is probed until it responds. */
@Timeout(120)
class EjectedWorkerTest {
  /** The longest time between two probes, as docs/faktory.md states it, with 1 s for their work. */
  private static final Duration MAX_PROBE_INTERVAL = Duration.ofSeconds(6);

  private static final int RESET_ON_CLOSE = 0;

  /** How a probe ends without a response. */
  private enum ProbeEnd {
    /** The worker's process dies while it has the probe. */
    CONNECTION_RESET {
      @Override
      void end(Socket connection) throws IOException {
        connection.setSoLinger(true, RESET_ON_CLOSE);
        connection.close();
      }
    },
    /** The worker closes the connection in the ordinary way. */
    CONNECTION_CLOSED {
      @Override
      void end(Socket connection) throws IOException {
        connection.close();
      }
    },
    /** Another program listens at the address. */
    MALFORMED_RESPONSE {
      @Override
      void end(Socket connection) throws IOException {
        connection.getOutputStream().write("not HTTP\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        connection.close();
      }
    };

    abstract void end(Socket connection) throws IOException;
  }

  private static DaemonProcess startDaemon(ServerSocket worker) throws IOException {
    return new DaemonProcess(
        new DaemonSettings()
            .withClass("copy", "free", "50ms", "1s")
            .withQueue("copies", "copy")
            .withHttpWorker("w1", "127.0.0.1:" + worker.getLocalPort())
            .withFaktoryText("spool", "none")
            .withFaktoryText("backoff", "100ms")
            .write());
  }

  private static ServerSocket listen(int port) throws IOException {
    ServerSocket listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    listener.setSoTimeout((int) MAX_PROBE_INTERVAL.toMillis());
    return listener;
  }

  /** Pushes jobs that cannot be delivered until the worker, which does not listen, is ejected. */
  private static void awaitEjection(DaemonProcess daemon) throws IOException {
    try (FaktoryClient client = new FaktoryClient(daemon.faktory())) {
      for (int i = 0; i < 5; i++) {
        client.callExpectingOk(
            "PUSH {\"jid\":\"copy-000"
                + i
                + "\",\"jobtype\":\"C\",\"queue\":\"copies\",\"args\":[]}");
      }
    }
    daemon.awaitLog("worker ejected, it cannot be reached worker=w1");
  }

  /** Guards against an ejected worker that is never probed again after a probe without response. */
  @ParameterizedTest
  @EnumSource(ProbeEnd.class)
  void anEjectedWorkerIsProbedAgainAfterAProbeWithoutResponse(ProbeEnd probeEnd) throws Exception {
    ServerSocket worker = listen(0);
    try (DaemonProcess daemon = startDaemon(worker)) {
      worker.close();
      awaitEjection(daemon);
      worker = listen(worker.getLocalPort());
      for (int probe = 1; probe <= 2; probe++) {
        Socket connection = worker.accept();
        HttpMessage request = HttpIo.read(connection);
        assertTrue(request.startLine().startsWith("GET /stats "), request.startLine());
        probeEnd.end(connection);
      }
      try (Socket connection = worker.accept()) {
        HttpIo.read(connection).respond(200, "{}");
        daemon.awaitLog("worker recovered worker=w1");
      }
    } finally {
      worker.close();
    }
  }
}
