package loomreel.upstream;

import loomreel.decision.Endpoint;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Ejects a worker of a static endpoint list while it cannot be reached, by publishing it as removed
 * and later as ready. {@link OutlierDetector} decides when.
 */
final class OutlierEjector implements ReachabilityListener {
  private final HttpWorkerPool workers;
  private final String workerId;
  private final OutlierDetector detector = new OutlierDetector();
  private final EventLoop loop;
  private final RateLimitedLogger log;

  OutlierEjector(HttpWorkerPool workers, String workerId, EventLoop loop, RateLimitedLogger log) {
    this.workers = workers;
    this.workerId = workerId;
    this.loop = loop;
    this.log = log;
  }

  /** Whether to probe the worker now; if so, no other probe is due before this one has failed. */
  boolean takeDueProbe() {
    return detector.takeDueProbe(loop.now());
  }

  @Override
  public void reachable() {
    if (detector.recordSuccess() == OutlierDetector.Change.RECOVERED) {
      log.info("worker recovered worker=" + workerId);
      // Whatever the cause of the failures: it warms up as if it had just started.
      Endpoint known = workers.endpoint(workerId);
      workers.replace(
          new Endpoint(
              workerId,
              known.zone(),
              known.kind(),
              known.failureDomain(),
              Endpoint.State.READY,
              loop.now(),
              known.weight()));
    }
  }

  @Override
  public void unreachable() {
    if (detector.recordFailure(loop.now()) == OutlierDetector.Change.EJECTED) {
      log.warn("worker ejected, it cannot be reached worker=" + workerId);
      workers.replace(workers.endpoint(workerId).withState(Endpoint.State.REMOVED));
    }
  }
}
