package loomreel.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import loomreel.config.ServeConfig;

/** Opens the listening socket for clients and callbacks. */
final class ClientListener {
  /**
   * Maximum number of pending connections in the kernel's accept queue. A client that finds the
   * queue full retries after a second.
   */
  private static final int BACKLOG = 4096;

  private ClientListener() {}

  /**
   * Binds the configured address, or uses the listening socket that the platform passes. The
   * returned channel does not block and is owned by the caller.
   *
   * @throws IOException if the address cannot be bound or no listening socket was passed
   */
  static ServerSocketChannel open(ServeConfig config) throws IOException {
    ServerSocketChannel listener =
        config.listenerInherited() ? inherit() : bind(config.listenAddress());
    listener.configureBlocking(false);
    return listener;
  }

  private static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
    ServerSocketChannel listener = ServerSocketChannel.open();
    listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    return listener.bind(address, BACKLOG);
  }

  /**
   * Returns the listening socket that the platform holds and passes to each process as descriptor
   * 0. It is never closed, because the Java library would close standard error with it.
   */
  private static ServerSocketChannel inherit() throws IOException {
    if (System.inheritedChannel() instanceof ServerSocketChannel listener) {
      return listener;
    }
    throw new IOException("descriptor 0 is no listening socket");
  }
}
