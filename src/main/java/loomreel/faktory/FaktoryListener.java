package loomreel.faktory;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import loomreel.io.Acceptor;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Accepts connections up to a limit, and owns them until they close. Where the limit is reached,
 * the oldest connection that has not sent HELLO is closed for a new one.
 */
final class FaktoryListener {
  /** Length of the system's queue of connections to accept. */
  private static final int ACCEPT_BACKLOG = 1024;

  private static final int MAX_ACCEPTS_PER_TURN = 64;

  /** Makes the connection of an accepted channel. */
  interface ConnectionFactory {
    /**
     * Registers the channel with the loop.
     *
     * @throws IOException if the channel is broken; the caller closes it then
     */
    FaktoryConnection create(SocketChannel channel) throws IOException;
  }

  private final int maxConnections;
  private final ConnectionFactory factory;
  private final Acceptor acceptor;
  private final Set<FaktoryConnection> connections = new LinkedHashSet<>();

  /** Those that have not sent HELLO, the oldest first. */
  private final Set<FaktoryConnection> unauthenticated = new LinkedHashSet<>();

  private int accepted;
  private int overLimit;

  /**
   * Opens the port; connections are accepted once the loop runs.
   *
   * @throws IOException if the address cannot be bound
   */
  FaktoryListener(
      EventLoop loop,
      SocketAddress address,
      int maxConnections,
      ConnectionFactory factory,
      RateLimitedLogger log)
      throws IOException {
    this.maxConnections = maxConnections;
    this.factory = factory;
    ServerSocketChannel channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.configureBlocking(false);
    channel.bind(address, ACCEPT_BACKLOG);
    acceptor = new Acceptor(loop, channel, MAX_ACCEPTS_PER_TURN, log, this::accepted);
    acceptor.start();
    log.info("Faktory listener started address=" + channel.getLocalAddress());
  }

  private void accepted(SocketChannel channel) throws IOException {
    if (connections.size() >= maxConnections) {
      overLimit++;
      if (unauthenticated.isEmpty()) {
        channel.close();
        return;
      }
      unauthenticated.iterator().next().close();
    }
    FaktoryConnection connection = factory.create(channel);
    connections.add(connection);
    unauthenticated.add(connection);
    accepted++;
    connection.greet();
  }

  /** The client has sent HELLO, with the password where one is required. */
  void authenticated(FaktoryConnection connection) {
    unauthenticated.remove(connection);
  }

  /** The connection has closed from either side. */
  void closed(FaktoryConnection connection) {
    connections.remove(connection);
    unauthenticated.remove(connection);
  }

  /** Connections that are open. */
  int openConnections() {
    return connections.size();
  }

  /** Connections accepted so far. */
  int acceptedConnections() {
    return accepted;
  }

  /** Connections that arrived while the limit was reached. */
  int connectionsOverLimit() {
    return overLimit;
  }

  /** Accepts no more and closes all connections; the loop closes the listening channel. */
  void close() {
    acceptor.stop();
    new ArrayList<>(connections).forEach(FaktoryConnection::close);
  }
}
