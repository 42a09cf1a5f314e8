package loomreel.faktory.queue;

/**
 * How many attempts of one queue may be in flight, and whether new ones have to pause: as in TCP,
 * the window grows by one for as many served attempts as it holds, and shrinks by a factor when
 * attempts are rejected. Reads no clock; times are microseconds.
 */
final class CongestionWindow {
  private static final int INITIAL_SIZE = 16;
  private static final double MIN_SIZE = 1;
  private static final double SHRINK_FACTOR = 0.7;
  private static final long FIRST_PAUSE_MICROS = 50_000;
  private static final long MAX_PAUSE_MICROS = 2_000_000;

  /** Rejections within this time after a shrink are one congestion event, and shrink no more. */
  private static final long SHRINK_INTERVAL_MICROS = FIRST_PAUSE_MICROS;

  private static final long NEVER = Long.MIN_VALUE;

  private double size = INITIAL_SIZE;
  private long shrunkAt = NEVER;

  /** Length of the last pause; 0 if an attempt has been served since. */
  private long pauseMicros;

  private long pausedUntil;

  /** Grows after an attempt was served, up to a limit, and resets the length of pauses. */
  void onServed(int maxSize) {
    pauseMicros = 0;
    size = Math.min(maxSize, size + 1 / size);
  }

  /** Shrinks and pauses after an attempt was rejected; each pause is twice as long as the last. */
  void onRejected(long now) {
    if (!isPaused(now)) {
      pauseMicros = Math.min(MAX_PAUSE_MICROS, Math.max(FIRST_PAUSE_MICROS, 2 * pauseMicros));
    }
    pausedUntil = Math.max(pausedUntil, now + pauseMicros);
    if (shrunkAt == NEVER || now - shrunkAt >= SHRINK_INTERVAL_MICROS) {
      size = Math.max(MIN_SIZE, size * SHRINK_FACTOR);
      shrunkAt = now;
    }
  }

  /** Whether no attempt may start now. */
  boolean isPaused(long now) {
    return pausedUntil > now;
  }

  /** When the last pause ends or ended; 0 where there was none. */
  long pausedUntil() {
    return pausedUntil;
  }

  /** How many attempts may be in flight; only the integer part counts. */
  double size() {
    return size;
  }
}
