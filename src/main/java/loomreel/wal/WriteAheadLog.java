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
 * A log of records in the segments of a directory, which one process at a time has locked.
 *
 * <p>Once {@link #write} has returned without a {@link #fault}, all records survive the end of the
 * process; once {@link #whenSynced} has run its action, they survive a power failure. All methods
 * are called on one thread, on which the actions run as well; a thread of {@link GroupCommitter}
 * waits for the disk.
 */
public final class WriteAheadLog implements Closeable {
  /** Receives the records of earlier processes. */
  public interface Reader {
    /**
     * Called for each record.
     *
     * @param segment the number of the segment that holds it
     * @param sameBoot whether the machine has not rebooted since it was written; otherwise later
     *     records may be missing
     * @throws IOException if the content cannot be used; reading ends with it
     */
    void record(int segment, boolean sameBoot, byte[] content) throws IOException;
  }

  /** Buffered records are written beyond this size without a request. */
  private static final int BUFFER_BYTES = 256 * 1024;

  private static final int FIRST_SEGMENT = 1;

  // Faktory's clients receive these texts in error replies.
  private static final String WRITE_FAILED = "cannot be written: ";
  private static final String SYNC_FAILED = "the disk does not take it over: ";

  private final SegmentDirectory directory;
  private final long segmentBytes;
  private final GroupCommitter committer;

  /** Sizes in bytes of all segments, by their numbers. */
  private final TreeMap<Integer, Long> segmentSizes;

  private final SyncWaiters waiters = new SyncWaiters();

  /** Records that are appended and not yet written. */
  private ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);

  /** The current segment; null before {@link #open}. */
  private FileChannel channel;

  /** How many bytes this process has appended. */
  private long appendedPosition;

  /** Up to which of these a sync has been requested. */
  private long requestedPosition;

  /** The reason why records cannot be stored; empty where they can. */
  private Optional<String> fault = Optional.empty();

  /** Whether a sync has failed, after which the fault stays. */
  private boolean hasSyncFailed;

  private int truncatedBytes;

  /**
   * Locks the directory of a log, and creates it if necessary.
   *
   * @param segmentBytes a segment that has grown beyond this is followed by another
   * @param loop runs actions on the thread that calls this log
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
   * Reads all records of earlier processes, in order, and opens a segment for this process. A
   * segment is read up to the first byte that belongs to no complete record: a process that is
   * killed may leave its last one truncated.
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

  /** Bytes at the ends of earlier processes' segments that belonged to no complete record. */
  public int truncatedBytes() {
    return truncatedBytes;
  }

  private void openNextSegment() throws IOException {
    int next = segmentSizes.isEmpty() ? FIRST_SEGMENT : current() + 1;
    FileChannel opened = directory.create(next);
    if (channel != null) {
      committer.retire(channel, appendedPosition);
    }
    channel = opened;
    segmentSizes.put(next, (long) directory.headerBytes());
  }

  /** The number of the segment that records are appended to. */
  public int current() {
    return segmentSizes.lastKey();
  }

  /** The number of the oldest segment. */
  public int oldest() {
    return segmentSizes.firstKey();
  }

  /** Bytes in all segments, and of records that are not yet written. */
  public long bytes() {
    return segmentSizes.values().stream().mapToLong(Long::longValue).sum() + buffer.position();
  }

  /** The reason why records cannot be stored at present; empty where they can. */
  public Optional<String> fault() {
    return fault;
  }

  /**
   * Appends a record; it is in no file before {@link #write}.
   *
   * @return the number of the segment that will hold it
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
   * Writes all appended records to the operating system. If that fails, they stay buffered for the
   * next call, and {@link #fault()} has the reason. If a full segment cannot be followed by
   * another, {@link #fault()} has the reason as well, and the next call tries again.
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
      // The next call overwrites the part that was written.
      buffer.position(length).limit(buffer.capacity());
      throw e;
    }
    buffer.clear();
    segmentSizes.put(current(), sizeBefore + length);
  }

  private boolean isSegmentFull() {
    return segmentSizes.get(current()) > segmentBytes;
  }

  /** Writes, and runs an action once all records appended so far survive a power failure. */
  public void whenSynced(Runnable action) {
    sync();
    waiters.runWhenSynced(appendedPosition, action);
  }

  /** Writes, and requests a sync without waiting for it. */
  public void sync() {
    write();
    if (buffer.position() == 0 && requestedPosition < appendedPosition) {
      requestedPosition = appendedPosition;
      committer.force(channel, appendedPosition);
    }
  }

  private void syncFailed(IOException failure) {
    hasSyncFailed = true;
    fault = Optional.of(SYNC_FAILED + failure.getMessage());
  }

  /**
   * Removes the oldest segment. Only the oldest can be removed: a later record may revoke one of an
   * earlier segment, and must not be removed before it.
   *
   * @throws IllegalStateException if it is the current segment
   * @throws UncheckedIOException if its file cannot be deleted
   */
  public void dropOldest() {
    int segment = oldest();
    if (segment == current()) {
      throw new IllegalStateException("segment " + segment + " is written to");
    }
    try {
      directory.delete(segment);
      segmentSizes.remove(segment);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Writes and syncs all records, and unlocks the directory. Actions that are still waiting do not
   * run any more.
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
