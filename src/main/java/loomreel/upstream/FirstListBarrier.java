package loomreel.upstream;

import java.util.Optional;
import loomreel.discovery.WatchTimeouts;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Delays a callback until discovery has sent the first endpoint list or has confirmed the last
 * known list. The callback is run earlier if discovery was unavailable for {@link
 * #MAX_FAILED_CALLS} calls, or if {@link WatchTimeouts#FIRST_LIST_TIMEOUT_MICROS} have passed.
 *
 * <p>A call counts as failed only if it is reported to {@link
 * loomreel.discovery.EndpointWatcher.Listener#watchFailed}, which means that discovery was
 * unavailable. For example, a call without a response in time and a call with an invalid list do
 * not count. If lists are pushed to an agent on this machine, the agent is called instead of
 * discovery, and no failed call counts.
 */
final class FirstListBarrier {
  /**
   * The callback is no longer delayed once this number of calls has failed because discovery was
   * unavailable. A single failure may be caused by a short overload of discovery. A second failure
   * indicates that discovery is unavailable for longer.
   */
  private static final int MAX_FAILED_CALLS = 2;

  private static final long MICROS_PER_MILLI = 1000;

  private final EventLoop loop;
  private final String sourceName;
  private final RateLimitedLogger log;

  /** The time at which the wait began, in microseconds of the event loop's clock. */
  private long startedAt;

  /** The number of calls that have failed because discovery was unavailable. */
  private int failedCalls;

  /** The delayed callback; empty while no callback is delayed. */
  private Optional<Runnable> onReady = Optional.empty();

  /**
   * Creates a barrier that does not delay a callback yet.
   *
   * @param sourceName the name of the source of the endpoint list, for the log
   */
  FirstListBarrier(EventLoop loop, String sourceName, RateLimitedLogger log) {
    this.loop = loop;
    this.sourceName = sourceName;
    this.log = log;
  }

  /**
   * Starts to delay a callback.
   *
   * @param callback run once: by {@link #callSucceeded}, by {@link #callFailed} after {@link
   *     #MAX_FAILED_CALLS} failed calls, or on the timeout
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
      runCallback();
    }
  }

  /**
   * Records that a call to discovery has failed because discovery is unavailable. After {@link
   * #MAX_FAILED_CALLS} of these failures the callback is run, because discovery may be unavailable
   * for a long time. Processes that start during that time must be able to process their jobs.
   */
  void callFailed() {
    failedCalls++;
    if (onReady.isPresent() && failedCalls == MAX_FAILED_CALLS) {
      log.warn(
          sourceName
              + " unavailable, serving the last known endpoint list after_ms="
              + waitedMillis());
      runCallback();
    }
  }

  /**
   * Records that discovery has sent an endpoint list or has confirmed that the known list has not
   * changed. Runs the callback if it is still delayed; otherwise does nothing.
   */
  void callSucceeded() {
    if (onReady.isPresent()) {
      log.info("first endpoint list received source=" + sourceName + " after_ms=" + waitedMillis());
      runCallback();
    }
  }

  private long waitedMillis() {
    return (loop.now() - startedAt) / MICROS_PER_MILLI;
  }

  private void runCallback() {
    Runnable callback = onReady.orElseThrow();
    onReady = Optional.empty();
    callback.run();
  }
}
