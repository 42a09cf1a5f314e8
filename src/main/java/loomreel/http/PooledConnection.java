package loomreel.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import loomreel.decision.AttemptOutcome;
import loomreel.io.ByteQueue;
import loomreel.io.EventLoop;

/**
 * A connection of a {@link ConnectionPool} to its peer. The pool owns the connection. The
 * connection carries one exchange at a time. Times are in microseconds of the loop's clock.
 */
public final class PooledConnection extends HttpConnection {
  /**
   * The maximum time to wait for the rest of a response, as a multiple of the connect timeout, if
   * the exchange needs only the status of the response. {@link HttpExchange#headReceived} returns
   * true in this case.
   */
  private static final int BODY_TIMEOUT_FACTOR = 2;

  private final ConnectionPool pool;
  private final int generation;

  /** The current exchange; null if there is no exchange in progress. */
  private HttpExchange exchange;

  /** The time at which the current exchange started. */
  private long exchangeStartedAtMicros;

  /** The time at which the last exchange was completed; 0 until the first exchange is completed. */
  private long idleSinceMicros;

  /** How long the connection was idle before the current exchange; 0 in the first exchange. */
  private long idleBeforeExchangeMicros;

  /**
   * The minimum idle time before this connection may be reused. While the peer is suspected of
   * sending responses twice, the pool may require a longer time.
   */
  private long reuseDelayMicros;

  /**
   * The timeout of the current phase of the exchange: connect and write of the request, wait for
   * the response, or wait for the rest of the response. Null before the first exchange.
   */
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
      // On loopback, connect() may complete at once and return true. The result is ignored here,
      // because finishConnect() reports it in the next iteration of the event loop.
      channel.connect(pool.address());
      return channel;
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /** Returns the generation that the pool had when the connection was opened. */
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
   * @param delayMicros how long the connection must be idle before it may be reused
   */
  void markIdle(long sinceMicros, long delayMicros) {
    idleSinceMicros = sinceMicros;
    reuseDelayMicros = delayMicros;
  }

  /**
   * Sends a request. The connection must be idle or new.
   *
   * @param request the request; this method copies it and releases its buffers
   * @param connectDeadline for a new connection, the time at which the exchange fails if the
   *     connect and the write of the request are not complete by then; ignored if the connection is
   *     already established
   */
  void send(ByteQueue request, HttpExchange nextExchange, long connectDeadline) {
    exchange = nextExchange;
    exchangeStartedAtMicros = loop.now();
    idleBeforeExchangeMicros = idleSinceMicros == 0 ? 0 : exchangeStartedAtMicros - idleSinceMicros;
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
    // The request is written completely. From now on, only the deadline of the exchange applies.
    if (exchange != null) {
      timer.cancel();
      timer = loop.schedule(exchange.deadline(), this::timedOut);
      exchange.requestWritten();
    }
  }

  private void timedOut() {
    failExchange(hasSent() ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
    // A timeout in any phase of the exchange can mean that the peer has failed. A failed peer that
    // is started again resets its earlier connections. Therefore the idle connections to the peer
    // are closed now.
    pool.closeIdle();
  }

  /**
   * Tries to read one byte, and returns whether the idle connection is still usable. The connection
   * is usable if no byte is available, the end of the input is not reached, and the read does not
   * fail. If a byte is read, records an unsolicited response in the pool.
   *
   * <p>Unread input would be taken for the response to the next request. If the peer has ended its
   * output, the peer would reset the connection on the next request.
   *
   * <p>If this method returns false, the caller must close the connection, because a byte of the
   * input may have been consumed. Reads into a separate buffer, because the loop's read buffer may
   * be in use.
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

  /**
   * Returns whether the request of the current exchange is written completely. If it is, the
   * request may have run.
   */
  public boolean hasSent() {
    return isConnected() && out.length() == 0;
  }

  /** Closes the connection and ends its exchange without a call to the exchange. */
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
    pool.recordReuse(idleBeforeExchangeMicros, false);
    if (completed == null || hasPipelinedInput()) {
      // The peer has sent more than the response to one request. Further input cannot be matched to
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

  /** Limits the wait for the rest of the response if the exchange needs only the status. */
  @Override
  protected void headReceived(int status) {
    if (exchange != null && out.length() == 0 && exchange.headReceived(status)) {
      timer.cancel();
      long bodyDeadline = loop.now() + BODY_TIMEOUT_FACTOR * pool.connectTimeout();
      timer = loop.schedule(Math.min(exchange.deadline(), bodyDeadline), this::timedOut);
    }
  }

  /**
   * Reads and processes input that has already arrived, at most one buffer ({@link
   * loomreel.io.BufferPool#SIZE} bytes). To be called before {@link #abandon}, so that a response
   * that has already arrived is not lost. If the response does not fit into one buffer, its rest is
   * not read by this call.
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
   * Fails the exchange. A request that was not written completely cannot have run, so the outcome
   * is {@code CONNECT_FAILED}. Any other request may have run, so the outcome is {@code RESET}.
   */
  @Override
  protected void broken() {
    if (exchange != null
        && parser.atStart()
        && loop.now() - exchangeStartedAtMicros <= pool.connectTimeout()) {
      pool.recordReuse(idleBeforeExchangeMicros, true);
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
