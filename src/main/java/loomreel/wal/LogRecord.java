package loomreel.wal;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.zip.CRC32C;

/**
 * The format of a record in a segment. A record consists of a header and the content. The header
 * has the length of the content (four bytes) and the CRC-32C checksum of the content (four bytes).
 * Numbers are big-endian.
 */
final class LogRecord {
  private static final int CHECKSUM_OFFSET = Integer.BYTES;

  /** The size of the header of a record, in bytes. */
  static final int HEADER_BYTES = 2 * Integer.BYTES;

  /** The maximum length of the content, in bytes. A header with a larger length is invalid. */
  static final int MAX_CONTENT_BYTES = 1 << 20;

  private LogRecord() {}

  /**
   * Returns the record with the given content, including its header.
   *
   * @throws IllegalArgumentException if the content is empty or longer than {@link
   *     #MAX_CONTENT_BYTES}, because {@link #readNext} does not accept records of these lengths
   */
  static byte[] frame(byte[] content) {
    if (content.length == 0 || content.length > MAX_CONTENT_BYTES) {
      throw new IllegalArgumentException(
          "invalid length of record content: " + content.length + " bytes");
    }
    return ByteBuffer.allocate(HEADER_BYTES + content.length)
        .putInt(content.length)
        .putInt(checksum(content))
        .put(content)
        .array();
  }

  /**
   * Returns the size of the record that begins at the current position of a buffer, including its
   * header, in bytes. Returns empty if no valid header begins there.
   */
  static OptionalInt recordBytes(ByteBuffer segment) {
    if (segment.remaining() < HEADER_BYTES) {
      return OptionalInt.empty();
    }
    int length = segment.getInt(segment.position());
    return length > 0 && length <= MAX_CONTENT_BYTES
        ? OptionalInt.of(HEADER_BYTES + length)
        : OptionalInt.empty();
  }

  /**
   * Reads the record that begins at the current position of a buffer, and moves the position to the
   * end of the record. If no complete and valid record begins there, the position does not change.
   *
   * @param segment the buffer, with the content of a segment
   * @return the content of the record; empty if no complete and valid record begins at the position
   */
  static Optional<byte[]> readNext(ByteBuffer segment) {
    OptionalInt recordBytes = recordBytes(segment);
    if (recordBytes.isEmpty() || segment.remaining() < recordBytes.getAsInt()) {
      return Optional.empty();
    }
    int start = segment.position();
    int length = recordBytes.getAsInt() - HEADER_BYTES;
    byte[] content = new byte[length];
    segment.get(start + HEADER_BYTES, content);
    if (checksum(content) != segment.getInt(start + CHECKSUM_OFFSET)) {
      return Optional.empty();
    }
    segment.position(start + HEADER_BYTES + length);
    return Optional.of(content);
  }

  private static int checksum(byte[] content) {
    CRC32C checksum = new CRC32C();
    checksum.update(content);
    return (int) checksum.getValue();
  }
}
