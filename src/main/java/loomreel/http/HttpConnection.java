package loomreel.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import loomreel.io.ByteConnection;
import loomreel.io.EventLoop;

/** A connection that receives HTTP/1.1 requests or responses. Owns its parser. */
public abstract class HttpConnection extends ByteConnection {
  protected final HttpMessageParser parser;

  private boolean hasPipelinedInput;

  /**
   * Takes ownership of a channel.
   *
   * @param connected whether the channel is connected; else its connect is in progress
   * @param receivesRequests whether requests are received; else responses
   * @throws IOException if the channel is closed
   */
  protected HttpConnection(
      EventLoop loop, SocketChannel channel, boolean connected, boolean receivesRequests)
      throws IOException {
    super(loop, channel, connected);
    parser = new HttpMessageParser(loop.pool(), receivesRequests);
  }

  /** Whether bytes behind the message that is being received were read together with it. */
  protected final boolean hasPipelinedInput() {
    return hasPipelinedInput;
  }

  /** Called with each complete message; its body is to be released by this method. */
  protected abstract void received(HttpMessage message);

  /** Called once for a response whose head arrives before the end of its body. */
  protected void headReceived(int status) {}

  /** Called when the input is not a valid message. */
  protected abstract void malformed(BadMessageException error);

  /** Whether another message may be parsed now; else the remaining input is discarded. */
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
    if (parser.takeHeadReceived()) {
      headReceived(parser.responseStatus());
    }
  }

  /** Completes a response whose body ends with the connection. */
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
