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
 * Shuts a dispatcher process down without losing a job, and triggers the transitions of the
 * process's {@link ServerState}.
 *
 * <p>For HTTP, a shutdown begins with a grace period. Faktory has no grace period and drains as
 * soon as the shutdown is requested.
 *
 * <p>If no successor is connected, HTTP clients are served as before until the grace period ends,
 * because clients reuse their open connections, and there may be no other dispatcher to which the
 * clients can move. If the startup is not over, it continues in this time (see {@link
 * ServerState#DRAINING_UNOPENED}).
 *
 * <p>If a successor is connected, the shutdown is the end of a hot restart, in which the successor
 * replaces this process. This process then accepts no more connections, and each client reconnects
 * to the successor after its next response.
 *
 * <p>If the longest deadline of the request classes is shorter than the grace period, the grace
 * period ends at this deadline.
 *
 * <p>When the grace period ends, idle connections are closed. The event loop stops as soon as each
 * accepted job has its answer, no HTTP connection is open and the Faktory ingress has no unfinished
 * work. This wait is limited: at the answer deadline, each job without an answer fails, and the
 * wait for Faktory jobs ends. The wait for HTTP connections ends {@link
 * #LAST_RESPONSES_RESERVE_MICROS} later.
 *
 * <p>All times are in microseconds of the event loop's clock. Confined to the event loop's thread.
 */
final class GracefulShutdown {
  /**
   * The grace period if no successor is connected, in microseconds. The process continues to serve
   * its connections for this time after the request to shut down, because the other dispatchers may
   * be down as well.
   */
  private static final long GRACE_PERIOD_MICROS = 1_500_000;

  /**
   * The grace period if a successor is connected, in microseconds. A connection that is idle when
   * the shutdown is requested stays open for this time. If the client sends a request on the
   * connection in this time, the response tells the client to close the connection. If this process
   * closed the idle connection at once, the client could send a request before it notices the
   * close, and would get no response.
   */
  private static final long HANDOVER_GRACE_PERIOD_MICROS = 2_300_000;

  /**
   * The minimum time, in microseconds, from the longest deadline of the request classes until the
   * platform kills the process. The deadline counts from the request to shut down. The duration of
   * the shutdown is therefore limited to the sum of the longest deadline and this time, or to
   * {@link ServeConfig#shutdownLimitMicros} if that is shorter.
   */
  private static final long KILL_DELAY_MICROS = 700_000;

  /**
   * The time, in microseconds, at the end of the shutdown that is reserved for writing the last
   * responses.
   */
  private static final long LAST_RESPONSES_RESERVE_MICROS = 200_000;

  /** The interval, in microseconds, at which the shutdown checks whether the process may stop. */
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

  /**
   * The time by which each job must have its answer. It is set when the shutdown is requested;
   * before that, there is no limit.
   */
  private long answerDeadline = Long.MAX_VALUE;

  /**
   * Creates a shutdown that has not been requested yet.
   *
   * @param lifecycle holds the state of the process, which this shutdown changes
   * @param hotRestart used to determine whether a successor is connected, and to hand over to it
   * @param faktory the Faktory ingress, or empty if Faktory is disabled
   * @param config provides the maximum duration of the shutdown and the deadlines of the request
   *     classes; the longest deadline limits the duration as well
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

  /**
   * Changes the state of the process, because the first endpoint list is known or is no longer
   * awaited.
   */
  void endpointsKnown() {
    lifecycle.apply(ServerState.Trigger.ENDPOINTS_KNOWN);
  }

  /** Begins the shutdown. Further calls have no effect: all times count from the first call. */
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
    // Faktory is drained at once, without a grace period: a Faktory client cannot use another
    // dispatcher before its connection closes.
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
   * Returns whether the shutdown must still wait for HTTP connections. A client with an open
   * connection may wait for a response or may not have read the response yet.
   *
   * <p>The wait ends {@link #LAST_RESPONSES_RESERVE_MICROS} after the answer deadline at the
   * latest. The platform does not kill the process before that time. A client that sends one
   * request after another is served until then, and cannot delay the end of the process further.
   */
  private boolean isHttpPending() {
    return http.hasPendingWork() && loop.now() < answerDeadline + LAST_RESPONSES_RESERVE_MICROS;
  }

  /**
   * Returns whether the shutdown must still wait for Faktory jobs. These are the jobs that Faktory
   * workers process and, if Faktory jobs do not outlive the process, also the jobs that are ready
   * for a worker. The shutdown waits until the answer deadline at most.
   */
  private boolean isFaktoryPending() {
    return faktory.isPresent() && faktory.get().hasPendingWork() && loop.now() < answerDeadline;
  }

  private void trace(String event) {
    if (loop.trace() != null) {
      loop.trace().line(loop.now(), event);
    }
  }
}
