package loomreel.upstream;

import loomreel.decision.Endpoint;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Ejects one worker of a static endpoint list while the worker cannot be reached. When {@link
 * OutlierDetector} ejects the worker, reports the worker to the dispatcher as removed. When the
 * worker responds again, reports the worker as ready.
 */
final class OutlierEjector implements ReachabilityListener {
  private final HttpWorkerPool workerPool;
  private final String workerId;
  private final OutlierDetector detector = new OutlierDetector();
  private final EventLoop loop;
  private final RateLimitedLogger log;

  OutlierEjector(
      HttpWorkerPool workerPool, String workerId, EventLoop loop, RateLimitedLogger log) {
    this.workerPool = workerPool;
    this.workerId = workerId;
    this.loop = loop;
    this.log = log;
  }

  /**
   * Returns whether a probe of the ejected worker is due. If a probe is due, records that a probe
   * is in flight. No other probe is due until the end of the probe has been reported by {@link
   * #reachable} or {@link #unreachable}.
   */
  boolean startProbeIfDue() {
    return detector.startProbeIfDue(loop.now());
  }

  @Override
  public void reachable() {
    if (detector.recordSuccess() == OutlierDetector.Change.RECOVERED) {
      log.info("worker recovered worker=" + workerId);
      // Sets the start time to the current time, so that the worker gets a slow start, whatever the
      // cause of the failures was.
      Endpoint lastEndpoint = workerPool.endpoint(workerId);
      workerPool.replaceEndpoint(
          new Endpoint(
              workerId,
              lastEndpoint.zone(),
              lastEndpoint.kind(),
              lastEndpoint.failureDomain(),
              Endpoint.State.READY,
              loop.now(),
              lastEndpoint.weight()));
    }
  }

  @Override
  public void unreachable() {
    if (detector.recordFailure(loop.now()) == OutlierDetector.Change.EJECTED) {
      log.warn("worker ejected, it cannot be reached worker=" + workerId);
      workerPool.replaceEndpoint(workerPool.endpoint(workerId).withState(Endpoint.State.REMOVED));
    }
  }
}
