package loomreel.io;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Tests a queue of bytes that spans several pooled buffers. */
class ByteQueueTest {
  /** The length of the content, in bytes. The content fills two buffers and a part of a third. */
  private static final int LENGTH = 2 * BufferPool.SIZE + 100;

  /** A pool that is scarce if the three buffers of the content are acquired. */
  private final BufferPool pool = new BufferPool(3);

  private final ByteQueue queue = new ByteQueue(pool);
  private final byte[] content = new byte[LENGTH];

  ByteQueueTest() {
    // Neighbouring bytes and bytes at the same place of two buffers differ, so that a comparison
    // detects bytes in a wrong place.
    for (int i = 0; i < LENGTH; i++) {
      content[i] = (byte) (i * 31 + i / 256);
    }
  }

  /** A channel that accepts a limited number of bytes in total. */
  private static final class LimitedChannel implements WritableByteChannel {
    private final ByteArrayOutputStream accepted = new ByteArrayOutputStream();
    private int capacity;

    @Override
    public int write(ByteBuffer source) {
      int size = Math.min(capacity, source.remaining());
      for (int i = 0; i < size; i++) {
        accepted.write(source.get());
      }
      capacity -= size;
      return size;
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void close() {}
  }

  @Test
  void aPartialWriteIsContinuedWhereItStopped() throws Exception {
    LimitedChannel channel = new LimitedChannel();
    queue.append(content);

    channel.capacity = BufferPool.SIZE + 7;
    assertFalse(queue.writeTo(channel));
    assertEquals(LENGTH - BufferPool.SIZE - 7, queue.length());
    channel.capacity = LENGTH;
    assertTrue(queue.writeTo(channel));

    assertArrayEquals(content, channel.accepted.toByteArray());
  }

  @Test
  void aCopyOfAPartlyWrittenQueueHasTheUnwrittenBytes() throws Exception {
    LimitedChannel channel = new LimitedChannel();
    queue.append(content);
    channel.capacity = 10;
    queue.writeTo(channel);

    ByteQueue copy = new ByteQueue(pool);
    copy.append(queue);

    assertArrayEquals(Arrays.copyOfRange(content, 10, LENGTH), copy.toArray());
    assertArrayEquals(copy.toArray(), queue.toArray());
  }

  @Test
  void appendConsumesNoMoreThanTheLimit() {
    ByteBuffer source = ByteBuffer.wrap(content);

    queue.append(source, 5);

    assertEquals(5, queue.length());
    assertEquals(5, source.position());
  }

  @Test
  void releaseReturnsAllBuffers() {
    queue.append(content);
    assertTrue(pool.isScarce());

    queue.release();

    assertFalse(pool.isScarce());
    assertEquals(0, queue.length());
  }
}
