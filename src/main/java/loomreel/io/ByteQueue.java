package loomreel.io;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/**
 * A queue of bytes that are stored in pooled buffers. Bytes are appended at the end and written to
 * a channel from the front. The queue owns its buffers until they are written or {@link #release}
 * is called. Used on the event loop's thread only.
 */
public final class ByteQueue {
  private final BufferPool pool;

  /** The buffers in the order of their bytes. The position of a buffer is the end of its data. */
  private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>(2);

  /** The number of bytes of the first buffer that have already been written to a channel. */
  private int frontOffset;

  private int length;

  /**
   * Creates an empty queue.
   *
   * @param pool the pool that buffers are acquired from and released to
   */
  public ByteQueue(BufferPool pool) {
    this.pool = pool;
  }

  /** Returns the number of bytes in the queue. */
  public int length() {
    return length;
  }

  /**
   * Appends up to {@code maxBytes} bytes of a buffer, and advances the position of the buffer by
   * the number of appended bytes.
   */
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

  /** Appends a copy of an array. */
  public void append(byte[] source) {
    append(ByteBuffer.wrap(source), source.length);
  }

  /** Appends a text, encoded in ISO 8859-1 like the heads of HTTP messages. */
  public void append(String text) {
    append(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Appends a copy of the content of another queue. The other queue does not change. */
  public void append(ByteQueue other) {
    int offset = other.frontOffset;
    for (ByteBuffer buffer : other.buffers) {
      ByteBuffer data = buffer.duplicate().flip().position(offset);
      append(data, data.remaining());
      offset = 0;
    }
  }

  /** Returns whether the content begins with some bytes, which fit into one buffer. */
  public boolean startsWith(byte[] prefix) {
    if (length < prefix.length) {
      return false;
    }
    ByteBuffer first = buffers.peekFirst().duplicate().flip().position(frontOffset);
    return first.remaining() >= prefix.length
        && first.limit(first.position() + prefix.length).equals(ByteBuffer.wrap(prefix));
  }

  /** Returns a copy of the content. */
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
   * Writes as many bytes from the front as the channel accepts. Buffers that are written completely
   * are released to the pool.
   *
   * @return whether the queue is empty afterwards
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

  /** Releases all buffers to the pool. The queue is empty afterwards and can be used again. */
  public void release() {
    buffers.forEach(pool::release);
    buffers.clear();
    frontOffset = 0;
    length = 0;
  }
}
