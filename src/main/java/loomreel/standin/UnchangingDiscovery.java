package loomreel.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A discovery service whose endpoint list never changes: it confirms the list that a dispatcher
 * knows, and leaves calls that wait for a change without a response.
 */
public final class UnchangingDiscovery implements AutoCloseable {
  private static final int BACKLOG = 16;
  private static final String NO_WAIT = "hold_ms=0";
  private static final int OK = 200;

  private final byte[] unchanged;
  private final HttpServer server;
  private final ExecutorService calls;

  /**
   * Starts the service on a free port.
   *
   * @param version the version of the list
   * @throws IOException if there is no free port
   */
  public UnchangingDiscovery(long version) throws IOException {
    unchanged =
        "{\"seq\":%d,\"whole\":false,\"hosts\":[]}"
            .formatted(version)
            .getBytes(StandardCharsets.UTF_8);
    calls = Executors.newSingleThreadExecutor(BackgroundThreads::daemon);
    server = HttpServer.create(Loopback.address(0), BACKLOG);
    server.setExecutor(calls);
    server.createContext("/", this::respond);
    server.start();
  }

  private void respond(HttpExchange exchange) throws IOException {
    if (exchange.getRequestURI().getQuery().endsWith(NO_WAIT)) {
      exchange.sendResponseHeaders(OK, unchanged.length);
      exchange.getResponseBody().write(unchanged);
      exchange.close();
    }
  }

  /** The address that the service listens on. */
  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  @Override
  public void close() {
    server.stop(0);
    calls.shutdownNow();
  }
}
