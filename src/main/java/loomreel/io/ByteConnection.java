package loomreel.io;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * One TCP connection, independent of its protocol: delivers bytes as they are read and writes
 * buffered bytes as the channel accepts them. Owns its channel and its output buffers until {@link
 * #close}. Used on the event loop's thread only.
 */
public abstract class ByteConnection implements EventLoop.Handler {
  protected final EventLoop loop;
  protected final SocketChannel channel;

  /** The bytes that are still to be written. */
  protected final ByteQueue out;

  private final SelectionKey selectionKey;
  private boolean connected;
  private boolean readingPaused;
  private boolean closed;

  /**
   * Takes ownership of a channel and registers it with the loop.
   *
   * @param connected whether the channel is connected; else its connect is in progress
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

  /** Called with bytes that were read; those that it does not consume are discarded. */
  protected abstract void bytesReceived(ByteBuffer in);

  /** Called at the end of input, before {@link #broken()}. */
  protected void inputEnded() {}

  /** Called when the peer has closed or reset the connection, which is closed here afterwards. */
  protected abstract void broken();

  /** Called when all output has been written. */
  protected abstract void flushed();

  protected final boolean isConnected() {
    return connected;
  }

  /** Whether this side has closed the connection. */
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
        readInto(loop.scratch().clear());
      }
    } catch (IOException e) {
      closeBroken();
    }
  }

  private int readInto(ByteBuffer in) throws IOException {
    int size = channel.read(in);
    in.flip();
    if (size >= 0) {
      bytesReceived(in);
    } else {
      inputEnded();
      closeBroken();
    }
    return size;
  }

  /** Writes as much output as the channel accepts; the loop writes the rest later. */
  protected final void flush() {
    if (!connected || closed) {
      return;
    }
    boolean complete;
    try {
      complete = out.writeTo(channel);
    } catch (IOException e) {
      closeBroken();
      return;
    }
    int readOperation = readingPaused ? 0 : SelectionKey.OP_READ;
    int writeOperation = complete ? 0 : SelectionKey.OP_WRITE;
    selectionKey.interestOps(readOperation | writeOperation);
    if (complete) {
      flushed();
    }
  }

  /** Pauses or resumes reading; writing goes on. */
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
   * Reads available bytes without waiting for the selector. Uses a buffer of its own, since the
   * loop's read buffer may be in use.
   *
   * @return whether bytes were read, so that there may be more; false at the end of input, after
   *     which the connection is closed
   */
  public final boolean readNow() {
    ByteBuffer in = loop.pool().acquire();
    try {
      return readInto(in) > 0;
    } catch (IOException e) {
      closeBroken();
      return false;
    } finally {
      loop.pool().release(in);
    }
  }

  /** Shuts the output down; input can still be read. */
  protected final void endOutput() {
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      close();
    }
  }

  private void closeBroken() {
    if (!closed) {
      broken();
      close();
    }
  }

  /** Closes the connection from this side; further calls do nothing. */
  public void close() {
    if (!closed) {
      closed = true;
      out.release();
      selectionKey.cancel();
      try {
        channel.close();
      } catch (IOException e) {
        // Nothing to do: the descriptor is released all the same.
      }
    }
  }
}
