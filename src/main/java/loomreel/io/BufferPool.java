package loomreel.io;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * A pool of direct byte buffers of equal size. The caller that acquires a buffer owns it until it
 * releases it. Used on the event loop's thread only.
 */
public final class BufferPool {
  /** The capacity of each buffer, and the maximum size of the head of an HTTP message, in bytes. */
  public static final int SIZE = 8192;

  private final ArrayDeque<ByteBuffer> freeBuffers = new ArrayDeque<>();
  private final int scarcityThreshold;
  private int acquiredCount;

  /**
   * Creates an empty pool, which allocates buffers on demand.
   *
   * @param scarcityThreshold the number of acquired buffers from which on new message bodies are
   *     rejected
   */
  public BufferPool(int scarcityThreshold) {
    this.scarcityThreshold = scarcityThreshold;
  }

  /**
   * Returns an empty buffer, which is allocated if no buffer is free. The threshold does not limit
   * the number of acquired buffers: the users of the pool check {@link #isScarce}.
   */
  ByteBuffer acquire() {
    acquiredCount++;
    ByteBuffer buffer = freeBuffers.pollLast();
    return buffer == null ? ByteBuffer.allocateDirect(SIZE) : buffer.clear();
  }

  /** Returns a buffer to the pool. The caller must not use it afterwards. */
  void release(ByteBuffer buffer) {
    acquiredCount--;
    freeBuffers.addLast(buffer);
  }

  /**
   * Returns whether the threshold is reached, in which case further buffers are reserved for
   * responses and for work that was already accepted.
   */
  public boolean isScarce() {
    return acquiredCount >= scarcityThreshold;
  }
}
