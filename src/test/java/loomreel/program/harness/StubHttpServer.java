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
 * A stub worker or stub discovery service. It puts the requests that it receives into a queue. The
 * test takes requests from this queue and responds to them. {@link #close} closes the listener, but
 * established connections stay open.
 */
public final class StubHttpServer implements AutoCloseable {
  private static final int BACKLOG = 50;

  /**
   * Matches a call to discovery that is to be answered without delay ({@code hold_ms=0}). After its
   * start, a dispatcher asks with this call whether its initial endpoint list is still current. The
   * group matches the version of this list.
   */
  private static final Pattern CONFIRMATION_CALL = Pattern.compile("[?]from=(\\d+)&hold_ms=0 ");

  private final ServerSocket listener;
  private final BlockingQueue<HttpMessage> requests = new LinkedBlockingQueue<>();
  private final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
  private final AtomicInteger connectionCount = new AtomicInteger();
  private volatile boolean confirmsInitialLists;

  /** Starts a server on a free port. */
  public StubHttpServer() throws IOException {
    this(0);
  }

  /**
   * Starts a server on the loopback address.
   *
   * @param port the port; 0 for a free port. The port of a closed server can be used again.
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
      if (confirmsInitialLists && confirmationCall.find()) {
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
   * Sets whether this server, as stub discovery, confirms initial endpoint lists. The initial
   * endpoint list is part of a dispatcher's configuration. After its start, the dispatcher asks
   * discovery whether this list is still current. If {@code enabled} is true, the server responds
   * to this call with a list without changes, which confirms the initial list. If {@code enabled}
   * is false, the server queues this call for the test. All other requests are always queued.
   */
  public void confirmInitialLists(boolean enabled) {
    confirmsInitialLists = enabled;
  }

  /** Returns the address on which this server listens. */
  public InetSocketAddress socketAddress() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Returns the address as host:port, the form that configurations and endpoint lists have. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /**
   * Waits until the queue contains a request, and removes the first request from the queue.
   *
   * @throws AssertionError if no request arrives within {@link HttpIo#TIMEOUT_MILLIS}
   */
  public HttpMessage nextRequest() throws InterruptedException {
    HttpMessage request = requests.poll(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (request == null) {
      throw new AssertionError("no request to " + address());
    }
    return request;
  }

  /** Returns whether the queue contains a request. */
  public boolean hasPendingRequest() {
    return !requests.isEmpty();
  }

  /** Returns whether the queue contains a job, which a worker receives as a POST request. */
  public boolean hasPendingJob() {
    return requests.stream().anyMatch(request -> request.startLine().startsWith("POST"));
  }

  /**
   * Waits until the dispatcher has closed a connection to this server. The server keeps a queue of
   * closed connections. This method removes {@code connection} from the queue, and discards all
   * connections that were closed before it. A test must therefore await connections in the order in
   * which they are closed, and each connection only once. A connection that ends with an I/O error
   * is not added to the queue.
   *
   * @throws AssertionError if {@code connection} is not in the queue and no further connection is
   *     closed for {@link HttpIo#TIMEOUT_MILLIS}
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
   * Closes the listener of this server and opens a {@link StalledListener} at the same address. No
   * further connection is established until the test calls {@link StalledListener#nextConnection}.
   *
   * @return the new listener, which the caller closes
   */
  public StalledListener stall() throws IOException {
    InetSocketAddress address = socketAddress();
    listener.close();
    return new StalledListener(address);
  }

  /**
   * Returns how many connections this server has accepted since it was started or since the last
   * {@link #resetConnectionCount}.
   */
  public int connectionCount() {
    return connectionCount.get();
  }

  /** Sets the value that {@link #connectionCount} returns to 0. */
  public void resetConnectionCount() {
    connectionCount.set(0);
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
