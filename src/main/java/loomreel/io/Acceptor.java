package loomreel.io;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * The accept loop of one listening socket.
 *
 * <p>If {@code accept} fails, usually for lack of a file descriptor, the connection remains in the
 * kernel's queue and the socket readable, so a retry without a delay would spin the event loop.
 * Accepting therefore pauses for {@link #RETRY_DELAY_MICROS} after a failure.
 *
 * <p>The listening socket remains owned by the caller, or of the {@link EventLoop}, which closes
 * every registered channel when it is closed.
 */
public final class Acceptor implements EventLoop.Handler {
  /** The owner of the accepted connections. */
  public interface ConnectionHandler {
    /**
     * Takes ownership of a connection, which is non-blocking and has {@code TCP_NODELAY} set.
     *
     * @throws IOException if the connection cannot be served; the acceptor closes it then
     */
    void accepted(SocketChannel channel) throws IOException;
  }

  /** The pause after an accept that failed, in microseconds. */
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
   * Registers a listening socket, from which nothing is accepted before {@link #start}.
   *
   * @param listener bound and non-blocking
   * @param maxPerIteration the most connections to accept in one iteration of the event loop
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

  /** Starts accepting; does nothing once started or stopped. */
  public void start() {
    if (state == State.NOT_STARTED) {
      resume();
    }
  }

  /**
   * Accepts nothing for a while; new connections wait in the kernel's queue. Does nothing unless
   * accepting.
   *
   * @param micros the length of the pause in microseconds
   */
  public void pause(long micros) {
    if (state != State.ACCEPTING) {
      return;
    }
    state = State.PAUSED;
    key.interestOps(0);
    loop.schedule(
        loop.now() + micros,
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

  /** Stops accepting for good, without closing the listening socket. */
  public void stop() {
    state = State.STOPPED;
    key.cancel();
  }

  /** Whether connections are being accepted: started, and neither paused nor stopped. */
  public boolean isAccepting() {
    return state == State.ACCEPTING;
  }

  @Override
  public void ready(SelectionKey selected) {
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
