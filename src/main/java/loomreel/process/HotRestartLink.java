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
 * A connection to a peer, which is the predecessor or a successor of this process in a hot restart.
 * Both processes send {@link HotRestartMessage}s as HTTP requests on the connection. Neither sends
 * HTTP responses. Owned by its {@link HotRestartChannel}.
 *
 * <p>A callback is an HTTP request in which a worker reports the state of a call. A call is a job
 * that the dispatcher has accepted. If a process receives a callback whose call is not active in
 * this process, it forwards the callback to a peer.
 */
final class HotRestartLink extends HttpConnection {
  private final HotRestartChannel owner;
  private final RateLimitedLogger log;
  private final boolean toSuccessor;

  /**
   * The tasks of the forwarded callbacks that the peer has not handled yet, by callback number. A
   * task runs when the peer has handled the callback or when the link closes.
   */
  private final Map<Long, Runnable> pendingTasksByCallbackNumber = new HashMap<>();

  private long lastCallbackNumber;

  /** The targets of the override changes that this process has sent on this link. */
  private final Set<OverrideChange.Target> overridesSent = new HashSet<>();

  /**
   * Creates a link on a connected socket and takes ownership of the socket.
   *
   * @param toSuccessor true if the peer is a successor, false if the peer is the predecessor
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

  /** Returns true if the peer is a successor, false if the peer is the predecessor. */
  boolean isToSuccessor() {
    return toSuccessor;
  }

  /** Sends a message to the peer. If the link is closed, the message is discarded. */
  void send(HotRestartMessage message) {
    if (!isClosed()) {
      OverrideChange.of(message).ifPresent(change -> overridesSent.add(change.target()));
      out.append(message.head());
      out.append(message.body());
      flush();
    }
  }

  /**
   * Returns whether this process has sent a change of the override with this target on this link.
   * If so, the peer may have sent a change of the same override before it received the change of
   * this process.
   */
  boolean hasSentOverride(OverrideChange.Target target) {
    return overridesSent.contains(target);
  }

  /**
   * Forwards a callback to the peer with a new callback number. {@link HotRestartMessage} defines
   * when a callback counts as handled.
   *
   * @param callback the body of the callback as the worker sent it
   * @param handled run when the peer has handled the callback or when this link closes
   */
  void sendCallback(byte[] callback, Runnable handled) {
    long callbackNumber = ++lastCallbackNumber;
    pendingTasksByCallbackNumber.put(callbackNumber, handled);
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
      case CALLBACK_HANDLED -> pendingTasksByCallbackNumber.remove(message.callbackNumber()).run();
      default -> owner.oneWayMessageReceived(this, message);
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
   * Closes the link. The callbacks that the peer has not handled count as handled from now on: if
   * the peer process has ended, the calls of these callbacks have ended as well. The callbacks also
   * count as handled if the link closes because of a malformed message, although the peer may still
   * be running.
   */
  @Override
  public void close() {
    if (!isClosed()) {
      super.close();
      owner.detach(this);
      new ArrayList<>(pendingTasksByCallbackNumber.values()).forEach(Runnable::run);
      log.info("hot restart link closed peer=" + (toSuccessor ? "successor" : "predecessor"));
      owner.linkClosed();
    }
  }
}
