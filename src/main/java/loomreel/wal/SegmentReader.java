package loomreel.wal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Reads the records of one segment in order. Holds a small part of the segment in memory at a time:
 * a segment may be larger than the heap. Owns the file until {@link #close}.
 */
final class SegmentReader implements Closeable {
  /** The initial size of the window, in bytes. A longer record enlarges the window. */
  private static final int WINDOW_BYTES = 128 * 1024;

  private final FileChannel file;

  /** The part of the segment that is read but not consumed. */
  private ByteBuffer window = ByteBuffer.allocate(WINDOW_BYTES).flip();

  /** Opens a segment. Nothing is read before the first call of another method. */
  SegmentReader(Path segment) throws IOException {
    file = FileChannel.open(segment, StandardOpenOption.READ);
  }

  /**
   * Reads the header line. If the segment does not begin with a header line, nothing is consumed.
   *
   * @return the boot id in the header line; empty if there is no header line
   */
  Optional<String> readHeader() throws IOException {
    fill(SegmentDirectory.MAX_HEADER_BYTES);
    return SegmentDirectory.readHeader(window);
  }

  /**
   * Reads the next record.
   *
   * @return the content of the record; empty if no complete and valid record follows, in which case
   *     nothing is consumed
   */
  Optional<byte[]> readRecord() throws IOException {
    fill(LogRecord.HEADER_BYTES);
    OptionalInt recordBytes = LogRecord.recordBytes(window);
    if (recordBytes.isPresent()) {
      fill(recordBytes.getAsInt());
    }
    return LogRecord.readNext(window);
  }

  /** Returns the number of bytes of the segment that are not consumed. */
  long remainingBytes() throws IOException {
    return window.remaining() + file.size() - file.position();
  }

  /** Reads until the window holds a number of bytes, or up to the end of the segment. */
  private void fill(int bytes) throws IOException {
    if (window.remaining() >= bytes) {
      return;
    }
    if (bytes > window.capacity()) {
      window = ByteBuffer.allocate(bytes).put(window);
    } else {
      window.compact();
    }
    int read = 0;
    while (window.hasRemaining() && read >= 0) {
      read = file.read(window);
    }
    window.flip();
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
