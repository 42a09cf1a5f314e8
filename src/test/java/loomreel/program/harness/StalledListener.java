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
 * A listener whose backlog is full. No further connection to it is established until the test calls
 * {@link #nextConnection}.
 */
public final class StalledListener implements AutoCloseable {
  /**
   * The connect timeout, in milliseconds, after which the backlog is considered full. A connection
   * that is not established by then waits for a place in the backlog.
   */
  private static final int BACKLOG_FULL_AFTER_MILLIS = 500;

  private final ServerSocket listener;
  private final List<Socket> fillers = new ArrayList<>();

  /** Listens on an address whose previous listener was closed, and fills the backlog. */
  StalledListener(InetSocketAddress address) throws IOException {
    listener = bind(address, 1);
    while (true) {
      Socket filler = new Socket();
      try {
        filler.connect(
            new InetSocketAddress(HttpIo.loopback(), address.getPort()), BACKLOG_FULL_AFTER_MILLIS);
        fillers.add(filler);
      } catch (SocketTimeoutException backlogFull) {
        filler.close();
        return;
      }
    }
  }

  /**
   * Returns a listener that is bound to an address. Retries while the address is in use, because
   * the previous listener may not be fully closed yet.
   *
   * @throws BindException if the address is still in use after {@link HttpIo#TIMEOUT_MILLIS}
   */
  static ServerSocket bind(InetSocketAddress address, int backlog) throws IOException {
    long deadlineNanos = System.nanoTime() + HttpIo.TIMEOUT_MILLIS * 1_000_000L;
    while (true) {
      ServerSocket listener = new ServerSocket();
      try {
        listener.setReuseAddress(true);
        listener.bind(address, backlog);
        return listener;
      } catch (BindException addressInUse) {
        listener.close();
        if (System.nanoTime() > deadlineNanos) {
          throw addressInUse;
        }
        Thread.onSpinWait();
      }
    }
  }

  /**
   * Accepts connections, so that waiting connections can be established. Skips the connections that
   * were opened to fill the backlog.
   *
   * @param timeoutMillis the maximum time, in milliseconds, to wait for each connection
   * @return the next other connection, or null after a timeout
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
    } catch (SocketTimeoutException noConnection) {
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
