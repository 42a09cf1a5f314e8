package loomreel.wal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a log reads back the records that were written, also after a segment was truncated, a
 * write has failed, or the machine has rebooted.
 */
@Timeout(60)
class WriteAheadLogTest {
  private static final long SEGMENT_BYTES = 1 << 20;
  private final BlockingQueue<Runnable> loopTasks = new LinkedBlockingQueue<>();
  @TempDir private Path directory;

  /**
   * Opens a log in the test directory, and adds the records of earlier logs to a list.
   *
   * @param records receives the records that the log reads back
   * @param segmentBytes the size of a segment, in bytes, above which the segment is full
   */
  private WriteAheadLog open(List<String> records, long segmentBytes) throws IOException {
    WriteAheadLog log = new WriteAheadLog(directory, segmentBytes, loopTasks::add);
    log.open(
        (number, sameBoot, content) -> records.add(new String(content, StandardCharsets.UTF_8)));
    return log;
  }

  private static void add(WriteAheadLog log, String... records) {
    for (String record : records) {
      log.append(record.getBytes(StandardCharsets.UTF_8));
    }
  }

  private Path segment(int number) {
    return directory.resolve(String.format("%010d.journal", number));
  }

  /**
   * A segment is truncated if the process that writes it is killed, or if the disk has written only
   * a part of it.
   */
  @Test
  void aSegmentCutAtAnyByteYieldsItsCompleteRecords() throws Exception {
    List<String> written = List.of("first", "the second, which is longer", "3");
    try (WriteAheadLog log = open(new ArrayList<>(), SEGMENT_BYTES)) {
      add(log, written.toArray(new String[0]));
    }
    byte[] complete = Files.readAllBytes(segment(1));
    int recordsStart =
        complete.length - written.stream().mapToInt(r -> r.length() + LogRecord.HEADER_BYTES).sum();
    for (int length = 0; length <= complete.length; length++) {
      Files.write(segment(1), Arrays.copyOf(complete, length));
      List<String> read = new ArrayList<>();
      try (WriteAheadLog log = open(read, SEGMENT_BYTES)) {
        int end = recordsStart;
        int completeCount = 0;
        while (completeCount < written.size()
            && end + written.get(completeCount).length() + LogRecord.HEADER_BYTES <= length) {
          end += written.get(completeCount++).length() + LogRecord.HEADER_BYTES;
        }
        assertEquals(written.subList(0, completeCount), read, "segment cut at byte " + length);
        assertEquals(length < recordsStart ? length : length - end, log.truncatedBytes());
        // Records that are appended after the truncation are written to a new segment.
        add(log, "later");
      }
      List<String> recordsAfterReopen = new ArrayList<>();
      open(recordsAfterReopen, SEGMENT_BYTES).close();
      assertEquals("later", recordsAfterReopen.get(recordsAfterReopen.size() - 1));
      // Deletes the segments that this iteration has created.
      for (int i = 2; Files.deleteIfExists(segment(i)); i++) {}
    }
  }

  @Test
  void aCorruptRecordEndsOnlyTheReadingOfItsSegment() throws Exception {
    try (WriteAheadLog log = open(new ArrayList<>(), SEGMENT_BYTES)) {
      add(log, "a", "b");
    }
    try (WriteAheadLog log = open(new ArrayList<>(), SEGMENT_BYTES)) {
      add(log, "c");
    }
    byte[] bytes = Files.readAllBytes(segment(1));
    bytes[bytes.length - 1] ^= 1;
    Files.write(segment(1), bytes);
    List<String> read = new ArrayList<>();
    open(read, SEGMENT_BYTES).close();
    assertEquals(List.of("a", "c"), read);
  }

  @Test
  void aFullSegmentIsFollowedByANewSegmentAndTheCurrentSegmentIsNeverDropped() throws Exception {
    try (WriteAheadLog log = open(new ArrayList<>(), 100)) {
      int first = log.current();
      add(log, "x".repeat(120));
      log.write();
      assertEquals(first + 1, log.current());
      add(log, "y");
      log.write();
      log.dropOldest();
      assertEquals(log.current(), log.oldest());
      assertThrows(IllegalStateException.class, log::dropOldest);
    }
    List<String> read = new ArrayList<>();
    open(read, 100).close();
    assertEquals(List.of("y"), read);
  }

