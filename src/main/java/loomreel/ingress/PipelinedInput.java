package loomreel.ingress;

import java.nio.ByteBuffer;
import loomreel.http.HttpMessageParser;
import loomreel.io.BufferPool;
import loomreel.io.ByteQueue;

/**
 * The bytes that a client sends behind the request that is being served (HTTP pipelining).
 *
 * <p>They are buffered up to a bound and discarded beyond it. Discarded input still has to be read:
 * the end of the stream, by which a client disconnects, comes after it.
 *
 * <p>Owned by one {@link ClientConnection}, which calls {@link #release} when it closes.
 */
final class PipelinedInput {
  /** Enough for one more request of the largest size. */
  private static final int MAX_BUFFERED_BYTES = HttpMessageParser.MAX_BODY + BufferPool.SIZE;

  /** Input beyond this is not read at all. */
  private static final int MAX_DISCARDED_BYTES = 256 * 1024;

  private final BufferPool pool;
  private final ByteQueue buffered;
  private int discardedBytes;

  PipelinedInput(BufferPool pool) {
    this.pool = pool;
    buffered = new ByteQueue(pool);
  }

  /**
   * Buffers more input, or discards it together with what was buffered before if the bound is
   * exceeded. Once something was discarded, everything is: a gap makes the rest meaningless.
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

  /** Discards input that arrives after the last request was processed. */
  void discard(ByteBuffer in) {
    discardedBytes += in.remaining();
  }

  /** Whether more was discarded than the limit for one connection. */
  boolean exceedsDiscardLimit() {
    return discardedBytes > MAX_DISCARDED_BYTES;
  }

  boolean isEmpty() {
    return buffered.length() == 0;
  }

  /** Removes and returns the buffered bytes. */
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
