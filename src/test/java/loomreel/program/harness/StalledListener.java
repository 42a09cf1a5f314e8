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
 * A listener whose backlog is full. The backlog contains established connections that the listener
 * has not accepted yet. While the backlog is full, no further connection is established. Each
 * connection that {@link #nextConnection} accepts frees a place in the backlog.
 */
public final class StalledListener implements AutoCloseable {
  /**
   * The connect timeout, in milliseconds, of the connections that fill the backlog. If a connection
   * is not established within this time, the backlog is considered full.
   */
  private static final int BACKLOG_FULL_AFTER_MILLIS = 500;

  private final ServerSocket listener;

  /** The connections that were opened only to fill the backlog. */
  private final List<Socket> fillers = new ArrayList<>();

  /**
   * Listens on an address and fills the backlog. The previous listener on this address must be
   * closed before.
   */
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
   * @param backlog the requested size of the queue of connections that are not accepted yet
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
   * Accepts connections until it has accepted a connection that was not opened to fill the backlog.
   * Each accepted connection frees a place in the backlog, so that a waiting connection can be
   * established.
   *
   * @param timeoutMillis the maximum time, in milliseconds, to wait for the next connection. The
   *     time starts again after each connection that was opened to fill the backlog.
   * @return the first connection that was not opened to fill the backlog, or null after a timeout
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
