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
 * Shuts a dispatcher down without losing a job, and drives the {@link ServerState} of the process.
 *
 * <p>Without a successor the process serves as before for a grace period, since clients reuse the
 * connections that they have and there may be no other dispatcher for them. With a successor this
 * process accepts no connections, and its clients reconnect after their next response. Then idle
 * connections are closed, and the loop is stopped once nothing is pending. Jobs that have not ended
 * by the shutdown deadline fail.
 *
 * <p>All times are in microseconds of the event loop's clock. Confined to the loop's thread.
 */
final class GracefulShutdown {
  /**
   * Without a successor connections are used this much longer: another dispatcher may be down as
   * well.
   */
  private static final long GRACE_PERIOD_MICROS = 1_500_000;

  /**
   * With a successor idle connections stay open for this long: a client that uses one meanwhile is
   * asked to close it with the response, while a close by this side could cross a request.
   */
  private static final long HANDOVER_GRACE_PERIOD_MICROS = 2_300_000;

  /** The platform kills a process no earlier than this after the longest deadline. */
  private static final long KILL_DELAY_MICROS = 700_000;

  /** The part of the kill delay that is reserved for writing the last responses. */
  private static final long LAST_ANSWERS_MICROS = 200_000;

  /** Interval of the check whether anything is pending. */
  private static final long POLL_INTERVAL_MICROS = 20_000;

  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.server");
  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final ServerStateMachine lifecycle;
  private final HotRestart hotRestart;
  private final HttpIngress http;
  private final Optional<? extends Ingress> faktory;
  private final long longestDeadlineMicros;
  private final long limitMicros;

  /** When every job must have its response; set by the shutdown request. */
  private long answerDeadline = Long.MAX_VALUE;

  /**
   * A shutdown that nobody has requested yet.
   *
   * @param lifecycle the state of the process, in which the shutdown is recorded
   * @param hotRestart knows whether a successor serves beside this process
   * @param faktory the Faktory ingress, if the process has one
   * @param config holds the deadlines of the request classes, for which the shutdown waits, and the
   *     maximum duration of the shutdown
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
    limitMicros = config.shutdownLimitMicros();
    longestDeadlineMicros =
        config.settings().classes().stream()
            .mapToLong(Settings.RequestClass::deadline)
            .max()
            .orElse(0);
  }

  /** The first endpoint list was received, and the process is open to clients. */
  void endpointsKnown() {
    lifecycle.apply(ServerState.Trigger.ENDPOINTS_KNOWN);
  }

  /** Begins the shutdown. A further request changes nothing: time runs since the first. */
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
    // Faktory's clients cannot use another dispatcher before their connections close.
    faktory.ifPresent(Ingress::beginDrain);
    answerDeadline =
        loop.now()
            + Math.min(limitMicros, longestDeadlineMicros + KILL_DELAY_MICROS)
            - LAST_ANSWERS_MICROS;
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
   * Whether an HTTP client waits for a response or may not have read it yet. A client that sends
   * request after request is served until shortly before the process is killed, and does not delay
   * the end beyond that.
   */
  private boolean isHttpPending() {
    return http.hasPendingWork() && loop.now() < answerDeadline + LAST_ANSWERS_MICROS;
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
