package loomreel.program;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * A place to which no connection comes up before the test lets it: its queue of connections is kept
 * full until then.
 */
final class StalledListener implements AutoCloseable {
  private final ServerSocket listener;
  private final List<Socket> fillers = new ArrayList<>();

  /** Takes the place of a listener that was there, at its address. */
  StalledListener(InetSocketAddress at) throws IOException {
    listener = bound(at, 1);
    while (true) {
      Socket filler = new Socket();
      try {
        filler.connect(
            new InetSocketAddress(
                InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), at.getPort()),
            500);
        fillers.add(filler);
      } catch (SocketTimeoutException full) {
        filler.close();
        return;
      }
    }
  }

  /** The address is free once whoever accepted there has noticed the end. */
  static ServerSocket bound(InetSocketAddress at, int backlog) throws IOException {
    long until = System.nanoTime() + Http.PATIENCE_MS * 1_000_000L;
    while (true) {
      ServerSocket next = new ServerSocket();
      try {
        next.setReuseAddress(true);
        next.bind(at, backlog);
        return next;
      } catch (BindException held) {
        next.close();
        if (System.nanoTime() > until) {
          throw held;
        }
        Thread.onSpinWait();
      }
    }
  }

  /**
   * From now on connections come up; the next one that is not ours, as it comes, or null if none
   * does in this time.
   */
  Socket next(int withinMs) throws IOException {
    listener.setSoTimeout(withinMs);
    try {
      while (true) {
        Socket next = listener.accept();
        if (fillers.stream().noneMatch(f -> f.getLocalPort() == next.getPort())) {
          next.setSoTimeout(Http.PATIENCE_MS);
          return next;
        }
      }
    } catch (SocketTimeoutException none) {
      return null;
    }
  }

  @Override
  public void close() throws IOException {
    for (Socket filler : fillers) {
      filler.close();
    }
    listener.close();
  }
}