  /**
   * Each record is written exactly once, even if the records fill the buffer and the next segment
   * cannot be opened. Both record lengths exceed the size of a segment. With its header, a record
   * of the second length fills the initial buffer of the log exactly.
   */
  @ParameterizedTest
  @ValueSource(ints = {120, 256 * 1024 - LogRecord.HEADER_BYTES})
  void recordsAreStoredOnceIfTheNextSegmentCannotBeOpened(int recordLength) throws Exception {
    String large = "x".repeat(recordLength);
    try (WriteAheadLog log = open(new ArrayList<>(), 100)) {
      // Segment 2 cannot be created while a directory has its name.
      Files.createDirectory(segment(2));
      add(log, large);
      log.write();
      assertTrue(log.fault().isPresent());
      add(log, "while no segment can be opened");
      log.write();
      assertTrue(log.fault().isPresent());

      Files.delete(segment(2));

      log.write();
      assertEquals(Optional.empty(), log.fault());
      assertEquals(2, log.current());
      add(log, "after");
    }
    List<String> read = new ArrayList<>();
    open(read, 100).close();
    assertEquals(List.of(large, "while no segment can be opened", "after"), read);
  }

  /**
   * Actions run on the loop in the order in which they were added. If all records are already
   * synced when an action is added, the action runs at once.
   */
  @Test
  void syncActionsRunInOrderOnTheLoop() throws Exception {
    List<Integer> completed = new ArrayList<>();
    try (WriteAheadLog log = open(new ArrayList<>(), 200)) {
      for (int i = 0; i < 50; i++) {
        int number = i;
        add(log, "record " + i);
        log.whenSynced(() -> completed.add(number));
      }
      assertTrue(completed.isEmpty(), "actions run on the loop only");
      while (completed.size() < 50) {
        loopTasks.poll(30, TimeUnit.SECONDS).run();
      }
      for (int i = 0; i < 50; i++) {
        assertEquals(i, completed.get(i));
      }
      log.whenSynced(() -> completed.add(50));
      assertEquals(51, completed.size());
      assertEquals(Optional.empty(), log.fault());
    }
  }

  @Test
  void aLockedDirectoryCannotBeLockedAgain() throws Exception {
    try (WriteAheadLog log = open(new ArrayList<>(), SEGMENT_BYTES)) {
      assertThrows(
          IOException.class, () -> new WriteAheadLog(directory, SEGMENT_BYTES, loopTasks::add));
      add(log, "stored");
    }
    List<String> read = new ArrayList<>();
    open(read, SEGMENT_BYTES).close();
    assertEquals(List.of("stored"), read);
  }

  /**
   * After a reboot of the machine, the last records may be missing. Therefore the log reports for
   * each record whether the boot is still the same.
   */
  @Test
  void recordsOfAnEarlierBootAreReportedWithSameBootFalse() throws Exception {
    try (WriteAheadLog log = open(new ArrayList<>(), SEGMENT_BYTES)) {
      add(log, "a");
    }
    List<Boolean> sameBootFlags = new ArrayList<>();
    try (WriteAheadLog log = new WriteAheadLog(directory, SEGMENT_BYTES, loopTasks::add)) {
      log.open((segment, sameBoot, content) -> sameBootFlags.add(sameBoot));
    }
    String text = Files.readString(segment(1), StandardCharsets.ISO_8859_1);
    Files.writeString(
        segment(1),
        text.replaceFirst("journal 1 [^\n]*\n", "journal 1 another\n"),
        StandardCharsets.ISO_8859_1);
    try (WriteAheadLog log = new WriteAheadLog(directory, SEGMENT_BYTES, loopTasks::add)) {
      log.open((segment, sameBoot, content) -> sameBootFlags.add(sameBoot));
    }
    // On a system without boot ids, sameBoot is always false.
    assertEquals(Files.exists(Path.of("/proc/sys/kernel/random/boot_id")), sameBootFlags.get(0));
    assertFalse(sameBootFlags.get(1));
  }
}
