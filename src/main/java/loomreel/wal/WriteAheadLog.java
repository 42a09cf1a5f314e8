package loomreel.wal;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;

/**
 * A write-ahead log of records, stored in the segments of a directory that one process at a time
 * has locked.
 *
 * <p>When {@link #write} has returned and there is no {@link #fault}, all appended records survive
 * the end of the process. When {@link #whenSynced} has run its action, they also survive a power
 * failure. All methods are called on one thread, and the actions run on this thread as well. The
 * thread of {@link GroupCommitter} waits for the disk.
 */
public final class WriteAheadLog implements Closeable {
  /** Receives the records of earlier processes. */
  public interface Reader {
    /**
     * Called for each record.
     *
     * @param segment the number of the segment that contains the record
     * @param sameBoot whether the machine is known not to have rebooted since the record was
     *     written; if not, later records may be missing
     * @throws IOException if the content cannot be used, which ends the reading of the log
     */
    void record(int segment, boolean sameBoot, byte[] content) throws IOException;
  }

  /**
   * The initial size of the buffer, in bytes. The buffered records are written when the next record
   * does not fit.
   */
  private static final int BUFFER_BYTES = 256 * 1024;

  private static final int FIRST_SEGMENT = 1;

  // Faktory clients receive these texts in error replies.
  private static final String WRITE_FAILED = "cannot be written: ";
  private static final String SYNC_FAILED = "the disk does not take it over: ";

  private final SegmentDirectory directory;
  private final long segmentBytes;
  private final GroupCommitter committer;

  /** The size of each segment in bytes, by the number of the segment. */
  private final TreeMap<Integer, Long> segmentSizes;

  private final SyncWaiters waiters = new SyncWaiters();

