package loomreel.process;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import loomreel.http.BadMessageException;
import loomreel.http.HttpConnection;
import loomreel.http.HttpMessage;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * The connection to one other process of this dispatcher. Both sides send requests on it, and none
 * sends a response. Owned by its {@link HotRestartChannel}.
 */
final class HotRestartLink extends HttpConnection {
  private final HotRestartChannel owner;
  private final RateLimitedLogger log;
  private final boolean toSuccessor;

  /** What to run once the other process has handled a callback, by the callback's number. */
  private final Map<Long, Runnable> unhandledCallbacks = new HashMap<>();

  private long lastCallback;

  /** The overrides of which this process has sent a change. */
  private final Set<OverrideChange.Target> overridesSent = new HashSet<>();

  /**
   * A link over a connected socket, which it owns from now on.
   *
   * @param toSuccessor whether the other process is the successor
   * @param owner receives the messages of the link, and is notified when it closes
   * @throws IOException if the socket cannot be registered with the loop
   */
  HotRestartLink(
      EventLoop loop,
      SocketChannel socket,
      boolean toSuccessor,
      HotRestartChannel owner,
      RateLimitedLogger log)
      throws IOException {
    super(loop, nonBlocking(socket), true, true);
    this.toSuccessor = toSuccessor;
    this.owner = owner;
    this.log = log;
  }

  private static SocketChannel nonBlocking(SocketChannel socket) throws IOException {
    socket.configureBlocking(false);
    return socket;
  }

  /** Whether the other process is the successor. */
  boolean isToSuccessor() {
    return toSuccessor;
  }

  /** Sends a message, or drops it where the link is closed. */
  void send(HotRestartMessage message) {
    if (!isClosed()) {
      OverrideChange.of(message).ifPresent(change -> overridesSent.add(change.target()));
      out.append(message.head());
      out.append(message.body());
      flush();
    }
  }

  /**
   * Whether this process has sent a change of that override on this link: one from the other
   * process may have crossed it.
   */
  boolean hasSentOverride(OverrideChange.Target target) {
    return overridesSent.contains(target);
  }

  /**
   * Sends a callback.
   *
   * @param handled run once the other process has handled it or has disconnected
   */
  void sendCallback(byte[] callback, Runnable handled) {
    long number = ++lastCallback;
    unhandledCallbacks.put(number, handled);
    send(HotRestartMessage.callback(number, callback));
  }

  @Override
  protected void received(HttpMessage request) {
    byte[] body = request.body().toArray();
    request.body().release();
    HotRestartMessage message;
    try {
      message =
          HotRestartMessage.decode(
              request.target(), request.header(HotRestartMessage.NUMBER_HEADER), body);
    } catch (IllegalArgumentException e) {
      log.warn("hot restart message unknown reason=" + e.getMessage());
      return;
    }
    switch (message.type()) {
      case CALLBACK ->
          owner.callbackReceived(
              this,
              message.body(),
              () -> send(HotRestartMessage.callbackHandled(message.number())));
      case CALLBACK_HANDLED -> unhandledCallbacks.remove(message.number()).run();
      default -> owner.noticeReceived(this, message);
    }
  }

  @Override
  protected void malformed(BadMessageException why) {
    log.warn("hot restart message malformed reason=" + why.getMessage());
    close();
  }

  @Override
  protected void broken() {}

  @Override
  protected void flushed() {}

  /** Closes the link; the jobs of unhandled callbacks have ended with the other process. */
  @Override
  public void close() {
    if (!isClosed()) {
      super.close();
      owner.detach(this);
      new ArrayList<>(unhandledCallbacks.values()).forEach(Runnable::run);
      log.info("hot restart link closed peer=" + (toSuccessor ? "successor" : "predecessor"));
      owner.closed();
    }
  }
}
