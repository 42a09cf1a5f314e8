package loomreel.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import loomreel.io.BufferPool;
import loomreel.io.ByteQueue;

/**
 * Collects the bytes of the head of a message, up to the empty line that ends the head. Owns the
 * buffers of an incomplete head until {@link #release}.
 */
final class HeadReader {
  /** The last four bytes of every head: two line ends, CRLF CRLF. */
  private static final int END_OF_HEAD = 0x0d0a0d0a;

  private final BufferPool pool;

  /** The bytes of the incomplete head; null if no byte of a head has arrived. */
  private ByteQueue bytes;

  /**
   * The last four bytes of the incomplete head. The lowest 8 bits are the byte that arrived last.
   */
  private int lastFourBytes;

  HeadReader(BufferPool pool) {
    this.pool = pool;
  }

  /** Returns whether no byte of a head has arrived. */
  boolean isEmpty() {
    return bytes == null;
  }

  /**
   * Consumes bytes up to the end of the head. Empty lines before the head are skipped.
   *
   * @return the head, including the empty line that ends the head; null if all bytes are consumed
   *     and the head is still incomplete
   * @throws BadMessageException if a line does not end in CRLF, or if the head is larger than
   *     {@link BufferPool#SIZE}
   */
  String read(ByteBuffer in) throws BadMessageException {
    if (bytes == null) {
      lastFourBytes = 0;
      skipLineEnds(in);
      if (!in.hasRemaining()) {
        return null;
      }
      bytes = new ByteQueue(pool);
    }
    append(in);
    if (lastFourBytes != END_OF_HEAD) {
      return null;
    }
    String head = new String(bytes.toArray(), StandardCharsets.ISO_8859_1);
    release();
    return head;
  }

  private static void skipLineEnds(ByteBuffer in) {
    while (in.hasRemaining() && (in.get(in.position()) == '\r' || in.get(in.position()) == '\n')) {
      in.get();
    }
  }

  private void append(ByteBuffer in) throws BadMessageException {
    int start = in.position();
    while (in.hasRemaining() && lastFourBytes != END_OF_HEAD) {
      byte next = in.get();
      if (next == '\n' && (lastFourBytes & 0xff) != '\r') {
        throw new BadMessageException(HttpStatus.BAD_REQUEST, "a line does not end in CRLF");
      }
      lastFourBytes = (lastFourBytes << Byte.SIZE) | (next & 0xff);
    }
    int size = in.position() - start;
    if (bytes.length() + size > BufferPool.SIZE) {
      throw new BadMessageException(HttpStatus.HEADER_FIELDS_TOO_LARGE, "head too large");
    }
    bytes.append(in.slice(start, size), size);
  }

  /** Releases the buffers of an incomplete head to the pool. */
  void release() {
    if (bytes != null) {
      bytes.release();
      bytes = null;
    }
  }
}
