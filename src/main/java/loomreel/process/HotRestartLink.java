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
 * A connection to one other process of this dispatcher. Both sides send requests on it, and neither
 * sends a response. Owned by its {@link HotRestartChannel}.
 */
final class HotRestartLink extends HttpConnection {
  private final HotRestartChannel owner;
  private final RateLimitedLogger log;
  private final boolean toSuccessor;

  /** The tasks to run when the other process has handled a callback, by callback number. */
  private final Map<Long, Runnable> unhandledCallbacks = new HashMap<>();

  private long lastCallbackNumber;

  /** The overrides of which this process has sent a change on this link. */
  private final Set<OverrideChange.Target> overridesSent = new HashSet<>();

  /**
   * Creates a link over a connected socket and takes ownership of the socket.
   *
   * @param toSuccessor whether the other process is the successor
   * @param owner receives the messages of the link, and is notified when the link closes
   * @throws IOException if the socket cannot be registered with the event loop
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

  /** Returns whether the other process is the successor. */
  boolean isToSuccessor() {
    return toSuccessor;
  }

  /** Sends a message, or discards it if the link is closed. */
  void send(HotRestartMessage message) {
    if (!isClosed()) {
      OverrideChange.of(message).ifPresent(change -> overridesSent.add(change.target()));
      out.append(message.head());
      out.append(message.body());
      flush();
    }
  }

  /**
   * Returns whether this process has sent a change of an override on this link. If so, a change of
   * the same override by the other process may have crossed it.
   */
  boolean hasSentOverride(OverrideChange.Target target) {
    return overridesSent.contains(target);
  }

  /**
   * Sends a callback under a new callback number.
   *
   * @param handled run when the other process has handled the callback or has disconnected
   */
  void sendCallback(byte[] callback, Runnable handled) {
    long callbackNumber = ++lastCallbackNumber;
    unhandledCallbacks.put(callbackNumber, handled);
    send(HotRestartMessage.callback(callbackNumber, callback));
  }

  @Override
  protected void received(HttpMessage request) {
    byte[] body = request.body().toArray();
    request.body().release();
    HotRestartMessage message;
    try {
      message =
          HotRestartMessage.decode(
              request.target(), request.header(HotRestartMessage.CALLBACK_NUMBER_HEADER), body);
    } catch (IllegalArgumentException e) {
      log.warn("hot restart message unknown reason=" + e.getMessage());
      return;
    }
    switch (message.type()) {
      case CALLBACK ->
          owner.callbackReceived(
              this,
              message.body(),
              () -> send(HotRestartMessage.callbackHandled(message.callbackNumber())));
      case CALLBACK_HANDLED -> unhandledCallbacks.remove(message.callbackNumber()).run();
      default -> owner.noticeReceived(this, message);
    }
  }

  @Override
  protected void malformed(BadMessageException error) {
    log.warn("hot restart message malformed reason=" + error.getMessage());
    close();
  }

  @Override
  protected void broken() {}

  @Override
  protected void flushed() {}

  /**
   * Closes the link. Its unhandled callbacks count as handled, because their jobs have ended with
   * the other process.
   */
  @Override
  public void close() {
    if (!isClosed()) {
      super.close();
      owner.detach(this);
      new ArrayList<>(unhandledCallbacks.values()).forEach(Runnable::run);
      log.info("hot restart link closed peer=" + (toSuccessor ? "successor" : "predecessor"));
      owner.linkClosed();
    }
  }
}
