package loomreel.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import loomreel.decision.AttemptOutcome;
import loomreel.io.ByteQueue;
import loomreel.io.EventLoop;

/**
 * A client connection that is owned by a {@link ConnectionPool}. It carries one exchange at a time.
 * Times are in microseconds of the loop's clock.
 */
public final class PooledConnection extends HttpConnection {
  /**
   * The maximum time for the rest of a response once its head is sufficient, as a multiple of the
   * connect timeout.
   */
  private static final int BODY_TIMEOUT_FACTOR = 2;

  private final ConnectionPool pool;
  private final int generation;

  /** The current exchange; null while the connection is idle. */
  private HttpExchange exchange;

  /** The time at which the current exchange started. */
  private long sentAtMicros;

  /** The time at which the last exchange was completed; 0 before the end of the first one. */
  private long idleSinceMicros;

  /** How long the connection was idle before the current exchange; 0 for the first exchange. */
  private long idleBeforeSendMicros;

  /** How long the connection must be idle before it is reused. */
  private long reuseDelayMicros;

  /** The timeout of the current phase of the exchange; null before the first exchange. */
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
      // On loopback the connect may complete at once. The result is ignored here, because
      // finishConnect reports it in the next iteration.
      channel.connect(pool.address());
      return channel;
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /** Returns the generation of the pool in which the connection was opened. */
  int generation() {
    return generation;
  }

  long idleSinceMicros() {
    return idleSinceMicros;
  }

  long reuseDelayMicros() {
    return reuseDelayMicros;
  }

  /**
   * Records that the last exchange is complete.
   *
   * @param sinceMicros the time at which the exchange was completed
   * @param delayMicros how long the connection must be idle before it is reused
   */
  void markIdle(long sinceMicros, long delayMicros) {
    idleSinceMicros = sinceMicros;
    reuseDelayMicros = delayMicros;
  }

  /**
   * Sends a request. The connection must be idle or new.
   *
   * @param request the request, whose buffers are released here
   * @param connectDeadline the time at which to give up connecting; ignored if the connection is
   *     established
   */
  void send(ByteQueue request, HttpExchange nextExchange, long connectDeadline) {
    exchange = nextExchange;
    sentAtMicros = loop.now();
    idleBeforeSendMicros = idleSinceMicros == 0 ? 0 : sentAtMicros - idleSinceMicros;
    out.append(request);
    request.release();
    long writeDeadline =
        isConnected()
            ? nextExchange.writeDeadline()
            : Math.min(connectDeadline, nextExchange.writeDeadline());
    timer = loop.schedule(writeDeadline, this::timedOut);
    flush();
  }

  @Override
  protected void flushed() {
    // The request is written completely, so only the deadline of the exchange applies now.
    if (exchange != null) {
      timer.cancel();
      timer = loop.schedule(exchange.deadline(), this::timedOut);
      exchange.requestWritten();
    }
  }

  private void timedOut() {
    failExchange(hasSent() ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
    // The idle connections to the same host have probably failed too. They would be reset once the
    // host is up again.
    pool.closeIdle();
  }

  /**
   * Returns whether nothing has arrived since the last response. If the peer has ended its output,
   * the next request would be reset; unread bytes would be taken for the response to it. Reads into
   * a separate buffer, because the loop's read buffer may be in use.
   */
  boolean hasNoPendingInput() {
    try {
      int bytesRead = channel.read(ByteBuffer.allocate(1));
      if (bytesRead > 0) {
        pool.recordUnsolicitedResponse();
      }
      return bytesRead == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns whether the request is written completely. From then on, it may have run. */
  public boolean hasSent() {
    return isConnected() && out.length() == 0;
  }

  /** Closes the connection without a call to its exchange. */
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
    pool.recordReuse(idleBeforeSendMicros, false);
    if (completed == null || hasPipelinedInput()) {
      // The peer has sent more responses than there were requests. Later input cannot be matched to
      // an exchange.
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

  /** Limits the wait for the rest of the response if its head is sufficient. */
  @Override
  protected void headReceived(int status) {
    if (exchange != null && out.length() == 0 && exchange.headReceived(status)) {
      timer.cancel();
      long bodyDeadline = loop.now() + BODY_TIMEOUT_FACTOR * pool.connectTimeout();
      timer = loop.schedule(Math.min(exchange.deadline(), bodyDeadline), this::timedOut);
    }
  }

  /**
   * Processes input that has arrived. To be called before the exchange is abandoned, so that its
   * response is not missed.
   */
  public void readPending() {
    readNow();
  }

  @Override
  protected void malformed(BadMessageException error) {
    pool.logMalformedResponse(error);
    failExchange(AttemptOutcome.RESET);
  }

  /**
   * Fails the exchange. A request that was not written completely cannot have run; any other
   * request may have run.
   */
  @Override
  protected void broken() {
    if (exchange != null
        && parser.atStart()
        && loop.now() - sentAtMicros <= pool.connectTimeout()) {
      pool.recordReuse(idleBeforeSendMicros, true);
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
