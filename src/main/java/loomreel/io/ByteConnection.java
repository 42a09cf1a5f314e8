package loomreel.io;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection without knowledge of the application protocol. It passes input bytes to {@link
 * #bytesReceived} as they are read, and writes buffered output bytes as the channel accepts them.
 * Owns its channel and its output buffers until {@link #close}. Used on the event loop's thread
 * only.
 */
public abstract class ByteConnection implements EventLoop.Handler {
  protected final EventLoop loop;
  protected final SocketChannel channel;

  /** The output that has not been written to the channel yet. */
  protected final ByteQueue out;

  private final SelectionKey selectionKey;
  private boolean connected;
  private boolean readingPaused;
  private boolean closed;

  /**
   * Takes ownership of a channel and registers it with the loop.
   *
   * @param channel the channel, in non-blocking mode
   * @param connected true if the channel is connected, false if its connect is in progress
   * @throws IOException if the channel is closed
   */
  protected ByteConnection(EventLoop loop, SocketChannel channel, boolean connected)
      throws IOException {
    this.loop = loop;
    this.channel = channel;
    this.connected = connected;
    out = new ByteQueue(loop.pool());
    selectionKey =
        channel.register(
            loop.selector(), connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
  }

  /**
   * Called with the bytes of one read. Bytes that the implementation leaves in the buffer are
   * discarded after the call.
   */
  protected abstract void bytesReceived(ByteBuffer in);

  /**
   * Called when the end of the input is reached because the peer has ended its output. {@link
   * #broken()} follows, unless this call has closed the connection. Does nothing by default.
   */
  protected void inputEnded() {}

  /**
   * Called when the connection cannot be used any more: the end of the input is reached, a read or
   * write has failed, or the connect has failed. Not called if this side has already closed the
   * connection. After the call, the connection is closed on this side.
   */
  protected abstract void broken();

  /** Called after each flush that leaves no output to be written, even if there was none before. */
  protected abstract void flushed();

  /** Returns whether the connect has completed. Does not change when the connection is closed. */
  protected final boolean isConnected() {
    return connected;
  }

  /** Returns whether this side has closed the connection. */
  public final boolean isClosed() {
    return closed;
  }

  @Override
  public final void ready(SelectionKey key) {
    try {
      if (!connected) {
        connected = channel.finishConnect();
        flush();
      } else if (key.isWritable()) {
        flush();
      }
      if (!closed && key.isReadable()) {
        readInto(loop.readBuffer().clear());
      }
    } catch (IOException e) {
      handleDisconnect();
    }
  }

  private int readInto(ByteBuffer in) throws IOException {
    int bytesRead = channel.read(in);
    in.flip();
    if (bytesRead >= 0) {
      bytesReceived(in);
    } else {
      inputEnded();
      handleDisconnect();
    }
    return bytesRead;
  }

  /**
   * Writes as much output as the channel accepts. The rest is written when the event loop reports
   * that the channel is writable. Has no effect while the connect is in progress or after {@link
   * #close}.
   */
  protected final void flush() {
    if (!connected || closed) {
      return;
    }
    boolean complete;
    try {
      complete = out.writeTo(channel);
    } catch (IOException e) {
      handleDisconnect();
      return;
    }
    int readOperation = readingPaused ? 0 : SelectionKey.OP_READ;
    int writeOperation = complete ? 0 : SelectionKey.OP_WRITE;
    selectionKey.interestOps(readOperation | writeOperation);
    if (complete) {
      flushed();
    }
  }

  /**
   * Pauses or resumes reading. Writing continues in both cases.
   *
   * @param pause true to pause, false to resume
   */
  protected final void pauseReading(boolean pause) {
    readingPaused = pause;
    if (closed) {
      return;
    }
    int operations = selectionKey.interestOps();
    selectionKey.interestOps(
        pause ? operations & ~SelectionKey.OP_READ : operations | SelectionKey.OP_READ);
  }

  /**
   * Reads available bytes once, without waiting for the selector. Uses a separate buffer, because
   * the loop's read buffer may be in use. Closes the connection if the end of the input is reached
   * or the read fails.
   *
   * @return true if bytes were read, in which case more bytes may be available; false if no bytes
   *     were available, at the end of the input, or if the read has failed
   */
  public final boolean readNow() {
    ByteBuffer in = loop.pool().acquire();
    try {
      return readInto(in) > 0;
    } catch (IOException e) {
      handleDisconnect();
      return false;
    } finally {
      loop.pool().release(in);
    }
  }

  /**
   * Shuts down the output side of the connection. Input can still be read. Closes the connection if
   * the shutdown fails.
   */
  protected final void endOutput() {
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      close();
    }
  }

  /**
   * Called when this connection is evicted, as one of the {@link StalledConnections}, to release
   * its buffers at once. Closes the connection by default.
   */
  protected void evict() {
    close();
  }

  private void handleDisconnect() {
    if (!closed) {
      broken();
      close();
    }
  }

  /**
   * Closes the connection from this side and discards output that is not written yet. Has no effect
   * if this side has already closed the connection.
   */
  public void close() {
    if (!closed) {
      closed = true;
      loop.stalledConnections().remove(this);
      out.release();
      selectionKey.cancel();
      try {
        channel.close();
      } catch (IOException e) {
        // Ignored: the file descriptor is released even if the close fails.
      }
    }
  }
}
