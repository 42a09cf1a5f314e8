package loomreel.core;

import java.util.List;
import java.util.Set;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.Event;
import loomreel.decision.Settings;
import loomreel.decision.WorkerLoad;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Connects protocols and decision module: reports to the module, as events, what ingresses and
 * worker pools observe, and has its actions executed. It takes no decision of its own. Owns the
 * active calls. Used on the event loop's thread only; all times are microseconds of its clock.
 */
public final class Dispatcher {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long MICROS_PER_MILLI = 1000;

  /** The period of {@link WorkerPool#runPeriodicTasks}. */
  private static final long PERIODIC_TASK_INTERVAL_MICROS = MICROS_PER_SECOND;

  /** How often metrics are logged. */
  public static final long METRICS_LOG_INTERVAL_MICROS = 10 * MICROS_PER_SECOND;

  private final EventLoop loop;
  private final Settings settings;
  private final long seed;
  private final long answerGrace;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.core.dispatcher");
  private final DispatcherMetrics metrics;
  private final CallTable calls = new CallTable();
  private final WorkerPools pools = new WorkerPools();
  private final PolicyDriver policy;

  /** Calls that are accepted from now on are answered by this time. */
  private long shutdownDeadline = Long.MAX_VALUE;

  /**
   * Creates a dispatcher that has not started and has no capacity yet.
   *
   * @param seed seeds the decision module's random numbers
   * @param answerGrace how long after a client's deadline an answer still counts, in microseconds
   */
  public Dispatcher(EventLoop loop, Settings settings, long seed, long answerGrace) {
    this.loop = loop;
    this.settings = settings;
    this.seed = seed;
    this.answerGrace = answerGrace;
    metrics = new DispatcherMetrics(settings.classes());
    ActionExecutor executor = new ActionExecutor(this, loop, calls, pools, settings.limits());
    policy = new PolicyDriver(loop, executor::execute);
  }

  /** Adds a source of workers. */
  public void addWorkerPool(WorkerPool pool) {
    pools.add(pool);
  }

  /** Sets how many calls may be active at a time. */
  public void setCapacity(int maxCalls) {
    calls.setCapacity(maxCalls);
  }

  /**
   * Starts the decision module.
   *
   * @param disabledWorkers ids of the workers that operators have disabled
   */
  public void start(Set<String> disabledWorkers) {
    submit(new Event.Start(seed, settings));
    disabledWorkers.forEach(this::disableWorker);
  }

  /**
   * Starts the pools' periodic tasks and the metrics log. To be called once, after the first
   * endpoint list.
   */
  public void startPeriodicTasks() {
    runPeriodicTasks();
    logMetrics();
  }

  private void runPeriodicTasks() {
    pools.runPeriodicTasks();
    loop.schedule(loop.now() + PERIODIC_TASK_INTERVAL_MICROS, this::runPeriodicTasks);
  }

  private void logMetrics() {
    log.info(
        "metrics "
            + summary()
            + " longest_iteration_ms="
            + loop.takeLongestIteration() / MICROS_PER_MILLI);
    loop.schedule(loop.now() + METRICS_LOG_INTERVAL_MICROS, this::logMetrics);
  }

  /** The counters since the start as key=value pairs for the log. */
  public String summary() {
    return metrics.summary(calls.size(), pools.size());
  }

  /** The figures that operators query. */
  public MetricsSnapshot metricsSnapshot() {
    return metrics.snapshot(calls.unansweredCount(), pools.size(), policy.ejectedWorkers());
  }

  /** Whether a worker pool lists a worker with that id. */
  public boolean isListed(String worker) {
    return pools.find(worker) != null;
  }

  /**
   * Sets the fraction of the dispatcher's slow-start allowance that this process may use, from 0 to
   * 1.
   */
  public void setCapacityFraction(double fraction) {
    submit(new Event.CapacityFractionChanged(fraction));
  }

  /** Starts no further attempt at a worker, and aborts those that are not completely written. */
  public void disableWorker(String worker) {
    // The policy first: it must not retry there what the pool aborts.
    submit(new Event.WorkerDisabled(worker));
    pools.setDisabled(worker, true);
    abortUnsentAttempts(worker);
  }

  /** Allows attempts at a disabled worker again. */
  public void enableWorker(String worker) {
    pools.setDisabled(worker, false);
    submit(new Event.WorkerEnabled(worker));
  }

  /** Whether every accepted call has its answer. */
  public boolean isEmpty() {
    return calls.unansweredCount() == 0;
  }

  /** Whether another call may be accepted. */
  public boolean hasCapacity() {
    return calls.hasCapacity();
  }

