package loomreel.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.Set;
import loomreel.io.Acceptor;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.process.AdminOperations;

/**
 * The HTTP server for operators. It has its own address and its own file descriptors. Operators can
 * therefore connect even if clients use all connections that are available to clients.
 *
 * <p>Used on the event loop's thread only. Owns its connections. The listening socket is closed by
 * the event loop.
 */
public final class AdminServer {
  /**
   * Maximum number of open connections. If a further connection is accepted, the oldest connection
   * is closed. No operator waits for a response on the oldest connection, because the server
   * responds to a request as soon as it has received the request.
   */
  private static final int MAX_CONNECTIONS = 8;

  /**
   * Maximum number of connections that wait in the kernel's accept queue until this process accepts
   * them.
   */
  private static final int BACKLOG = 128;

  private final AdminOperations operations;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.admin");
  private final EventLoop loop;
  private final Set<AdminConnection> open = new LinkedHashSet<>();

  /**
   * Binds the address and starts to accept connections. Requests are handled while the event loop
   * runs.
   *
   * @throws IOException if the address cannot be bound
   */
  public AdminServer(EventLoop loop, InetSocketAddress address, AdminOperations operations)
      throws IOException {
    this.loop = loop;
    this.operations = operations;
    ServerSocketChannel listener = ServerSocketChannel.open();
    listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    listener.configureBlocking(false);
    listener.bind(address, BACKLOG);
    // The accept queue is short. All connections in the queue are accepted in one iteration of the
    // event loop.
    new Acceptor(loop, listener, Integer.MAX_VALUE, log, this::accept).start();
    log.info("admin server listening address=" + listener.getLocalAddress());
  }

  private void accept(SocketChannel channel) throws IOException {
    if (open.size() >= MAX_CONNECTIONS) {
      open.iterator().next().close();
    }
    AdminConnection connection = new AdminConnection(loop, channel, this, operations, log);
    open.add(connection);
    // If the request has arrived already, handle it now, before a further connection can cause this
    // connection to be closed.
    connection.readNow();
  }

  /** Removes a connection that has been closed. */
  void remove(AdminConnection connection) {
    open.remove(connection);
  }
}
