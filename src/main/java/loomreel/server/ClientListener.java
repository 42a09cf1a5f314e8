package loomreel.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import loomreel.config.ServeConfig;

/** Opens the listening socket for the connections of clients and for callbacks of workers. */
final class ClientListener {
  /**
   * Maximum number of connections that wait in the kernel's accept queue until this process accepts
   * them. If the queue is full, a client that tries to connect retries after one second.
   */
  private static final int BACKLOG = 4096;

  private ClientListener() {}

  /**
   * Binds the configured address, or uses the listening socket that the platform passes to the
   * process. The returned channel is non-blocking and is owned by the caller.
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
   * Returns the listening socket that the platform keeps open and passes to each process as
   * descriptor 0. This process must never close the socket, because the Java library would close
   * standard error as well.
   */
  private static ServerSocketChannel inherit() throws IOException {
    if (System.inheritedChannel() instanceof ServerSocketChannel listener) {
      return listener;
    }
    throw new IOException("descriptor 0 is no listening socket");
  }
}