  /** Records that are appended but not yet written. */
  private ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);

  /** The file of the current segment; null before {@link #open}. */
  private FileChannel channel;

  /** The position of the log: the number of bytes that this process has appended. */
  private long appendedPosition;

  /** The position up to which a sync has been requested. */
  private long syncRequestedPosition;

  /** The reason why records cannot be stored; empty if they can be stored. */
  private Optional<String> fault = Optional.empty();

  /** Whether a sync has failed, after which the fault is permanent. */
  private boolean hasSyncFailed;

  private int truncatedBytes;

  /**
   * Locks the directory of a log, and creates it if it does not exist.
   *
   * @param segmentBytes the size, in bytes, beyond which a segment is full and the next one is
   *     opened
   * @param loop runs tasks on the thread that calls the methods of this log
   * @throws IOException if the directory cannot be used, or another process has locked it
   */
  public WriteAheadLog(Path directory, long segmentBytes, Executor loop) throws IOException {
    this.directory = SegmentDirectory.lock(directory);
    this.segmentBytes = segmentBytes;
    segmentSizes = new TreeMap<>(this.directory.sizes());
    committer =
        new GroupCommitter(
            position -> loop.execute(() -> waiters.synced(position)),
            failure -> loop.execute(() -> syncFailed(failure)));
  }

  /**
   * Reads all records of earlier processes, in order, and opens a segment for this process. Each
   * segment is read up to the first byte that does not belong to a complete record, because a
   * process that is killed may leave its last record truncated.
   *
   * @throws IOException if a segment cannot be read, or none can be opened
   */
  public void open(Reader reader) throws IOException {
    for (int segment : segmentSizes.keySet()) {
      ByteBuffer content = directory.read(segment);
      Optional<String> bootId = SegmentDirectory.readHeader(content);
      if (bootId.isPresent()) {
        readRecords(segment, directory.isThisBoot(bootId.get()), content, reader);
      }
      truncatedBytes += content.remaining();
    }
    openNextSegment();
  }

  private static void readRecords(int segment, boolean sameBoot, ByteBuffer content, Reader reader)
      throws IOException {
    Optional<byte[]> record = LogRecord.readNext(content);
    while (record.isPresent()) {
      reader.record(segment, sameBoot, record.get());
      record = LogRecord.readNext(content);
    }
  }

  /**
   * Returns the number of bytes at the ends of the segments of earlier processes that did not
   * belong to a complete record.
   */
  public int truncatedBytes() {
    return truncatedBytes;
  }

  private void openNextSegment() throws IOException {
    int nextSegment = segmentSizes.isEmpty() ? FIRST_SEGMENT : current() + 1;
    FileChannel nextChannel = directory.create(nextSegment);
    if (channel != null) {
      committer.syncAndClose(channel, appendedPosition);
    }
    channel = nextChannel;
    segmentSizes.put(nextSegment, (long) directory.headerBytes());
  }

  /** Returns the number of the current segment, to which records are appended. */
  public int current() {
    return segmentSizes.lastKey();
  }

  /** Returns the number of the oldest segment. */
  public int oldest() {
    return segmentSizes.firstKey();
  }

  /**
   * Returns the total size of all segments and of the records that are not yet written, in bytes.
   */
  public long bytes() {
    return segmentSizes.values().stream().mapToLong(Long::longValue).sum() + buffer.position();
  }

  /** Returns the reason why records cannot be stored at present; empty if they can be stored. */
  public Optional<String> fault() {
    return fault;
  }

  /**
   * Appends a record to the buffer. It is in no file before {@link #write}.
   *
   * @return the number of the segment that will contain the record
   * @throws IllegalArgumentException if the content is empty or longer than the limit for a record
   */
  public int append(byte[] content) {
    byte[] record = LogRecord.frame(content);
    if (buffer.remaining() < record.length) {
      write();
    }
    if (buffer.remaining() < record.length) {
      // Nothing could be written, or the record is larger than the buffer.
      ByteBuffer larger = ByteBuffer.allocate(buffer.position() + record.length + BUFFER_BYTES);
      buffer = larger.put(buffer.flip());
    }
    buffer.put(record);
    appendedPosition += record.length;
    return current();
  }

  /**
   * Writes all appended records to the operating system. If this fails, they stay buffered for the
   * next call, and {@link #fault()} returns the reason. If the segment is full and the next one
   * cannot be opened, {@link #fault()} also returns the reason, and the next call tries again.
   */
  public void write() {
    if (buffer.position() == 0 && !isSegmentFull()) {
      return;
    }
    try {
      writeBuffer();
      if (isSegmentFull()) {
        openNextSegment();
      }
      fault = hasSyncFailed ? fault : Optional.empty();
    } catch (IOException e) {
      fault = Optional.of(WRITE_FAILED + e.getMessage());
    }
  }

  private void writeBuffer() throws IOException {
    long sizeBefore = segmentSizes.get(current());
    int length = buffer.position();
    buffer.flip();
    try {
      while (buffer.hasRemaining()) {
        channel.write(buffer, sizeBefore + buffer.position());
      }
    } catch (IOException e) {
      // The next call writes the complete buffer again, over the part that was written.
      buffer.position(length).limit(buffer.capacity());
      throw e;
    }
    buffer.clear();
    segmentSizes.put(current(), sizeBefore + length);
  }

  private boolean isSegmentFull() {
    return segmentSizes.get(current()) > segmentBytes;
  }

  /**
   * Writes all appended records, requests their sync, and runs an action once all of them survive a
   * power failure. Runs it at once if they already do.
   */
  public void whenSynced(Runnable action) {
    sync();
    waiters.runWhenSynced(appendedPosition, action);
  }

  /** Writes all appended records and requests their sync, without waiting for it. */
  public void sync() {
    write();
    if (buffer.position() == 0 && syncRequestedPosition < appendedPosition) {
      syncRequestedPosition = appendedPosition;
      committer.force(channel, appendedPosition);
    }
  }

  private void syncFailed(IOException failure) {
    hasSyncFailed = true;
    fault = Optional.of(SYNC_FAILED + failure.getMessage());
  }

  /**
   * Deletes the oldest segment. Only the oldest one can be deleted, because a later record may
   * revoke a record of an earlier segment and must not be deleted before it.
   *
   * @throws IllegalStateException if the oldest segment is the current one
   * @throws UncheckedIOException if the file of the segment cannot be deleted
   */
  public void dropOldest() {
    int segment = oldest();
    if (segment == current()) {
      throw new IllegalStateException(
          "segment " + segment + " is the current segment and cannot be deleted");
    }
    try {
      directory.delete(segment);
      segmentSizes.remove(segment);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Writes and syncs all records, and unlocks the directory. Actions that still wait for a sync do
   * not run any more.
   *
   * @throws IOException if records cannot be stored
   */
  @Override
  public void close() throws IOException {
    write();
    committer.close();
    if (channel != null) {
      channel.force(false);
      channel.close();
    }
    directory.close();
    if (fault.isPresent()) {
      throw new IOException(fault.get());
    }
  }
}
