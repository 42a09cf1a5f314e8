package loomreel.upstream;

import java.util.Optional;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Delays a callback until the first endpoint list of a discovery agent has been received, or a
 * timeout is over.
 */
final class FirstListBarrier {
  /**
   * Nine in ten processes that start have to be ready within 10 s, and the start itself may take 3
   * s of that where many start at once.
   */
  private static final long TIMEOUT_MICROS = 7_000_000;

  private static final long MICROS_PER_MILLI = 1000;

  private final EventLoop loop;
  private final RateLimitedLogger log;

  /** Empty while no list is awaited. */
  private Optional<Runnable> onReady = Optional.empty();

  FirstListBarrier(EventLoop loop, RateLimitedLogger log) {
    this.loop = loop;
    this.log = log;
  }

  /**
   * Starts to wait.
   *
   * @param callback called once, on {@link #release} or on the timeout
   */
  void await(Runnable callback) {
    onReady = Optional.of(callback);
    loop.schedule(loop.now() + TIMEOUT_MICROS, this::timedOut);
  }

  private void timedOut() {
    if (onReady.isPresent()) {
      log.warn(
          "discovery agent silent, serving the last known endpoint list timeout_ms="
              + TIMEOUT_MICROS / MICROS_PER_MILLI);
      release();
    }
  }

  /** A list has been received; does nothing if none is awaited. */
  void release() {
    Optional<Runnable> callback = onReady;
    onReady = Optional.empty();
    callback.ifPresent(Runnable::run);
  }
}
