package loomreel.faktory;

import loomreel.io.EventLoop;

/** A timer of one connection that can be stopped and started again. */
final class Timeout {
  private final EventLoop loop;

  /** Null while this is stopped. */
  private EventLoop.Timer timer;

  Timeout(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Starts the timer; one that has been started before is replaced.
   *
   * @param micros the time until the action runs, in microseconds
   */
  void start(long micros, Runnable action) {
    stop();
    timer = loop.schedule(loop.now() + micros, action);
  }

  /** Whether it was started and not stopped since; the action may have run. */
  boolean isStarted() {
    return timer != null;
  }

  /** Stops the timer; does nothing where it is stopped. */
  void stop() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }
}
