package loomreel.io;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * Accepts connections from one listening socket.
 *
 * <p>If {@code accept} fails, the usual cause is that no file descriptor is available. The
 * connection then remains in the kernel's accept queue, and the selector reports the listening
 * socket as ready again at once. A retry without a delay would keep the event loop busy, so
 * accepting pauses for {@link #RETRY_DELAY_MICROS} after a failure.
 *
 * <p>The acceptor does not own the listening socket and never closes it. {@link EventLoop#close}
 * closes every channel that is registered with the event loop, and therefore also the listening
 * socket. {@link #stop} cancels the registration of the listening socket. After that, the caller is
 * responsible for closing the socket.
 */
public final class Acceptor implements EventLoop.Handler {
  /** Takes ownership of the accepted connections. */
  public interface ConnectionHandler {
    /**
     * Called with each accepted connection. The handler owns the connection from then on.
     *
     * @param channel the connection, in non-blocking mode and with {@code TCP_NODELAY} set
     * @throws IOException if the connection cannot be served; the acceptor then closes the channel
     */
    void accepted(SocketChannel channel) throws IOException;
  }

  /** The duration of the pause after a failed {@code accept}, in microseconds. */
  public static final long RETRY_DELAY_MICROS = 100_000;

  private enum State {
    NOT_STARTED,
    ACCEPTING,
    PAUSED,
    STOPPED
  }

  private final EventLoop loop;
  private final ServerSocketChannel listener;
  private final int maxPerIteration;
  private final RateLimitedLogger log;
  private final ConnectionHandler handler;
  private final SelectionKey key;
  private State state = State.NOT_STARTED;

  /**
   * Registers a listening socket with the event loop. No connection is accepted before {@link
   * #start}.
   *
   * @param listener the listening socket, bound and in non-blocking mode
   * @param maxPerIteration the maximum number of connections that are accepted in one iteration of
   *     the event loop
   * @param log the logger for failed accepts
   * @throws IOException if the socket cannot be registered with the selector
   */
  public Acceptor(
      EventLoop loop,
      ServerSocketChannel listener,
      int maxPerIteration,
      RateLimitedLogger log,
      ConnectionHandler handler)
      throws IOException {
    this.loop = loop;
    this.listener = listener;
    this.maxPerIteration = maxPerIteration;
    this.log = log;
    this.handler = handler;
    key = listener.register(loop.selector(), 0, this);
  }

  /** Starts accepting. Has no effect if the acceptor was started or stopped before. */
  public void start() {
    if (state == State.NOT_STARTED) {
      resume();
    }
  }

  /**
   * Pauses accepting. During the pause, new connections wait in the kernel's accept queue. Has no
   * effect unless the acceptor is accepting, so a second call does not extend a pause.
   *
   * @param pauseMicros the duration of the pause, in microseconds
   */
  public void pause(long pauseMicros) {
    if (state != State.ACCEPTING) {
      return;
    }
    state = State.PAUSED;
    key.interestOps(0);
    loop.schedule(
        loop.now() + pauseMicros,
        () -> {
          if (state == State.PAUSED) {
            resume();
          }
        });
  }

  private void resume() {
    state = State.ACCEPTING;
    key.interestOps(SelectionKey.OP_ACCEPT);
  }

  /**
   * Stops accepting permanently and cancels the registration of the listening socket with the event
   * loop. The listening socket is not closed.
   */
  public void stop() {
    state = State.STOPPED;
    key.cancel();
  }

  /**
   * Returns whether connections are being accepted. This is the case if the acceptor was started
   * and is neither paused nor stopped.
   */
  public boolean isAccepting() {
    return state == State.ACCEPTING;
  }

  @Override
  public void ready(SelectionKey selectedKey) {
    try {
      for (int count = 0; count < maxPerIteration && isAccepting(); count++) {
        SocketChannel channel = listener.accept();
        if (channel == null) {
          return;
        }
        deliver(channel);
      }
    } catch (IOException e) {
      log.warn("accept failed reason=" + e.getMessage());
      pause(RETRY_DELAY_MICROS);
    }
  }

  private void deliver(SocketChannel channel) throws IOException {
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      handler.accepted(channel);
    } catch (IOException e) {
      channel.close();
    }
  }
}
