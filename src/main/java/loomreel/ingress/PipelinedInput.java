package loomreel.ingress;

import java.nio.ByteBuffer;
import loomreel.http.HttpMessageParser;
import loomreel.io.BufferPool;
import loomreel.io.ByteQueue;

/**
 * The input that a client sends behind the request that is being processed (HTTP pipelining).
 *
 * <p>Input is buffered up to a limit and discarded beyond it. Discarded input must still be read,
 * because it precedes the end of the stream, by which a client disconnects.
 *
 * <p>Owned by a {@link ClientConnection}, which calls {@link #release} when it closes.
 */
final class PipelinedInput {
  /**
   * The maximum number of buffered bytes, which is sufficient for one more request of the maximum
   * size.
   */
  private static final int MAX_BUFFERED_BYTES = HttpMessageParser.MAX_BODY + BufferPool.SIZE;

  /** The maximum number of discarded bytes. Once it is exceeded, no further input is read. */
  private static final int MAX_DISCARDED_BYTES = 256 * 1024;

  private final BufferPool pool;
  private final ByteQueue buffered;
  private int discardedBytes;

  PipelinedInput(BufferPool pool) {
    this.pool = pool;
    buffered = new ByteQueue(pool);
  }

  /**
   * Buffers input, or discards it together with all buffered input if the limit is exceeded. The
   * limit is lower, {@link BufferPool#SIZE} bytes, while buffers are scarce. After input was
   * discarded, all further input is discarded as well, because it cannot be parsed without the
   * missing part.
   *
   * @return whether the input was buffered
   */
  boolean add(ByteBuffer in) {
    int maxBytes = pool.isScarce() ? BufferPool.SIZE : MAX_BUFFERED_BYTES;
    if (discardedBytes == 0 && buffered.length() + in.remaining() <= maxBytes) {
      buffered.append(in, in.remaining());
      return true;
    }
    discardedBytes += buffered.length() + in.remaining();
    buffered.release();
    return false;
  }

  /** Discards input that arrives after the last response on the connection. */
  void discard(ByteBuffer in) {
    discardedBytes += in.remaining();
  }

  /** Returns whether more than the maximum number of bytes was discarded. */
  boolean exceedsDiscardLimit() {
    return discardedBytes > MAX_DISCARDED_BYTES;
  }

  boolean isEmpty() {
    return buffered.length() == 0;
  }

  /** Removes and returns all buffered bytes, in the order of their arrival. */
  byte[] takeAll() {
    byte[] all = buffered.toArray();
    buffered.release();
    return all;
  }

  /** Returns the buffers to the pool. */
  void release() {
    buffered.release();
  }
}
