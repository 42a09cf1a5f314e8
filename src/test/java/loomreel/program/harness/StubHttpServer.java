package loomreel.program.harness;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loomreel.program.harness.EndpointList.Extent;
import loomreel.standin.BackgroundThreads;

/**
 * A stub worker or stub discovery service. It queues the requests that it receives, and the test
 * responds to them. {@link #close} closes the listener, but the connections stay open.
 */
public final class StubHttpServer implements AutoCloseable {
  private static final int BACKLOG = 50;

  /**
   * Matches the call with which a dispatcher, after its start, asks discovery whether the endpoint
   * list that it has is still current. The group is the version of this list.
   */
  private static final Pattern CONFIRMATION_CALL = Pattern.compile("[?]from=(\\d+)&hold_ms=0 ");

  private final ServerSocket listener;
  private final BlockingQueue<HttpMessage> requests = new LinkedBlockingQueue<>();
  private final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
  private final AtomicInteger connectionCount = new AtomicInteger();
  private volatile boolean confirmsKnownLists;

  /** Starts a server on a free port. */
  public StubHttpServer() throws IOException {
    this(0);
  }

  /**
   * Starts a server on the loopback address.
   *
   * @param port the port, which a closed server may have used before; 0 for a free port
   */
  public StubHttpServer(int port) throws IOException {
    listener = StalledListener.bind(new InetSocketAddress(HttpIo.loopback(), port), BACKLOG);
    BackgroundThreads.start(this::acceptConnections);
  }

  private void acceptConnections() throws IOException {
    while (true) {
      Socket connection = listener.accept();
      connectionCount.incrementAndGet();
      BackgroundThreads.start(() -> readRequests(connection));
    }
  }

  private void readRequests(Socket connection) throws IOException {
    HttpMessage request = HttpIo.read(connection);
    while (request != null) {
      Matcher confirmationCall = CONFIRMATION_CALL.matcher(request.startLine());
      if (confirmsKnownLists && confirmationCall.find()) {
        new EndpointList(Integer.parseInt(confirmationCall.group(1)), Extent.CHANGES)
            .respondTo(request);
      } else {
        requests.add(request);
      }
      request = HttpIo.read(connection);
    }
    closedConnections.add(connection);
  }

  /**
   * Sets whether this server, as stub discovery, confirms the endpoint list of a dispatcher that
   * has just started. If enabled, the server itself responds to the call that asks whether the list
   * is still current: it sends a list without changes. Otherwise this call is queued. All other
   * requests are always queued.
   */
  public void confirmKnownLists(boolean enabled) {
    confirmsKnownLists = enabled;
  }

  /** Returns the address on which this server listens. */
  public InetSocketAddress socketAddress() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Returns the address in the form of a configuration or an endpoint list: host:port. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /**
   * Waits for the next request and removes it from the queue.
   *
   * @throws AssertionError after {@link HttpIo#TIMEOUT_MILLIS}
   */
  public HttpMessage nextRequest() throws InterruptedException {
    HttpMessage request = requests.poll(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (request == null) {
      throw new AssertionError("no request to " + address());
    }
    return request;
  }

  /** Returns whether a request is queued. */
  public boolean hasPendingRequest() {
    return !requests.isEmpty();
  }

  /** Returns whether a POST request, which is how a worker receives a job, is queued. */
  public boolean hasPendingJob() {
    return requests.stream().anyMatch(request -> request.startLine().startsWith("POST"));
  }

  /**
   * Waits until the dispatcher has closed a connection to this server. Each closed connection can
   * be awaited only once, and not after a connection that was closed later.
   *
   * @throws AssertionError if no connection is closed for {@link HttpIo#TIMEOUT_MILLIS}
   */
  public void awaitClosed(Socket connection) throws InterruptedException {
    Socket closed = null;
    while (closed != connection) {
      closed = closedConnections.poll(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      if (closed == null) {
        throw new AssertionError("the connection was not closed");
      }
    }
  }

  /**
   * Closes the listener of this server and replaces it by one at the same address that establishes
   * no connection until the test allows it.
   */
  public StalledListener stall() throws IOException {
    InetSocketAddress address = socketAddress();
    listener.close();
    return new StalledListener(address);
  }

  /** Returns the number of connections accepted since the start or the last reset. */
  public int connectionCount() {
    return connectionCount.get();
  }

  /** Sets the number of accepted connections to 0. */
  public void resetConnectionCount() {
    connectionCount.set(0);
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
