package loomreel.benchmark;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Measures what the disk itself takes for a record and an fsync, one after another. */
final class DiskSyncBenchmark {
  private static final int SYNCS = 300;
  private static final int RECORD_BYTES = 300;
  private static final double MICROS_PER_SECOND = 1e6;

  private DiskSyncBenchmark() {}

  /** Writes to a file that does not exist yet, and prints a line. */
  static void run(PrintStream out, Path file) throws IOException {
    LatencyRecorder latency = new LatencyRecorder();
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      for (int i = 0; i < SYNCS; i++) {
        long startNanos = System.nanoTime();
        channel.write(ByteBuffer.allocate(RECORD_BYTES));
        channel.force(false);
        latency.recordSince(startNanos);
      }
    }
    out.printf(
        "the disk's own write and fsync of %d bytes: p50 %.2f ms, p99 %.2f ms, %.0f a second%n",
        RECORD_BYTES,
        latency.percentileMillis(50),
        latency.percentileMillis(99),
        MICROS_PER_SECOND / latency.meanMicros());
  }
}
