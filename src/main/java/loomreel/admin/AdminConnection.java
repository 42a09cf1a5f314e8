package loomreel.admin;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import loomreel.http.BadMessageException;
import loomreel.http.HttpConnection;
import loomreel.http.HttpHeaders;
import loomreel.http.HttpMessage;
import loomreel.http.HttpStatus;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.process.AdminOperations;

/**
 * A connection on which an operator sends one request. The response is sent as soon as the request
 * has been received, and the connection is closed after the response.
 *
 * <p>Owned by {@link AdminServer}, which is notified when the connection closes.
 */
final class AdminConnection extends HttpConnection {
  /**
   * Maximum time, in microseconds, from the start of the connection until the request is received.
   * It is also the maximum time from the response until the client closes the connection.
   */
  private static final long TIMEOUT_MICROS = 2_000_000;

  private static final String NO_BODY = "";

  private final AdminServer server;
  private final AdminOperations operations;
  private final RateLimitedLogger log;
  private boolean responded;
  private EventLoop.Timer timeout;

  /**
   * Takes ownership of an accepted channel.
   *
   * @throws IOException if the channel cannot be registered with the event loop
   */
  AdminConnection(
      EventLoop loop,
      SocketChannel channel,
      AdminServer server,
      AdminOperations operations,
      RateLimitedLogger log)
      throws IOException {
    super(loop, channel, true, true);
    this.server = server;
    this.operations = operations;
    this.log = log;
    timeout =
        loop.schedule(
            loop.now() + TIMEOUT_MICROS, () -> respond(HttpStatus.REQUEST_TIMEOUT, NO_BODY));
  }

  @Override
  protected boolean acceptsMessages() {
    return !responded;
  }

  @Override
  protected void received(HttpMessage message) {
    String body = new String(message.body().toArray(), StandardCharsets.UTF_8).strip();
    message.body().release();
    Optional<AdminRoute> route = AdminRoute.of(message.target());
    if (route.isEmpty()) {
      respond(HttpStatus.NOT_FOUND, NO_BODY);
    } else if (!message.method().equals(route.get().method())) {
      respond(HttpStatus.METHOD_NOT_ALLOWED, NO_BODY, "Allow: " + route.get().method());
    } else {
      handle(route.get(), body);
    }
  }

  private void handle(AdminRoute route, String body) {
    try {
      switch (route) {
        case READINESS -> respondReadiness();
        case STATS -> respondStats();
        case DISABLE_WORKER -> setWorkerDisabled(route, body, true);
        case ENABLE_WORKER -> setWorkerDisabled(route, body, false);
        case START_DRAIN -> setDraining(route, true);
        case STOP_DRAIN -> setDraining(route, false);
      }
    } catch (IOException e) {
      log.warn(
          "admin request not applied, it cannot be stored path="
              + route.path()
              + " reason="
              + e.getMessage());
      respond(HttpStatus.INTERNAL_SERVER_ERROR, NO_BODY);
    }
  }

  private void respondReadiness() {
    boolean isReady = operations.isReady();
    respond(isReady ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE, NO_BODY);
  }

  private void respondStats() {
    String metrics = MetricsJson.write(operations.metrics());
    respond(HttpStatus.OK, metrics, "Content-Type: application/json");
  }

  private void setWorkerDisabled(AdminRoute route, String workerId, boolean disabled)
      throws IOException {
    boolean isKnown = operations.setWorkerDisabled(workerId, disabled);
    log.info("admin request path=" + route.path() + " worker=" + workerId + " known=" + isKnown);
    respond(isKnown ? HttpStatus.OK : HttpStatus.NOT_FOUND, NO_BODY);
  }

  private void setDraining(AdminRoute route, boolean draining) throws IOException {
    log.info("admin request path=" + route.path());
    operations.setClientDrain(draining);
    respond(HttpStatus.OK, NO_BODY);
  }

  /**
   * Sends the response. The client then has {@link #TIMEOUT_MICROS} to close the connection. If a
   * response was sent before, this method sends nothing and closes the connection at once.
   */
  private void respond(int status, String body, String... headers) {
    if (responded) {
      close();
      return;
    }
    responded = true;
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String[] allHeaders = Arrays.copyOf(headers, headers.length + 1);
    allHeaders[headers.length] = "Connection: close";
    out.append(HttpHeaders.response(status, bytes.length, allHeaders));
    out.append(bytes);
    timeout.cancel();
    timeout = loop.schedule(loop.now() + TIMEOUT_MICROS, this::close);
    flush();
  }

  @Override
  protected void malformed(BadMessageException error) {
    respond(error.status(), NO_BODY);
  }

  /**
   * Shuts down the output after the response, so that the client closes the connection. If the
   * server closed the connection while it has unread input, the connection would be reset, and the
   * client could lose the response.
   */
  @Override
  protected void flushed() {
    if (responded) {
      endOutput();
    }
  }

  @Override
  protected void broken() {}

  @Override
  public void close() {
    if (!isClosed()) {
      super.close();
      timeout.cancel();
      server.remove(this);
    }
  }
}
