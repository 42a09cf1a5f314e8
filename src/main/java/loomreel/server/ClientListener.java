package loomreel.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import loomreel.config.ServeConfig;

/** Opens the socket at which clients and callbacks are accepted. */
final class ClientListener {
  /**
   * Pending connections in the kernel's queue; a client that finds it full retries after a second.
   */
  private static final int BACKLOG = 4096;

  private ClientListener() {}

  /**
   * Binds the configured address, or uses the listener that the platform passes. The result does
   * not block; the caller owns it.
   *
   * @throws IOException if the address cannot be bound or no listener was passed
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
   * The listener that the platform holds and passes to each process as descriptor 0. It is never
   * closed: the library would close standard error with it.
   */
  private static ServerSocketChannel inherit() throws IOException {
    if (System.inheritedChannel() instanceof ServerSocketChannel listener) {
      return listener;
    }
    throw new IOException("descriptor 0 is no listening socket");
  }
}
