package loomreel.upstream;

import java.util.Optional;
import loomreel.discovery.WatchTimeouts;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Delays a callback until the first endpoint list of discovery has been received, its calls have
 * failed, or a timeout is over.
 */
final class FirstListBarrier {
  /** Discovery may be overloaded when the first call arrives; then it is down for longer. */
  private static final int MAX_FAILED_CALLS = 2;

  private static final long MICROS_PER_MILLI = 1000;

  private final EventLoop loop;
  private final String sourceName;
  private final RateLimitedLogger log;
  private long startedAt;
  private int failedCalls;

  /** Empty while no list is awaited. */
  private Optional<Runnable> onReady = Optional.empty();

  /**
   * Creates a barrier that is open.
   *
   * @param sourceName where the list comes from, for the log
   */
  FirstListBarrier(EventLoop loop, String sourceName, RateLimitedLogger log) {
    this.loop = loop;
    this.sourceName = sourceName;
    this.log = log;
  }

  /**
   * Starts to wait.
   *
   * @param callback called once, on {@link #release} or on the timeout
   */
  void await(Runnable callback) {
    onReady = Optional.of(callback);
    startedAt = loop.now();
    loop.schedule(loop.now() + WatchTimeouts.FIRST_LIST_TIMEOUT, this::timedOut);
  }

  private void timedOut() {
    if (onReady.isPresent()) {
      log.warn(
          sourceName
              + " silent, serving the last known endpoint list timeout_ms="
              + WatchTimeouts.FIRST_LIST_TIMEOUT / MICROS_PER_MILLI);
      open();
    }
  }

  /**
   * A call to discovery has failed. Discovery that is down may stay so for long, and the processes
   * that start meanwhile must not all leave their jobs waiting.
   */
  void callFailed() {
    failedCalls++;
    if (onReady.isPresent() && failedCalls == MAX_FAILED_CALLS) {
      log.warn(
          sourceName
              + " unavailable, serving the last known endpoint list after_ms="
              + waitedMillis());
      open();
    }
  }

  /** A list has been received; does nothing if none is awaited. */
  void release() {
    if (onReady.isPresent()) {
      log.info("first endpoint list received source=" + sourceName + " after_ms=" + waitedMillis());
      open();
    }
  }

  private long waitedMillis() {
    return (loop.now() - startedAt) / MICROS_PER_MILLI;
  }

  private void open() {
    Runnable callback = onReady.orElseThrow();
    onReady = Optional.empty();
    callback.run();
  }
}
