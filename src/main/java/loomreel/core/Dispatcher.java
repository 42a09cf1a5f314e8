package loomreel.core;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.Event;
import loomreel.decision.Idempotency;
import loomreel.decision.Settings;
import loomreel.decision.WorkerLoad;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Connects the ingresses and the worker pools to the policy, {@link
 * loomreel.decision.DispatchPolicy}, which makes all dispatch decisions. The dispatcher reports the
 * observations of the ingresses and worker pools to the policy, as events, and executes the actions
 * that the policy returns.
 *
 * <p>The dispatcher owns the active calls. A call is active from its acceptance until it has been
 * answered or cancelled and all of its attempts have ended.
 *
 * <p>Not thread-safe: used on the event loop's thread only. All times are in microseconds of the
 * event loop's clock.
 */
public final class Dispatcher {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long MICROS_PER_MILLI = 1000;

  /**
   * The interval between two invocations of {@link WorkerPool#runPeriodicTasks}, in microseconds.
   */
  private static final long PERIODIC_TASK_INTERVAL_MICROS = MICROS_PER_SECOND;

  /** The interval between two log lines with metrics, in microseconds. */
  public static final long METRICS_LOG_INTERVAL_MICROS = 10 * MICROS_PER_SECOND;

  private final EventLoop loop;
  private final Settings settings;
  private final long seed;
  private final long answerGraceMicros;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.core.dispatcher");
  private final DispatcherMetrics metrics;
  private final CallTable calls;
  private final WorkerPools pools = new WorkerPools();
  private final PolicyDriver policy;

  /**
   * The time by which every call that is accepted from now on must be answered; {@link
   * Long#MAX_VALUE} if no shutdown deadline has been set.
   */
  private long shutdownDeadline = Long.MAX_VALUE;

  /**
   * Creates a dispatcher that has not been started and has a capacity of 0 calls.
   *
   * @param seed the seed of the policy's random number generator
   * @param answerGraceMicros the time after the deadline of a call during which an answer still
   *     counts as in time, in microseconds; a call that has no answer by then is failed
   */
  public Dispatcher(EventLoop loop, Settings settings, long seed, long answerGraceMicros) {
    this.loop = loop;
    this.settings = settings;
    this.seed = seed;
    this.answerGraceMicros = answerGraceMicros;
    metrics = new DispatcherMetrics(settings.classes());
    calls =
        new CallTable(
            requestClass ->
                settings.classes().get(requestClass).idempotency() == Idempotency.NON_IDEMPOTENT);
    ActionExecutor executor = new ActionExecutor(this, loop, calls, pools, settings.limits());
    policy = new PolicyDriver(loop, executor::execute);
  }

  /** Adds a pool of workers. */
  public void addWorkerPool(WorkerPool pool) {
    pools.add(pool);
  }

  /** Sets the maximum number of calls that are active at the same time. */
  public void setCapacity(int maxCalls) {
    calls.setCapacity(maxCalls);
  }

  /**
   * Starts the policy.
   *
   * @param disabledWorkers the ids of the workers that operators have disabled
   */
  public void start(Set<String> disabledWorkers) {
    submit(new Event.Start(seed, settings));
    disabledWorkers.forEach(this::disableWorker);
  }

  /**
   * Starts the periodic tasks of the worker pools and the periodic logging of metrics. Must not be
   * called more than once.
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

  /**
   * Returns key=value pairs for the log: the current numbers of active calls and of listed workers,
   * and the counters since the start.
   */
  public String summary() {
    return metrics.summary(calls.size(), pools.size());
  }

  /** Returns the metrics that operators query. */
  public MetricsSnapshot metricsSnapshot() {
    return metrics.snapshot(calls.unansweredCount(), pools.size(), policy.ejectedWorkers());
  }

  /** Returns whether a worker pool lists a worker with this id. */
  public boolean isListed(String worker) {
    return pools.find(worker) != null;
  }

  /**
   * Sets the fraction of the dispatcher's slow-start allowance that this process may use, from 0 to
   * 1. The allowance limits the work that the dispatcher sends to workers that are warming up.
   */
  public void setCapacityFraction(double fraction) {
    submit(new Event.CapacityFractionChanged(fraction));
  }

  /**
   * Disables a worker: no further attempts are started at the worker, and its attempts are aborted
   * unless their request has been completely written.
   *
   * @param worker the id of the worker
   */
  public void disableWorker(String worker) {
    // The policy is informed first, so that it does not retry the aborted attempts at this worker.
    submit(new Event.WorkerDisabled(worker));
    pools.setDisabled(worker, true);
    abortUnsentAttempts(worker);
  }

  /**
   * Enables a disabled worker: attempts may be started at the worker again.
   *
   * @param worker the id of the worker
   */
  public void enableWorker(String worker) {
    pools.setDisabled(worker, false);
    submit(new Event.WorkerEnabled(worker));
  }

  /**
   * Returns whether every call that this process has accepted is answered or cancelled. Attempts of
   * these calls may not have ended. During a hot restart, another process serves as the same
   * dispatcher; the calls that the other process has accepted are not considered.
   */
  public boolean isEmpty() {
    return calls.unansweredCount() == 0;
  }

  /** Returns whether the number of active calls is below the capacity. */
  public boolean hasCapacity() {
    return calls.hasCapacity();
  }

  /** Returns whether a call with this id is active in this process. */
  public boolean isActive(String id) {
    return calls.isActive(id);
  }

  /**
   * Returns whether a call with this id is active in this process or, according to the {@link
   * CallIdRegistry}, in another process that serves as the same dispatcher, for example during a
   * hot restart.
   */
  public boolean inUse(String id) {
    return calls.inUse(id);
  }

