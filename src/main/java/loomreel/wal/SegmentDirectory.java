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
 * The directory of a log, with its lock and its segment files. A segment begins with a header line
 * that has the id of the boot of the machine during which it was written. Owns the lock until it is
 * closed. Earlier and later versions of this program read the file names and the header.
 */
final class SegmentDirectory implements Closeable {
  private static final Pattern SEGMENT_NAME = Pattern.compile("([0-9]{10})\\.journal");
  private static final String LOCK_NAME = "lock";
  private static final String HEADER_PREFIX = "loomreel journal 1 ";

  /** The maximum number of bytes that are searched for the end of the header line. */
  private static final int MAX_HEADER_BYTES = 128;

  /** The file in which Linux provides a unique id of the current boot of the machine. */
  private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

  /** Used if the system provides no boot id. It counts as different from every boot id. */
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
   * Locks a directory for this process, and creates it if it does not exist.
   *
   * @throws IOException if the directory cannot be used, or is locked by another process or by
   *     another instance in this process
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

  /** Returns the size of each segment in bytes, by the number of the segment. */
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

  /** Reads all bytes of a segment, including its header. */
  ByteBuffer read(int segment) throws IOException {
    return ByteBuffer.wrap(Files.readAllBytes(file(segment)));
  }

  /**
   * Reads the header of a segment, and moves the position of the segment past it.
   *
   * @return the boot id in the header; empty if the segment does not begin with a header, in which
   *     case the position does not change
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

  /** Returns whether a boot id is known to be that of the current boot of the machine. */
  boolean isThisBoot(String otherBootId) {
    return otherBootId.equals(bootId) && !bootId.equals(UNKNOWN_BOOT_ID);
  }

  /**
   * Creates a segment that contains only a header. The caller owns the returned file.
   *
   * @throws IOException if the segment cannot be created; its file does not exist then, unless
   *     another process has created it
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

  /** Syncs the directory. Without this, a power failure may remove the name of a new file. */
  private void syncDirectory() throws IOException {
    try (FileChannel directoryChannel = FileChannel.open(directory, StandardOpenOption.READ)) {
      directoryChannel.force(true);
    }
  }

  private byte[] header() {
    return (HEADER_PREFIX + bootId + '\n').getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns the size, in bytes, of the header of a segment that this process creates. */
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
