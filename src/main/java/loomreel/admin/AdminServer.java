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
 * The HTTP server for operators. It has its own address and its own file descriptors, so that
 * clients cannot lock operators out, however many clients there are.
 *
 * <p>Used on the event loop's thread only. Owns its connections; the event loop closes the
 * listening socket.
 */
public final class AdminServer {
  /**
   * Maximum number of open connections. A further connection replaces the oldest one, which has no
   * request that awaits a response.
   */
  private static final int MAX_CONNECTIONS = 8;

  /** Maximum number of pending connections in the kernel's accept queue. */
  private static final int BACKLOG = 128;

  private final AdminOperations operations;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.admin");
  private final EventLoop loop;
  private final Set<AdminConnection> open = new LinkedHashSet<>();

  /**
   * Binds the address and starts to accept connections. Requests are handled when the event loop
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
    // The queue is short, so all of its connections are accepted in one iteration.
    new Acceptor(loop, listener, Integer.MAX_VALUE, log, this::accept).start();
    log.info("admin server listening address=" + listener.getLocalAddress());
  }

  private void accept(SocketChannel channel) throws IOException {
    if (open.size() >= MAX_CONNECTIONS) {
      open.iterator().next().close();
    }
    AdminConnection connection = new AdminConnection(loop, channel, this, operations, log);
    open.add(connection);
    // A request that has arrived is handled before another connection can replace this one.
    connection.readNow();
  }

  /** Removes a connection that was closed. */
  void remove(AdminConnection connection) {
    open.remove(connection);
  }
}
