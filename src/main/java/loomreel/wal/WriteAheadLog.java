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
 * A write-ahead log of records. The records are stored in segments, which are the files of one
 * directory. Only one process at a time can use the directory.
 *
 * <p>If {@link #write} has returned and there is no {@link #fault}, all appended records survive
 * the end of the process. When an action that was passed to {@link #whenSynced} runs, the records
 * that were appended before that call also survive a power failure.
 *
 * <p>All methods are called on one thread, and the actions run on the same thread. Records are
 * synced to the disk on another thread ({@link GroupCommitter}), and the calling thread does not
 * wait for these syncs. The calling thread waits for a sync in two cases only: in {@link #close},
 * and when a new segment is created, because the directory is then synced. {@link #open} creates a
 * segment. {@link #write}, and the methods that call it, create a segment if the current segment is
 * full after the write.
 */
public final class WriteAheadLog implements Closeable {
  /** Receives the records that earlier processes have appended to the log. */
  public interface Reader {
    /**
     * Called for each record, in the order in which the records were appended.
     *
     * @param segment the number of the segment that contains the record
     * @param sameBoot true if the record was certainly written since the last boot of the machine;
     *     false if the machine has rebooted since the write, or if this is unknown. If false,
     *     records that were appended after this record may be missing.
     * @param content the content of the record
     * @throws IOException if the content cannot be used; the reading of the log ends then
     */
    void record(int segment, boolean sameBoot, byte[] content) throws IOException;
  }

  /**
   * The initial size of the buffer, in bytes. If {@link #append} must enlarge the buffer for a
   * record, the larger buffer has this number of free bytes after the record. The buffer is
   * enlarged only if the record does not fit after an attempt to write the buffered records.
   */
  private static final int BUFFER_BYTES = 256 * 1024;

  private static final int FIRST_SEGMENT = 1;

  // Faktory clients receive these texts in error replies, after the words "jobs cannot be kept: ".
  // The message of the IOException follows. The first text means that the records of the log cannot
  // be written to the operating system or that the next segment cannot be opened. The second text
  // means that the written records cannot be synced to the disk.
  private static final String WRITE_FAILED = "cannot be written: ";
  private static final String SYNC_FAILED = "the disk does not take it over: ";

  private final SegmentDirectory directory;
  private final long segmentBytes;
  private final GroupCommitter committer;

  /** The sizes of all segments in bytes, by segment number, without the records in the buffer. */
  private final TreeMap<Integer, Long> segmentSizes;

  private final SyncWaiters waiters = new SyncWaiters();

  /** The records that are appended but not yet written. */
  private ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);

  /** The file of the current segment; null before {@link #open}. */
  private FileChannel channel;

  /**
   * The current position of the log, which is the number of bytes that this process has appended.
   * The headers of records count.
   */
  private long appendedPosition;

  /** The position up to which a sync has been requested. */
  private long syncRequestedPosition;

  /** The reason of the current fault; empty if there is no fault. */
  private Optional<String> fault = Optional.empty();

  /** Whether a sync has failed. If true, the fault is permanent. */
  private boolean hasSyncFailed;

  private int truncatedBytes;

  /**
   * Locks the directory of a log. Creates the directory if it does not exist. {@link #open} must be
   * called before the other methods.
   *
   * @param segmentBytes the size of a segment, in bytes, above which the segment is full; the next
   *     segment is then opened
   * @param loop runs tasks on the thread that calls the methods of this log
   * @throws IOException if the directory cannot be used, or if another process or another log of
   *     this process has locked it
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
   * Reads the records of earlier processes, in order, and opens a segment for this process. Each
   * segment is read up to the first record that is incomplete or invalid, because a process that is
   * killed may leave its last record truncated. A segment without a header line has no records.
   *
   * @throws IOException if a segment cannot be read, if the reader throws this exception, or if no
   *     segment can be opened for this process
   */
  public void open(Reader reader) throws IOException {
    for (int segment : segmentSizes.keySet()) {
      try (SegmentReader content = directory.read(segment)) {
        Optional<String> bootId = content.readHeader();
        if (bootId.isPresent()) {
          readRecords(segment, directory.isThisBoot(bootId.get()), content, reader);
        }
        truncatedBytes += (int) content.remainingBytes();
      }
    }
    openNextSegment();
  }

  private static void readRecords(
      int segment, boolean sameBoot, SegmentReader content, Reader reader) throws IOException {
    Optional<byte[]> record = content.readRecord();
    while (record.isPresent()) {
      reader.record(segment, sameBoot, record.get());
      record = content.readRecord();
    }
  }

  /**
   * Returns the number of bytes in the segments of earlier processes that {@link #open} has not
   * read as records. These are the bytes from the first incomplete or invalid record to the end of
   * the segment, and all bytes of a segment without a header line.
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

  /**
   * Returns the number of the current segment, which is the segment to which records are written.
   */
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

  /**
   * Returns the reason of the current fault: records cannot be written, the next segment cannot be
   * opened, or a sync has failed. Returns empty if there is no fault. After a failed sync, the log
   * has a fault permanently.
   */
  public Optional<String> fault() {
    return fault;
  }

  /**
   * Appends a record to the buffer. The record is not in a file before the next {@link #write}. If
   * the record does not fit into the buffer, first writes the records that are in the buffer.
   *
   * @return the number of the segment that will contain the record
   * @throws IllegalArgumentException if the content is empty or longer than {@link
   *     LogRecord#MAX_CONTENT_BYTES}
   */
  public int append(byte[] content) {
    byte[] record = LogRecord.frame(content);
    if (buffer.remaining() < record.length) {
      write();
    }
    if (buffer.remaining() < record.length) {
      // The buffered records could not be written, or the record is larger than the buffer.
      ByteBuffer larger = ByteBuffer.allocate(buffer.position() + record.length + BUFFER_BYTES);
      buffer = larger.put(buffer.flip());
    }
    buffer.put(record);
    appendedPosition += record.length;
    return current();
  }

  /**
   * Writes all appended records to the operating system. If the write fails, the records stay in
   * the buffer for the next call, and {@link #fault()} returns the reason. If the current segment
   * is full after the write, opens the next segment. If the next segment cannot be opened, {@link
   * #fault()} returns the reason, and the next call tries again. If everything succeeds, the fault
   * ends, unless a sync has failed.
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
      // A part of the buffer may be written. The next call writes the complete buffer again, at the
      // same place in the file.
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
   * Writes all appended records, requests their sync, and runs an action once all these records are
   * synced and survive a power failure. If all these records are already synced, runs the action at
   * once. If a sync fails, the actions that still wait for a sync never run.
   */
  public void whenSynced(Runnable action) {
    sync();
    waiters.runWhenSynced(appendedPosition, action);
  }

  /** Writes all appended records and requests their sync. Returns without waiting for the sync. */
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
   * Deletes the oldest segment. Other segments cannot be deleted, because a record in a later
   * segment may revoke a record in an earlier segment. If the later segment were deleted first, the
   * revoked record would be valid again.
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
   * Writes and syncs all records, and unlocks the directory. Returns after the sync. Actions that
   * still wait for a sync do not run during this call. They run later only if the executor of this
   * log still runs tasks.
   *
   * @throws IOException if there is a {@link #fault}, or if the files cannot be synced or closed
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
