package loomreel.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import loomreel.decision.AttemptOutcome;
import loomreel.io.ByteQueue;
import loomreel.io.EventLoop;

/**
 * A client connection of a {@link ConnectionPool}, which owns it. It has one exchange at a time.
 */
public final class PooledConnection extends HttpConnection {
  /** How many connect timeouts the rest of a response may take once its head is sufficient. */
  private static final int BODY_CONNECT_TIMEOUTS = 2;

  private final ConnectionPool pool;
  private final int generation;

  /** Null while the connection is idle. */
  private HttpExchange exchange;

  /** When the current exchange was sent. */
  private long sentAt;

  /** When the last exchange was completed; 0 before the first one. */
  private long idleSince;

  /** How long the connection was idle before the current exchange; 0 for the first one. */
  private long idleBeforeSend;

  /** How long the connection must be idle before it is reused. */
  private long reuseDelay;

  /** Limits the current phase of the exchange; null before the first one. */
  private EventLoop.Timer timer;

  PooledConnection(EventLoop loop, ConnectionPool pool, int generation) throws IOException {
    super(loop, connect(pool), false, false);
    this.pool = pool;
    this.generation = generation;
  }

  private static SocketChannel connect(ConnectionPool pool) throws IOException {
    SocketChannel channel = SocketChannel.open();
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      // On loopback this may complete at once; finishConnect then reports it in the next iteration.
      channel.connect(pool.address());
      return channel;
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /** The pool's generation in which the connection was opened. */
  int generation() {
    return generation;
  }

  long idleSince() {
    return idleSince;
  }

  long reuseDelay() {
    return reuseDelay;
  }

  void markIdle(long since, long delay) {
    idleSince = since;
    reuseDelay = delay;
  }

  /**
   * Sends a request; the connection must be idle or new.
   *
   * @param request its buffers are released here
   * @param connectDeadline when to give up connecting; matters only for a new connection
   */
  void send(ByteQueue request, HttpExchange next, long connectDeadline) {
    exchange = next;
    sentAt = loop.now();
    idleBeforeSend = idleSince == 0 ? 0 : sentAt - idleSince;
    out.append(request);
    request.release();
    long writeDeadline =
        isConnected() ? next.writeDeadline() : Math.min(connectDeadline, next.writeDeadline());
    timer = loop.schedule(writeDeadline, this::timedOut);
    flush();
  }

  @Override
  protected void flushed() {
    // Connected and written: from here on only the exchange's own deadline counts.
    if (exchange != null) {
      timer.cancel();
      timer = loop.schedule(exchange.deadline(), this::timedOut);
      exchange.requestWritten();
    }
  }

  private void timedOut() {
    failExchange(hasSent() ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
    // Other connections to this machine are probably dead, too, and would be reset once it is up
    // again.
    pool.closeIdle();
  }

  /**
   * Whether nothing has arrived since the last response. An unread end of input would reset the
   * next request, and unread bytes would be taken for its response. Reads into a buffer of its own,
   * since the loop's read buffer may be in use.
   */
  boolean hasNoPendingInput() {
    try {
      int size = channel.read(ByteBuffer.allocate(1));
      if (size > 0) {
        pool.recordUnsolicitedResponse();
      }
      return size == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /** Whether the request is written completely: from there on it may have run. */
  public boolean hasSent() {
    return isConnected() && out.length() == 0;
  }

  /** Closes the connection without informing its exchange. */
  public void abandon() {
    exchange = null;
    close();
  }

  private void failExchange(AttemptOutcome outcome) {
    HttpExchange failed = exchange;
    exchange = null;
    close();
    if (failed != null) {
      failed.failed(outcome);
    }
  }

  @Override
  protected void received(HttpMessage message) {
    HttpExchange completed = exchange;
    exchange = null;
    pool.recordReuse(idleBeforeSend, false);
    if (completed == null || hasPipelinedInput()) {
      // More than one response to a request: no later byte can be matched to an exchange.
      pool.recordUnsolicitedResponse();
      close();
    } else if (!message.keepAlive() || out.length() > 0) {
      close();
    } else {
      timer.cancel();
      pool.release(this, message.isSuccessful());
    }
    if (completed != null) {
      completed.responseReceived(message);
    }
    message.body().release();
  }

  /** Limits the wait for the body where the head is sufficient. */
  @Override
  protected void headReceived(int status) {
    if (exchange != null && out.length() == 0 && exchange.headReceived(status)) {
      timer.cancel();
      long bodyDeadline = loop.now() + BODY_CONNECT_TIMEOUTS * pool.connectTimeout();
      timer = loop.schedule(Math.min(exchange.deadline(), bodyDeadline), this::timedOut);
    }
  }

  /** Processes input that has arrived, so that a response is not missed when its exchange ends. */
  public void readPending() {
    readNow();
  }

  @Override
  protected void malformed(BadMessageException error) {
    pool.logMalformedResponse(error);
    failExchange(AttemptOutcome.RESET);
  }

  /** A request whose last byte was not written cannot have run; any other may have. */
  @Override
  protected void broken() {
    if (exchange != null && parser.atStart() && loop.now() - sentAt <= pool.connectTimeout()) {
      pool.recordReuse(idleBeforeSend, true);
    }
    failExchange(hasSent() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
  }

  @Override
  public void close() {
    if (!isClosed()) {
      super.close();
      if (timer != null) {
        timer.cancel();
      }
      pool.connectionClosed(this);
    }
  }
}
