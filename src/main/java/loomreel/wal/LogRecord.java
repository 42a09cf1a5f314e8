package loomreel.wal;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The format of a record in a segment: four bytes of length, four bytes of CRC-32C over the
 * content, and the content. Numbers are big-endian.
 */
final class LogRecord {
  private static final int CHECKSUM_OFFSET = Integer.BYTES;

  /** Bytes before the content. */
  static final int HEADER_BYTES = 2 * Integer.BYTES;

  /** A header with a greater length is no record. */
  static final int MAX_CONTENT_BYTES = 1 << 20;

  private LogRecord() {}

  /**
   * Returns a record in the format of a segment.
   *
   * @throws IllegalArgumentException if the content is empty or too long to be read back
   */
  static byte[] frame(byte[] content) {
    if (content.length == 0 || content.length > MAX_CONTENT_BYTES) {
      throw new IllegalArgumentException("a record of " + content.length + " bytes");
    }
    return ByteBuffer.allocate(HEADER_BYTES + content.length)
        .putInt(content.length)
        .putInt(checksum(content))
        .put(content)
        .array();
  }

  /**
   * Reads the content of the record that begins at the position of a segment, and moves the
   * position to its end.
   *
   * @return empty where no complete record begins there; the position does not change then
   */
  static Optional<byte[]> readNext(ByteBuffer segment) {
    if (segment.remaining() < HEADER_BYTES) {
      return Optional.empty();
    }
    int start = segment.position();
    int length = segment.getInt(start);
    boolean isPlausible = length > 0 && length <= MAX_CONTENT_BYTES;
    if (!isPlausible || segment.remaining() - HEADER_BYTES < length) {
      return Optional.empty();
    }
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
