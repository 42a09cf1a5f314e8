package loomreel.io;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/**
 * A queue of bytes in pooled buffers: appended at the end, written from the front. Owns its buffers
 * until they are written or {@link #release} is called. Used on the event loop's thread only.
 */
public final class ByteQueue {
  private final BufferPool pool;

  /** In write mode: each one's position is the end of its data. */
  private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>(2);

  /** How many bytes of the first buffer have been written to a channel. */
  private int frontOffset;

  private int length;

  /**
   * Creates an empty queue.
   *
   * @param pool the owner of the buffers
   */
  public ByteQueue(BufferPool pool) {
    this.pool = pool;
  }

  /** The number of bytes in the queue. */
  public int length() {
    return length;
  }

  /** Moves up to {@code maxBytes} bytes from a buffer to the end of the queue. */
  public void append(ByteBuffer source, int maxBytes) {
    int remaining = Math.min(maxBytes, source.remaining());
    while (remaining > 0) {
      ByteBuffer last = buffers.peekLast();
      if (last == null || !last.hasRemaining()) {
        last = pool.acquire();
        buffers.addLast(last);
      }
      int size = Math.min(remaining, last.remaining());
      last.put(source.slice(source.position(), size));
      source.position(source.position() + size);
      remaining -= size;
      length += size;
    }
  }

  /** Appends a copy of these bytes. */
  public void append(byte[] source) {
    append(ByteBuffer.wrap(source), source.length);
  }

  /** Appends a text in ISO 8859-1, the encoding of HTTP heads. */
  public void append(String text) {
    append(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Appends a copy of the content of another queue. */
  public void append(ByteQueue other) {
    int offset = other.frontOffset;
    for (ByteBuffer buffer : other.buffers) {
      ByteBuffer data = buffer.duplicate().flip().position(offset);
      append(data, data.remaining());
      offset = 0;
    }
  }

  /** A copy of the content. */
  public byte[] toArray() {
    byte[] content = new byte[length];
    int copied = 0;
    int offset = frontOffset;
    for (ByteBuffer buffer : buffers) {
      ByteBuffer data = buffer.duplicate().flip().position(offset);
      int size = data.remaining();
      data.get(content, copied, size);
      copied += size;
      offset = 0;
    }
    return content;
  }

  /**
   * Writes as much from the front as the channel accepts; written buffers return to the pool.
   *
   * @return whether the queue is empty now
   * @throws IOException if the channel fails
   */
  public boolean writeTo(WritableByteChannel channel) throws IOException {
    while (length > 0) {
      ByteBuffer data = buffers.peekFirst().duplicate().flip().position(frontOffset);
      int written = channel.write(data);
      frontOffset += written;
      length -= written;
      if (data.hasRemaining()) {
        return false;
      }
      pool.release(buffers.pollFirst());
      frontOffset = 0;
    }
    return true;
  }

  /** Returns all buffers to the pool; the queue is empty afterwards and may be used again. */
  public void release() {
    buffers.forEach(pool::release);
    buffers.clear();
    frontOffset = 0;
    length = 0;
  }
}
