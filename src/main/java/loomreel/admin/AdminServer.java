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
 * The HTTP server for operators, at an address of its own. Its file descriptors are its own as
 * well, so that clients, however many, cannot lock operators out.
 *
 * <p>Used on the event loop's thread only. It owns its connections; the event loop closes the
 * listening socket.
 */
public final class AdminServer {
  /**
   * The connections that may be open; another one replaces the oldest, which has sent no request
   * yet.
   */
  private static final int MAX_CONNECTIONS = 8;

  /** Connections that wait in the kernel's queue. */
  private static final int BACKLOG = 128;

  private final AdminOperations operations;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.admin");
  private final EventLoop loop;
  private final Set<AdminConnection> open = new LinkedHashSet<>();

  /**
   * Binds the address and starts accepting; requests are handled once the event loop runs.
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
    // The queue is short, so it is accepted completely in one iteration.
    new Acceptor(loop, listener, Integer.MAX_VALUE, log, this::accept).start();
    log.info("admin server listening address=" + listener.getLocalAddress());
  }

  private void accept(SocketChannel channel) throws IOException {
    if (open.size() >= MAX_CONNECTIONS) {
      open.iterator().next().close();
    }
    AdminConnection connection = new AdminConnection(loop, channel, this, operations, log);
    open.add(connection);
    // A request that has arrived already is handled before another connection can replace this one.
    connection.readNow();
  }

  /** A connection was closed. */
  void remove(AdminConnection connection) {
    open.remove(connection);
  }
}
