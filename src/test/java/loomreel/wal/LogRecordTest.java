package loomreel.wal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the format of a record byte by byte, because earlier and later versions of the program read
 * the same records.
 */
class LogRecordTest {
  private static final byte[] CONTENT = "123456789".getBytes(StandardCharsets.US_ASCII);

  /**
   * The record with this content: the length 9, the published CRC-32C check value of the content,
   * and the content.
   */
  private static final byte[] RECORD =
      HexFormat.of().parseHex("00000009" + "e3069283" + "313233343536373839");

  @Test
  void aRecordConsistsOfLengthChecksumAndContent() {
    assertArrayEquals(RECORD, LogRecord.frame(CONTENT));
  }

  @Test
  void readingMovesThePositionToTheEndOfTheRecord() {
    ByteBuffer segment = ByteBuffer.wrap(RECORD);

    assertArrayEquals(CONTENT, LogRecord.readNext(segment).orElseThrow());
    assertEquals(RECORD.length, segment.position());
    assertTrue(LogRecord.readNext(segment).isEmpty());
  }

  // Offsets: the first byte of the length, of the checksum and of the content, and the last byte of
  // the content.
  @ParameterizedTest
  @ValueSource(ints = {0, 4, 8, 16})
  void aRecordWithAChangedByteIsNotRead(int offset) {
    byte[] changed = RECORD.clone();
    changed[offset] ^= 1;
    ByteBuffer segment = ByteBuffer.wrap(changed);

    assertTrue(LogRecord.readNext(segment).isEmpty());
    assertEquals(0, segment.position());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, LogRecord.MAX_CONTENT_BYTES + 1})
  void contentOfInvalidLengthIsRejected(int length) {
    assertThrows(IllegalArgumentException.class, () -> LogRecord.frame(new byte[length]));
  }
}
