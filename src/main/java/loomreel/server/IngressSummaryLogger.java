package loomreel.server;

import java.util.List;
import java.util.stream.Collectors;
import loomreel.core.Dispatcher;
import loomreel.core.Ingress;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Logs a summary of all ingresses at intervals of {@link Dispatcher#METRICS_LOG_INTERVAL_MICROS}.
 */
final class IngressSummaryLogger {
  private final EventLoop loop;
  private final List<Ingress> ingresses;
  private final RateLimitedLogger log;

  IngressSummaryLogger(EventLoop loop, List<Ingress> ingresses, RateLimitedLogger log) {
    this.loop = loop;
    this.ingresses = ingresses;
    this.log = log;
  }

  /** Logs a summary now and after each interval, for as long as the event loop runs. */
  void start() {
    log.info(summary());
    loop.schedule(loop.now() + Dispatcher.METRICS_LOG_INTERVAL_MICROS, this::start);
  }

  /** Returns the summaries of all ingresses, separated by semicolons. */
  String summary() {
    return ingresses.stream().map(Ingress::summary).collect(Collectors.joining("; "));
  }
}
