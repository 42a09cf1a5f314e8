package loomreel.server;

import java.util.Optional;
import loomreel.config.ServeConfig;
import loomreel.core.Dispatcher;
import loomreel.core.Ingress;
import loomreel.decision.Settings;
import loomreel.ingress.HttpIngress;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.process.HotRestart;

/**
 * Shuts a dispatcher process down without losing a job, and triggers the transitions of its {@link
 * ServerState}.
 *
 * <p>Without a successor, the process serves as before for a grace period, because clients reuse
 * the connections that they have and there may be no other dispatcher for them. With a successor,
 * this process accepts no more connections, and its clients reconnect after their next response.
 * When the grace period ends, idle connections are closed, and the event loop stops as soon as
 * nothing is pending. Jobs that have not ended by the shutdown deadline fail.
 *
 * <p>All times are in microseconds of the event loop's clock. Confined to the event loop's thread.
 */
final class GracefulShutdown {
  /**
   * The grace period without a successor, in microseconds. Connections stay in use for this long
   * after the request to shut down, because another dispatcher may be down as well.
   */
  private static final long GRACE_PERIOD_MICROS = 1_500_000;

  /**
   * The grace period with a successor, in microseconds. Idle connections stay open for this long
   * after the request to shut down. A client that uses one in this time is asked to close it with
   * the response, whereas a close by this process could cross a request.
   */
  private static final long HANDOVER_GRACE_PERIOD_MICROS = 2_300_000;

  /**
   * The platform kills a process no earlier than this time, in microseconds, after the longest
   * deadline.
   */
  private static final long KILL_DELAY_MICROS = 700_000;

  /**
   * The part of the kill delay, in microseconds, that is reserved for writing the last responses.
   */
  private static final long LAST_RESPONSES_RESERVE_MICROS = 200_000;

  /** The interval, in microseconds, at which the process checks whether anything is pending. */
  private static final long POLL_INTERVAL_MICROS = 20_000;

  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.server");
  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final ServerStateMachine lifecycle;
  private final HotRestart hotRestart;
  private final HttpIngress http;
  private final Optional<? extends Ingress> faktory;
  private final long longestDeadlineMicros;
  private final long maxDurationMicros;

  /** The time by which each job must have its response; set when the shutdown is requested. */
  private long answerDeadline = Long.MAX_VALUE;

  /**
   * Creates a shutdown that has not been requested yet.
   *
   * @param lifecycle holds the state of the process, which this shutdown changes
   * @param hotRestart tells whether a successor is connected
   * @param faktory the Faktory ingress, or empty if the process has none
   * @param config contains the deadlines of the request classes, for which the shutdown waits, and
   *     the maximum duration of the shutdown
   */
  GracefulShutdown(
      Dispatcher dispatcher,
      ServerStateMachine lifecycle,
      HotRestart hotRestart,
      HttpIngress http,
      Optional<? extends Ingress> faktory,
      ServeConfig config) {
    this.loop = dispatcher.loop();
    this.dispatcher = dispatcher;
    this.lifecycle = lifecycle;
    this.hotRestart = hotRestart;
    this.http = http;
    this.faktory = faktory;
    maxDurationMicros = config.shutdownLimitMicros();
    longestDeadlineMicros =
        config.settings().classes().stream()
            .mapToLong(Settings.RequestClass::deadline)
            .max()
            .orElse(0);
  }

  /** Records that the first endpoint list is known and that the process is open to clients. */
  void endpointsKnown() {
    lifecycle.apply(ServerState.Trigger.ENDPOINTS_KNOWN);
  }

  /** Begins the shutdown. Further requests have no effect: all times count from the first one. */
  void request() {
    if (lifecycle.state().isShutdownRequested()) {
      return;
    }
    trace("drain");
    boolean hasSuccessor = hotRestart.hasSuccessor();
    log.info("graceful shutdown started successor=" + hasSuccessor);
    if (hasSuccessor) {
      lifecycle.apply(ServerState.Trigger.HANDOVER_REQUESTED);
      http.stopAccepting();
      hotRestart.handOver();
    } else {
      lifecycle.apply(ServerState.Trigger.SHUTDOWN_REQUESTED);
    }
    // The drain of Faktory has no grace period: its clients cannot use another dispatcher before
    // their connections close.
    faktory.ifPresent(Ingress::beginDrain);
    answerDeadline =
        loop.now()
            + Math.min(maxDurationMicros, longestDeadlineMicros + KILL_DELAY_MICROS)
            - LAST_RESPONSES_RESERVE_MICROS;
    dispatcher.setShutdownDeadline(answerDeadline);
    long gracePeriod = hasSuccessor ? HANDOVER_GRACE_PERIOD_MICROS : GRACE_PERIOD_MICROS;
    loop.schedule(
        loop.now() + Math.min(gracePeriod, longestDeadlineMicros), this::gracePeriodEnded);
  }

  private void gracePeriodEnded() {
    lifecycle.apply(ServerState.Trigger.GRACE_PERIOD_ENDED);
    stopWhenEmpty();
  }

  private void stopWhenEmpty() {
    http.beginDrain();
    if (dispatcher.isEmpty() && !isHttpPending() && !isFaktoryPending()) {
      trace("stop");
      lifecycle.apply(ServerState.Trigger.EMPTIED);
      loop.stop();
    } else {
      loop.schedule(loop.now() + POLL_INTERVAL_MICROS, this::stopWhenEmpty);
    }
  }

  /**
   * Returns whether an HTTP client waits for a response or may not have read it yet. A client that
   * sends one request after another is served until shortly before the process is killed, and
   * cannot delay the end of the process beyond that time.
   */
  private boolean isHttpPending() {
    return http.hasPendingWork() && loop.now() < answerDeadline + LAST_RESPONSES_RESERVE_MICROS;
  }

  private boolean isFaktoryPending() {
    return faktory.isPresent() && faktory.get().hasPendingWork() && loop.now() < answerDeadline;
  }

  private void trace(String event) {
    if (loop.trace() != null) {
      loop.trace().line(loop.now(), event);
    }
  }
}
