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
 * The directory of a log: its lock, and its segment files. A segment begins with a header line that
 * names the boot of the machine under which it was written. Owns the lock until it is closed; file
 * names and header are read by earlier and later versions.
 */
final class SegmentDirectory implements Closeable {
  private static final Pattern SEGMENT_NAME = Pattern.compile("([0-9]{10})\\.journal");
  private static final String LOCK_NAME = "lock";
  private static final String HEADER_PREFIX = "loomreel journal 1 ";
  private static final int MAX_HEADER_BYTES = 128;

  /** Linux gives each boot of the machine an id of its own. */
  private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

  /** Replaces the boot id where the system has none; equals no other boot id. */
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
   * Locks a directory for this process, and creates it if necessary.
   *
   * @throws IOException if it cannot be used, or another process has locked it
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

  /** Sizes in bytes of all segments, by their numbers. */
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

  /** Reads all bytes of a segment, its header included. */
  ByteBuffer read(int segment) throws IOException {
    return ByteBuffer.wrap(Files.readAllBytes(file(segment)));
  }

  /**
   * Reads the header of a segment, and moves the position past it.
   *
   * @return the boot id in it, or empty where there is no header; the position does not change then
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

  /** Whether a boot id is known to be that of the boot under which this process runs. */
  boolean isThisBoot(String otherBootId) {
    return otherBootId.equals(bootId) && !bootId.equals(UNKNOWN_BOOT_ID);
  }

  /**
   * Creates a segment with nothing but a header; the caller owns its file.
   *
   * @throws IOException if it cannot be created; there is no such file then, unless another process
   *     has created it
   */
  FileChannel create(int segment) throws IOException {
    FileChannel channel =
        FileChannel.open(file(segment), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    try {
      channel.write(ByteBuffer.wrap(header()));
      syncNames();
    } catch (IOException e) {
      channel.close();
      delete(segment);
      throw e;
    }
    return channel;
  }

  /** Without a sync of the directory, a power failure may remove a file's name. */
  private void syncNames() throws IOException {
    try (FileChannel names = FileChannel.open(directory, StandardOpenOption.READ)) {
      names.force(true);
    }
  }

  private byte[] header() {
    return (HEADER_PREFIX + bootId + '\n').getBytes(StandardCharsets.US_ASCII);
  }

  /** Size in bytes of the header of a segment that this process creates. */
  int headerBytes() {
    return header().length;
  }

  /** Deletes a segment. */
  void delete(int segment) throws IOException {
    Files.deleteIfExists(file(segment));
  }

  /** Releases the lock. */
  @Override
  public void close() throws IOException {
    lockFile.close();
  }
}
