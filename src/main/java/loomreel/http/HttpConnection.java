package loomreel.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import loomreel.io.ByteConnection;
import loomreel.io.EventLoop;

/** A connection that receives and parses HTTP/1.1 requests or responses. Owns its parser. */
public abstract class HttpConnection extends ByteConnection {
  protected final HttpMessageParser parser;

  private boolean hasPipelinedInput;

  /**
   * Takes ownership of a channel.
   *
   * @param channel the channel, in non-blocking mode
   * @param connected true if the channel is connected, false if its connect is in progress
   * @param receivesRequests true if requests are received, false if responses are
   * @throws IOException if the channel is closed
   */
  protected HttpConnection(
      EventLoop loop, SocketChannel channel, boolean connected, boolean receivesRequests)
      throws IOException {
    super(loop, channel, connected);
    parser = new HttpMessageParser(loop.pool(), receivesRequests);
  }

  /**
   * Returns whether the read that completed the current message has also returned bytes after the
   * end of the message.
   */
  protected final boolean hasPipelinedInput() {
    return hasPipelinedInput;
  }

  /**
   * Called with each complete message. The implementation takes ownership of the body of the
   * message and must release it.
   */
  protected abstract void received(HttpMessage message);

  /**
   * Called at most once for each response, when its head has arrived and its body is incomplete or
   * malformed. Not called for interim responses. Does nothing by default.
   */
  protected void headReceived(int status) {}

  /** Called when the parser has rejected the input. The connection can read no further message. */
  protected abstract void malformed(BadMessageException error);

  /**
   * Returns whether another message may be parsed now. If this method returns false, {@link
   * #bytesReceived} leaves the rest of the input in the buffer. A subclass that needs this input
   * later overrides {@link #bytesReceived} and stores the input. Returns true by default.
   */
  protected boolean acceptsMessages() {
    return true;
  }

  @Override
  protected void bytesReceived(ByteBuffer in) {
    try {
      while (!isClosed() && acceptsMessages() && in.hasRemaining()) {
        HttpMessage message = parser.feed(in);
        hasPipelinedInput = in.hasRemaining();
        if (message != null) {
          received(message);
        } else {
          reportHead();
        }
      }
    } catch (BadMessageException e) {
      reportHead();
      malformed(e);
    }
  }

  private void reportHead() {
    if (parser.testAndClearHeadReceived()) {
      headReceived(parser.responseStatus());
    }
  }

  /** Completes a response whose body extends to the end of the input. */
  @Override
  protected void inputEnded() {
    HttpMessage last = parser.inputEnded();
    if (last != null) {
      received(last);
    }
  }

  @Override
  public void close() {
    if (!isClosed()) {
      parser.release();
      super.close();
    }
  }
}
