package loomreel.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.decision.AttemptOutcome;
import loomreel.io.BufferPool;
import loomreel.io.ByteQueue;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.standin.BackgroundThreads;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which connections a pool reuses, on real sockets. */
@Timeout(60)
class ConnectionPoolTest {
  private static final InetAddress LOOPBACK = loopback();

  private final AtomicInteger acceptedConnections = new AtomicInteger();

  /** The status code of each response, in order of arrival; -1 for an exchange that failed. */
  private final List<Integer> statuses = new ArrayList<>();

  private static InetAddress loopback() {
    try {
      return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
    } catch (UnknownHostException e) {
      throw new AssertionError("four bytes are an IPv4 address", e);
    }
  }

  /** Starts a server that sends the given responses in order, one for each request. */
  private ServerSocket startServer(String... responses) throws Exception {
    ServerSocket listener = new ServerSocket(0, 50, LOOPBACK);
    AtomicInteger nextResponseIndex = new AtomicInteger();
    BackgroundThreads.start(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            acceptedConnections.incrementAndGet();
            BackgroundThreads.start(
                () -> {
                  byte[] request = new byte[1000];
                  while (socket.getInputStream().read(request) > 0) {
                    socket
                        .getOutputStream()
                        .write(
                            responses[nextResponseIndex.getAndIncrement()].getBytes(
                                StandardCharsets.ISO_8859_1));
                  }
                });
          }
        });
    return listener;
  }

  /** Sends a request, and then the given number of further requests, one after the other. */
  private void call(EventLoop loop, ConnectionPool pool, int furtherCalls) {
    ByteQueue request = new ByteQueue(loop.pool());
    request.append("GET / HTTP/1.1\r\n\r\n");
    pool.call(
        request,
        new HttpExchange() {
          @Override
          public long deadline() {
            return loop.now() + 30_000_000;
          }

          @Override
          public void responseReceived(HttpMessage message) {
            statuses.add(message.status());
            sendNextOrStop(furtherCalls);
          }

          @Override
          public void failed(AttemptOutcome outcome) {
            statuses.add(-1);
            sendNextOrStop(furtherCalls);
          }

          private void sendNextOrStop(int remainingCalls) {
            if (remainingCalls == 0) {
              loop.stop();
            } else {
              call(loop, pool, remainingCalls - 1);
            }
          }
        });
  }

  private void runCalls(int calls, String... responses) throws Exception {
    try (ServerSocket listener = startServer(responses);
        EventLoop loop = new EventLoop(new BufferPool(100))) {
      ConnectionPool pool =
          new ConnectionPool(
              loop,
              "p",
              new InetSocketAddress(LOOPBACK, listener.getLocalPort()),
              new DescriptorQuota(10),
              5_000_000,
              new IdleTimeoutEstimator(60_000_000),
              new RateLimitedLogger("loomreel.http.pool"));
      loop.execute(() -> call(loop, pool, calls - 1));
      loop.run();
    }
  }

  /**
   * A response other than 2xx may be a rejection. A rejection may arrive twice, some milliseconds
   * apart. If the connection is reused before the duplicate arrives, the duplicate is taken for the
   * response to the next request.
   *
   * <p>The columns are the status of both responses and the expected number of connections.
   */
  @ParameterizedTest
  @CsvSource({"202,1", "200,1", "503,2", "504,2", "500,2"})
  void aConnectionIsReusedAtOnceOnlyAfterASuccessfulResponse(int status, int expectedConnections)
      throws Exception {
    String response = "HTTP/1.1 " + status + " x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
    runCalls(2, response, response);
    assertEquals(List.of(status, status), statuses);
    assertEquals(expectedConnections, acceptedConnections.get());
  }

  @Test
  void anInterimResponseDoesNotEndAnExchange() throws Exception {
    runCalls(1, "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 102 y\r\n\r\nHTTP/1.1 204 z\r\n\r\n");
    assertEquals(List.of(204), statuses);
  }
}
