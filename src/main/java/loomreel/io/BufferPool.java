package loomreel.io;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * A pool of direct byte buffers of equal size. A caller that acquires a buffer owns the buffer
 * until the caller releases it. Used on the event loop's thread only.
 */
public final class BufferPool {
  /**
   * The capacity of one buffer, in bytes. It is also the maximum size of the head of an HTTP
   * message.
   */
  public static final int SIZE = 8192;

  /** The number of buffers at which they are exhausted, as a multiple of the scarcity threshold. */
  private static final double EXHAUSTION_FACTOR = 1.5;

  private final ArrayDeque<ByteBuffer> freeBuffers = new ArrayDeque<>();
  private final int scarcityThreshold;
  private int acquiredCount;

  /**
   * Creates an empty pool, which allocates buffers on demand.
   *
   * @param scarcityThreshold the number of acquired buffers at which {@link #isScarce} starts to
   *     return true
   */
  public BufferPool(int scarcityThreshold) {
    this.scarcityThreshold = scarcityThreshold;
  }

  /**
   * Returns an empty buffer. If no buffer is free, allocates one. This method does not enforce the
   * scarcity threshold; the users of the pool check {@link #isScarce} and {@link #isExhausted}.
   */
  ByteBuffer acquire() {
    acquiredCount++;
    ByteBuffer buffer = freeBuffers.pollLast();
    return buffer == null ? ByteBuffer.allocateDirect(SIZE) : buffer.clear();
  }

  /** Returns a buffer to the pool. The caller must not use the buffer afterwards. */
  void release(ByteBuffer buffer) {
    acquiredCount--;
    freeBuffers.addLast(buffer);
  }

  /** Returns the size, in bytes, of the acquired buffers at which {@link #isScarce} is true. */
  public long scarceBytes() {
    return (long) scarcityThreshold * SIZE;
  }

  /**
   * Returns whether the number of acquired buffers has reached the scarcity threshold. Then {@link
   * StalledConnections} are evicted, and the pipelined input of an HTTP connection is limited to
   * {@link #SIZE} bytes.
   */
  public boolean isScarce() {
    return acquiredCount >= scarcityThreshold;
  }

  /**
   * Returns whether so many buffers are acquired that input is rejected: the body of an HTTP
   * message when bytes of it arrive, and an incomplete Faktory command of more than {@link #SIZE}
   * bytes. Output, such as responses, is not limited. Further buffers are left for output and for
   * short input.
   */
  public boolean isExhausted() {
    return acquiredCount >= scarcityThreshold * EXHAUSTION_FACTOR;
  }
}