  /** Whether a call with that id is active in this process. */
  public boolean isActive(String id) {
    return calls.isActive(id);
  }

  /** Whether a call with that id is active in this process or in the one that it replaces. */
  public boolean inUse(String id) {
    return calls.inUse(id);
  }

  /** Sets who is informed of the ids of active calls; null for nobody. */
  public void setCallIdRegistry(CallIdRegistry registry) {
    calls.setRegistry(registry);
  }

  /** The ids of the calls that are active in this process. */
  public Set<String> activeIds() {
    return calls.activeIds();
  }

  /** Accepts a call. From here on it gets exactly one answer, unless it is cancelled. */
  public void accept(Rpc rpc, Event.RequestArrived arrival) {
    metrics.recordAcceptedCall();
    calls.add(rpc);
    loop.schedule(Math.min(shutdownDeadline, rpc.deadline() + answerGrace), () -> failOverdue(rpc));
    submit(arrival);
  }

  /**
   * Sets the time by which every call that is accepted from now on is answered, since the process
   * exits soon after.
   */
  public void setShutdownDeadline(long deadline) {
    shutdownDeadline = deadline;
  }

  /**
   * Fails a call that has no answer in time. The policy decides before a call's deadline; this
   * bounds the damage of a fault in it, and the time of calls that would outlive the process.
   */
  private void failOverdue(Rpc rpc) {
    if (!rpc.isCompleted()) {
      boolean shuttingDown = loop.now() >= shutdownDeadline;
      log.warn(
          "call failed reason="
              + (shuttingDown ? "shutdown" : "no-decision-by-deadline")
              + " id="
              + rpc.id());
      rpc.fail();
      submit(new Event.RequestCancelled(rpc.id()));
      // A call without attempts would never be removed otherwise.
      calls.removeIfDone(rpc);
    }
  }

  /** Cancels a call whose client has disconnected; does nothing if it has its answer. */
  public void cancel(Rpc rpc) {
    if (rpc.complete()) {
      metrics.recordCancelledCall();
      submit(new Event.RequestCancelled(rpc.id()));
      calls.removeIfDone(rpc);
    }
  }

  /** The open attempt of a call at a worker, or null where there is none. */
  public CallAttempt openAttemptAt(String id, String worker) {
    Rpc rpc = calls.find(id);
    return rpc == null ? null : rpc.openAttemptAt(worker);
  }

  /** Reports that an attempt has started to run or has made progress. */
  void attemptProgressed(CallAttempt attempt) {
    submit(new Event.AttemptProgressed(attempt.rpc().id(), attempt.number()));
  }

  /**
   * Reports the end of an attempt.
   *
   * @param load the worker's load, or null where it was not reported
   */
  void attemptEnded(CallAttempt attempt, AttemptOutcome outcome, WorkerLoad load) {
    Rpc rpc = attempt.rpc();
    submit(
        new Event.AttemptEnded(
            rpc.id(),
            attempt.number(),
            attempt.worker(),
            outcome,
            rpc.isCompleted(),
            loop.now() - attempt.sentAt(),
            load));
    calls.removeIfDone(rpc);
  }

  /**
   * Reports the result of a health check.
   *
   * @param sentAt when it was sent
   * @param load the worker's load, or null where it was not reported
   */
  public void healthChecked(String worker, AttemptOutcome outcome, long sentAt, WorkerLoad load) {
    metrics.recordHealthCheck(outcome == AttemptOutcome.OK);
    submit(new Event.HealthChecked(worker, outcome, loop.now() - sentAt, load));
  }

  /** Reports that a pool's endpoint watch failed; the endpoints known so far stay valid. */
  public void watchFailed() {
    submit(new Event.WatchFailed());
  }

  /**
   * Reports a pool's endpoints; {@link WorkerPool#find} knows them already.
   *
   * @param snapshot whether endpoints that it does not name are removed; otherwise these are
   *     changes
   */
  public void endpointsChanged(WorkerPool source, boolean snapshot, List<Endpoint> endpoints) {
    submit(pools.endpointEvent(source, snapshot, endpoints));
  }

  /**
   * Aborts all attempts at a worker whose request has not been completely written: the worker takes
   * no new jobs, and the policy knows. A connection may be established only after the time by which
   * such a request may still be written.
   */
  public void abortUnsentAttempts(String worker) {
    calls.abortUnsentAttempts(worker);
  }

  /** Passes an event to the policy. */
  void submit(Event event) {
    policy.submit(event);
  }

  /** The loop whose thread owns this dispatcher. */
  public EventLoop loop() {
    return loop;
  }

  /** The counters of this dispatcher. */
  public DispatcherMetrics metrics() {
    return metrics;
  }
}
