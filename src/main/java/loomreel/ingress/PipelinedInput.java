package loomreel.ingress;

import java.nio.ByteBuffer;
import loomreel.http.HttpMessageParser;
import loomreel.io.BufferPool;
import loomreel.io.ByteQueue;

/**
 * The input that a client sends after the request that is being processed (HTTP pipelining).
 *
 * <p>Input is buffered up to a limit and discarded beyond the limit. Input must be read even if it
 * is discarded, because the end of the stream, which shows that the client has disconnected, can
 * only be read after it.
 *
 * <p>Owned by a {@link ClientConnection}, which calls {@link #release} when the connection closes.
 */
final class PipelinedInput {
  /**
   * The maximum number of buffered bytes, which is sufficient for one more request of the maximum
   * size.
   */
  private static final int MAX_BUFFERED_BYTES = HttpMessageParser.MAX_BODY + BufferPool.SIZE;

  /**
   * The maximum number of discarded bytes. Once more bytes have been discarded, no further input is
   * read.
   */
  private static final int MAX_DISCARDED_BYTES = 256 * 1024;

  private final BufferPool pool;
  private final ByteQueue buffered;
  private int discardedBytes;

  PipelinedInput(BufferPool pool) {
    this.pool = pool;
    buffered = new ByteQueue(pool);
  }

  /**
   * Buffers input. If more bytes than the limit would be buffered, discards the input together with
   * all buffered input. The limit is {@link #MAX_BUFFERED_BYTES} or, while buffers are scarce,
   * {@link BufferPool#SIZE} bytes. After input has been discarded, all further input is discarded
   * as well, because it cannot be parsed without the missing part.
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

  /** Returns the buffers of the buffered input to the buffer pool. */
  void release() {
    buffered.release();
  }
}
