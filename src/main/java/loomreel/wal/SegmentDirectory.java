package loomreel.wal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The directory of a log, with its lock file and its segment files. Each instance holds the lock of
 * its directory until {@link #close}.
 *
 * <p>A segment begins with a header line, which contains a boot id. The operating system creates a
 * new boot id each time the machine boots, so the boot id tells whether the machine has rebooted
 * since the segment was created.
 *
 * <p>Earlier and later versions of this program read the file names and the header line. Therefore
 * the file names and the format of the header line must not change.
 */
final class SegmentDirectory implements Closeable {
  private static final Pattern SEGMENT_NAME = Pattern.compile("([0-9]{10})\\.journal");
  private static final String LOCK_NAME = "lock";
  private static final String HEADER_PREFIX = "loomreel journal 1 ";

  /** The maximum number of bytes of a segment in which the end of the header line is searched. */
  static final int MAX_HEADER_BYTES = 128;

  /** The file in which Linux provides the boot id, which is unique for each boot of the machine. */
  private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

  /** Used if the system provides no boot id. Never counts as equal to another boot id. */
  private static final String UNKNOWN_BOOT_ID = "unknown";

  private final Path directory;
  private final FileChannel lockFile;
  private final String bootId;

  private SegmentDirectory(Path directory, FileChannel lockFile, String bootId) {
    this.directory = directory;
    this.lockFile = lockFile;
    this.bootId = bootId;
  }

  /**
   * Locks a directory for this process. Creates the directory if it does not exist.
   *
   * @throws IOException if the directory cannot be used, or if another process or another instance
   *     in this process has locked it
   */
  static SegmentDirectory lock(Path directory) throws IOException {
    Files.createDirectories(directory);
    FileChannel lockFile =
        FileChannel.open(
            directory.resolve(LOCK_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    if (!tryLock(lockFile)) {
      lockFile.close();
      throw new IOException("another process holds " + directory);
    }
    return new SegmentDirectory(directory, lockFile, readBootId());
  }

  private static boolean tryLock(FileChannel file) throws IOException {
    try {
      return file.tryLock() != null;
    } catch (OverlappingFileLockException e) {
      return false;
    }
  }

  private static String readBootId() throws IOException {
    return Files.isReadable(BOOT_ID_FILE)
        ? Files.readString(BOOT_ID_FILE).strip()
        : UNKNOWN_BOOT_ID;
  }

  /** Returns the sizes of all segments in bytes, by segment number. */
  SortedMap<Integer, Long> sizes() throws IOException {
    SortedMap<Integer, Long> sizes = new TreeMap<>();
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Matcher name = SEGMENT_NAME.matcher(file.getFileName().toString());
        if (name.matches()) {
          sizes.put(Integer.parseInt(name.group(1)), Files.size(file));
        }
      }
    }
    return sizes;
  }

  private Path file(int segment) {
    return directory.resolve(String.format("%010d.journal", segment));
  }

  /** Opens a segment for reading. The caller owns the returned reader. */
  SegmentReader read(int segment) throws IOException {
    return new SegmentReader(file(segment));
  }

  /**
   * Reads the header line of a segment, and moves the position of the buffer to the first byte
   * after the header line. If the segment does not begin with a header line, the position does not
   * change.
   *
   * @param segment the buffer, with the beginning of a segment
   * @return the boot id in the header line; empty if the segment does not begin with a header line
   */
  static Optional<String> readHeader(ByteBuffer segment) {
    int end = 0;
    while (end < segment.limit() && end < MAX_HEADER_BYTES && segment.get(end) != '\n') {
      end++;
    }
    byte[] line = new byte[end];
    segment.get(0, line);
    String header = new String(line, StandardCharsets.US_ASCII);
    if (end == segment.limit() || !header.startsWith(HEADER_PREFIX)) {
      return Optional.empty();
    }
    segment.position(end + 1);
    return Optional.of(header.substring(HEADER_PREFIX.length()));
  }

  /**
   * Returns whether a boot id is the id of the current boot of the machine. Returns false if the id
   * of the current boot is unknown.
   */
  boolean isThisBoot(String otherBootId) {
    return otherBootId.equals(bootId) && !bootId.equals(UNKNOWN_BOOT_ID);
  }

  /**
   * Creates a segment that contains only a header line, and waits until its name in the directory
   * is synced. The caller owns the returned file.
   *
   * @throws IOException if the segment cannot be created. A file that existed before the call is
   *     not changed. A file that this call has created is deleted again.
   */
  FileChannel create(int segment) throws IOException {
    FileChannel channel =
        FileChannel.open(file(segment), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    try {
      channel.write(ByteBuffer.wrap(header()));
      syncDirectory();
    } catch (IOException e) {
      channel.close();
      delete(segment);
      throw e;
    }
    return channel;
  }

  /** Syncs the directory. Without this sync, a power failure may remove the name of a new file. */
  private void syncDirectory() throws IOException {
    try (FileChannel directoryChannel = FileChannel.open(directory, StandardOpenOption.READ)) {
      directoryChannel.force(true);
    }
  }

  /** Returns the content of the header line that this process writes, including the line end. */
  private byte[] header() {
    return (HEADER_PREFIX + bootId + '\n').getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns the length, in bytes, of the header line that this process writes. */
  int headerBytes() {
    return header().length;
  }

  /** Deletes the file of a segment, if it exists. */
  void delete(int segment) throws IOException {
    Files.deleteIfExists(file(segment));
  }

  /** Releases the lock. */
  @Override
  public void close() throws IOException {
    lockFile.close();
  }
}
