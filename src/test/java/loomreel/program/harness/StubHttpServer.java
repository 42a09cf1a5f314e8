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
 * A stub worker or discovery service: it queues the requests that it receives, and the test
 * responds to them. Connections stay open when it is closed.
 */
public final class StubHttpServer implements AutoCloseable {
  private static final int BACKLOG = 50;

  /** A dispatcher that starts asks whether the list that it knows has changed. */
  private static final Pattern CALL_FOR_CONFIRMATION = Pattern.compile("[?]from=(\\d+)&hold_ms=0 ");

  private final ServerSocket listener;
  private final BlockingQueue<HttpMessage> requests = new LinkedBlockingQueue<>();
  private final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
  private final AtomicInteger connectionCount = new AtomicInteger();
  private volatile boolean confirmsKnownLists;

  /** Listens on a free port. */
  public StubHttpServer() throws IOException {
    this(0);
  }

  /** Listens on this port, which a closed server may have used before; 0 for a free one. */
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
      Matcher listCall = CALL_FOR_CONFIRMATION.matcher(request.startLine());
      if (confirmsKnownLists && listCall.find()) {
        new EndpointList(Integer.parseInt(listCall.group(1)), Extent.CHANGES).respondTo(request);
      } else {
        requests.add(request);
      }
      request = HttpIo.read(connection);
    }
    closedConnections.add(connection);
  }

  /**
   * Sets whether a call of a dispatcher that starts is answered, as by discovery whose list has not
   * changed, rather than queued. Other calls are always queued.
   */
  public void confirmKnownLists(boolean newValue) {
    confirmsKnownLists = newValue;
  }

  /** The address of the listener. */
  public InetSocketAddress socketAddress() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** The address as a configuration or an endpoint list names it. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Waits for the next request and takes it from the queue. */
  public HttpMessage nextRequest() throws InterruptedException {
    HttpMessage request = requests.poll(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (request == null) {
      throw new AssertionError("no request to " + address());
    }
    return request;
  }

  /** Whether a request is queued. */
  public boolean hasPendingRequest() {
    return !requests.isEmpty();
  }

  /** Whether a POST is queued. */
  public boolean hasPendingJob() {
    return requests.stream().anyMatch(request -> request.startLine().startsWith("POST"));
  }

  /** Waits until the dispatcher has closed this connection. */
  public void awaitClosed(Socket connection) throws InterruptedException {
    Socket closed = null;
    while (closed != connection) {
      closed = closedConnections.poll(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      if (closed == null) {
        throw new AssertionError("the connection stays open");
      }
    }
  }

  /** Closes the listener and has no connection to its address complete until the test allows it. */
  public StalledListener stall() throws IOException {
    InetSocketAddress address = socketAddress();
    listener.close();
    return new StalledListener(address);
  }

  /** The number of connections accepted since the last reset. */
  public int connectionCount() {
    return connectionCount.get();
  }

  /** Counts connections from 0 again. */
  public void resetConnectionCount() {
    connectionCount.set(0);
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
