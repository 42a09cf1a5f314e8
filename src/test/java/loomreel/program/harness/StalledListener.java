package loomreel.program.harness;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * A listener whose backlog is full, so that no connection to it completes until the test accepts
 * one.
 */
public final class StalledListener implements AutoCloseable {
  /** A connection that has not completed after this time waits for a place in the backlog. */
  private static final int BACKLOG_FULL_AFTER_MILLIS = 500;

  private final ServerSocket listener;
  private final List<Socket> fillers = new ArrayList<>();

  /** Listens at an address whose listener was closed before, and fills the backlog. */
  StalledListener(InetSocketAddress address) throws IOException {
    listener = bind(address, 1);
    while (true) {
      Socket filler = new Socket();
      try {
        filler.connect(
            new InetSocketAddress(HttpIo.loopback(), address.getPort()), BACKLOG_FULL_AFTER_MILLIS);
        fillers.add(filler);
      } catch (SocketTimeoutException full) {
        filler.close();
        return;
      }
    }
  }

  /** Binds a listener; waits while the previous one at the address is still being closed. */
  static ServerSocket bind(InetSocketAddress address, int backlog) throws IOException {
    long deadline = System.nanoTime() + HttpIo.TIMEOUT_MILLIS * 1_000_000L;
    while (true) {
      ServerSocket listener = new ServerSocket();
      try {
        listener.setReuseAddress(true);
        listener.bind(address, backlog);
        return listener;
      } catch (BindException inUse) {
        listener.close();
        if (System.nanoTime() > deadline) {
          throw inUse;
        }
        Thread.onSpinWait();
      }
    }
  }

  /**
   * Lets connections complete from now on; the next one that does not fill the backlog, or null
   * after a timeout without one.
   */
  public Socket nextConnection(int timeoutMillis) throws IOException {
    listener.setSoTimeout(timeoutMillis);
    try {
      while (true) {
        Socket connection = listener.accept();
        if (!isFiller(connection)) {
          connection.setSoTimeout(HttpIo.TIMEOUT_MILLIS);
          return connection;
        }
      }
    } catch (SocketTimeoutException none) {
      return null;
    }
  }

  private boolean isFiller(Socket connection) {
    return fillers.stream().anyMatch(filler -> filler.getLocalPort() == connection.getPort());
  }

  @Override
  public void close() throws IOException {
    for (Socket filler : fillers) {
      filler.close();
    }
    listener.close();
  }
}
