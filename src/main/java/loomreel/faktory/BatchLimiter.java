package loomreel.faktory;

import java.util.ArrayDeque;

/** Bounds the batches that are processed at a time: each holds its complete text on the heap. */
final class BatchLimiter {
  private static final int MAX_CONCURRENT_BATCHES = 2;

  private record Waiting(int bytes, Runnable start) {}

  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private final int maxBytes;
  private int running;
  private int runningBytes;
  private boolean isStarting;

  /**
   * Creates a limiter of no batches.
   *
   * @param maxBytes the texts of the batches that run; a longer one runs by itself
   */
  BatchLimiter(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Starts a batch when it is its turn; {@link #finished} has to be called once after it.
   *
   * @param bytes size of its text
   */
  void submit(int bytes, Runnable start) {
    waiting.add(new Waiting(bytes, start));
    startNext();
  }

  /** A batch of so many bytes has ended: the next one starts. */
  void finished(int bytes) {
    running--;
    runningBytes -= bytes;
    startNext();
  }

  private void startNext() {
    if (isStarting) {
      // A batch that has ended at once; the loop below goes on with the next one.
      return;
    }
    isStarting = true;
    try {
      while (!waiting.isEmpty() && hasRoomFor(waiting.peek().bytes())) {
        Waiting next = waiting.poll();
        running++;
        runningBytes += next.bytes();
        next.start().run();
      }
    } finally {
      isStarting = false;
    }
  }

  private boolean hasRoomFor(int bytes) {
    return running == 0 || (running < MAX_CONCURRENT_BATCHES && runningBytes + bytes <= maxBytes);
  }
}
