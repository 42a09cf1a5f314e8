package loomreel.upstream;

import java.util.Optional;
import loomreel.discovery.WatchTimeouts;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Delays a callback until discovery has sent the first endpoint list, {@link #MAX_FAILED_CALLS}
 * calls to discovery have failed, or {@link WatchTimeouts#FIRST_LIST_TIMEOUT_MICROS} have passed.
 */
final class FirstListBarrier {
  /**
   * The number of failed calls to discovery after which the callback is no longer delayed. A single
   * failure may be caused by a short overload of discovery; a second one indicates that discovery
   * is unavailable for longer.
   */
  private static final int MAX_FAILED_CALLS = 2;

  private static final long MICROS_PER_MILLI = 1000;

  private final EventLoop loop;
  private final String sourceName;
  private final RateLimitedLogger log;
  /** The time at which the wait began, in microseconds of the event loop's clock. */
  private long startedAt;
  private int failedCalls;

  /** The delayed callback; empty while no list is awaited. */
  private Optional<Runnable> onReady = Optional.empty();

  /**
   * Creates a barrier that does not delay a callback yet.
   *
   * @param sourceName the name of the source of the list, for the log
   */
  FirstListBarrier(EventLoop loop, String sourceName, RateLimitedLogger log) {
    this.loop = loop;
    this.sourceName = sourceName;
    this.log = log;
  }

  /**
   * Starts to delay a callback.
   *
   * @param callback called once: on {@link #release}, after too many failed calls, or on the
   *     timeout
   */
  void await(Runnable callback) {
    onReady = Optional.of(callback);
    startedAt = loop.now();
    loop.schedule(loop.now() + WatchTimeouts.FIRST_LIST_TIMEOUT_MICROS, this::timedOut);
  }

  private void timedOut() {
    if (onReady.isPresent()) {
      log.warn(
          sourceName
              + " silent, serving the last known endpoint list timeout_ms="
              + WatchTimeouts.FIRST_LIST_TIMEOUT_MICROS / MICROS_PER_MILLI);
      open();
    }
  }

  /**
   * Records that a call to discovery has failed. After {@link #MAX_FAILED_CALLS} failures the
   * callback is run, because discovery may be down for a long time and processes that start during
   * that time must be able to process their jobs.
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

  /** Records that an endpoint list has been received. Does nothing if no list is awaited. */
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
