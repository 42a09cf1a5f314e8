package loomreel.benchmark;

import org.HdrHistogram.Histogram;

/** Records latencies of several threads. To be read once these have ended. */
final class LatencyRecorder {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1000;
  private static final double MICROS_PER_MILLI = 1e3;

  private final Histogram micros = new Histogram(SIGNIFICANT_DIGITS);

  /** Records the time since {@code startNanos}, a value of {@link System#nanoTime}. */
  synchronized void recordSince(long startNanos) {
    micros.recordValue((System.nanoTime() - startNanos) / NANOS_PER_MICRO);
  }

  double percentileMillis(double percentile) {
    return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  double maxMillis() {
    return micros.getMaxValue() / MICROS_PER_MILLI;
  }

  double meanMicros() {
    return micros.getMean();
  }
}