  /** Sets the registry that shares the ids of active calls, or null for none. */
  public void setCallIdRegistry(CallIdRegistry registry) {
    calls.setRegistry(registry);
  }

  /**
   * Returns whether a job with this id may have run before, in an ended call of this process or of
   * another one that served as the same dispatcher, and must not run again.
   *
   * @param requestClass the index of the request class of the job
   */
  public boolean isUnsafe(String id, int requestClass) {
    return calls.isUnsafe(id, requestClass);
  }

  /** Returns a copy of the ids of the calls that are active in this process. */
  public Set<String> activeIds() {
    return calls.activeIds();
  }

  /** Returns a copy of the ids of ended calls whose jobs may have run. */
  public List<String> unsafeIds() {
    return calls.unsafeIds();
  }

  /** Records the ids of calls whose jobs may have run in another process. */
  public void addUnsafeIds(Collection<String> ids) {
    calls.addUnsafeIds(ids);
  }

  /**
   * Accepts a call. From now on the call gets exactly one answer, unless it is cancelled.
   *
   * @param arrival the event that reports the call to the policy
   */
  public void accept(Rpc rpc, Event.RequestArrived arrival) {
    metrics.recordAcceptedCall();
    calls.add(rpc);
    long overdueAt = Math.min(shutdownDeadline, rpc.deadline() + answerGraceMicros);
    rpc.setOverdueTimer(loop.schedule(overdueAt, () -> failOverdue(rpc)));
    submit(arrival);
  }

  /**
   * Sets the time by which every call that is accepted from now on must be answered, because the
   * process exits soon after that time.
   */
  public void setShutdownDeadline(long deadline) {
    shutdownDeadline = deadline;
  }

  /**
   * Fails a call unless it has been answered or cancelled. Called when the time for an answer has
   * ended: at the deadline of the call plus the grace for answers, or at the shutdown deadline if
   * that is earlier.
   *
   * <p>Normally the policy ends each call before the deadline of the call. This method limits the
   * effect of a defect in the policy, and ends calls whose deadline is after the shutdown deadline.
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
      // Normally a call is removed when its last attempt ends, but this call may have no attempts.
      calls.removeIfDone(rpc);
    }
  }

  /**
   * Cancels a call whose answer is no longer needed, usually because its client has disconnected.
   * Does nothing if the call has been answered or cancelled.
   */
  public void cancel(Rpc rpc) {
    if (rpc.complete()) {
      metrics.recordCancelledCall();
      submit(new Event.RequestCancelled(rpc.id()));
      calls.removeIfDone(rpc);
    }
  }

  /**
   * Returns the attempt of a call at a worker if this attempt has not ended. Returns null if there
   * is no such attempt. The state of the returned attempt is {@link CallAttemptState#OPEN} or
   * {@link CallAttemptState#ACCEPTED}.
   *
   * @param id the id of the call
   * @param worker the id of the worker
   */
  public CallAttempt openAttemptAt(String id, String worker) {
    Rpc rpc = calls.find(id);
    return rpc == null ? null : rpc.openAttemptAt(worker);
  }

  /** Reports to the policy that the job of an attempt has started to run or has made progress. */
  void attemptProgressed(CallAttempt attempt) {
    submit(new Event.AttemptProgressed(attempt.rpc().id(), attempt.number()));
  }

  /**
   * Reports the end of an attempt to the policy. Removes the call from the active calls if the call
   * is completed and all of its attempts have ended.
   *
   * @param load the load that the worker reported, or null if none was reported
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
   * Reports the result of a health check to the policy.
   *
   * @param worker the id of the worker
   * @param sentAt the time at which the health check was sent
   * @param load the load that the worker reported, or null if none was reported
   */
  public void healthChecked(String worker, AttemptOutcome outcome, long sentAt, WorkerLoad load) {
    metrics.recordHealthCheck(outcome == AttemptOutcome.OK);
    submit(new Event.HealthChecked(worker, outcome, loop.now() - sentAt, load));
  }

  /**
   * Reports to the policy that the endpoint watch of a pool has failed. The last known endpoints
   * stay valid.
   */
  public void watchFailed() {
    submit(new Event.WatchFailed());
  }

  /**
   * Reports endpoints of a pool to the policy. The pool must update its subchannels before it calls
   * this method, because the policy may start attempts at the reported workers at once, and {@link
   * WorkerPool#find} must return the subchannels of these workers.
   *
   * @param source the pool that lists the endpoints
   * @param snapshot true if the list is complete, which means that an endpoint of the pool has been
   *     removed if it is missing from the list; false if the list contains only changes
   */
  public void endpointsChanged(WorkerPool source, boolean snapshot, List<Endpoint> endpoints) {
    submit(pools.endpointEvent(source, snapshot, endpoints));
  }

  /**
   * Aborts the attempts at a worker that accepts no new jobs, except attempts whose request has
   * been completely written. Without the abort, such a request could be sent over a connection that
   * is established later, at a time when sending to the worker is no longer allowed.
   *
   * <p>The policy must be informed that the worker accepts no new jobs before this method is
   * called. Otherwise the policy could retry the aborted attempts at the same worker.
   *
   * @param worker the id of the worker
   */
  public void abortUnsentAttempts(String worker) {
    calls.abortUnsentAttempts(worker);
  }

  /** Returns whether the policy still handles the timers with a token. */
  boolean awaitsTimer(long token) {
    return policy.awaitsTimer(token);
  }

  /** Passes an event to the policy. */
  void submit(Event event) {
    policy.submit(event);
  }

  /** Returns the event loop on whose thread this dispatcher is used. */
  public EventLoop loop() {
    return loop;
  }

  /** Returns the counters of this dispatcher. */
  public DispatcherMetrics metrics() {
    return metrics;
  }
}
