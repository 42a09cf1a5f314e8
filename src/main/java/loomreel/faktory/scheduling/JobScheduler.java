package loomreel.faktory.scheduling;

import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import loomreel.core.Dispatcher;
import loomreel.core.Rpc;
import loomreel.decision.Event;
import loomreel.decision.Settings;
import loomreel.faktory.payload.JobPayloadReader;
import loomreel.faktory.queue.ConcurrencyLimiter;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.JobQueue;
import loomreel.faktory.queue.JobSpec;
import loomreel.faktory.queue.WeightedRoundRobin;
import loomreel.faktory.storage.JobPersistence;
import loomreel.io.ByteQueue;
import loomreel.io.EventLoop;

/**
 * Starts attempts of jobs that are due, as the {@link ConcurrencyLimiter} and the dispatcher's
 * capacity allow. It runs from a timer of the event loop only, never within the call that wakes it
 * up. Times are microseconds of the loop's clock.
 */
public final class JobScheduler {
  /** Attempts started in one turn of the loop, which delays HTTP clients for as long. */
  private static final int MAX_STARTS_PER_TURN = 16;

  /**
   * The part of the buffers for the payloads of attempts, so that jobs which can wait leave the
   * rest to clients that cannot.
   */
  private static final double MAX_BUFFER_FRACTION = 0.25;

  /** The delay after which a dispatcher without capacity is checked again, in microseconds. */
  private static final long CAPACITY_RETRY_MICROS = 5_000;

  private final Dispatcher dispatcher;
  private final EventLoop loop;
  private final JobQueue queue;
  private final WeightedRoundRobin turns;
  private final ConcurrencyLimiter limiter;
  private final JobPersistence persistence;
  private final JobClasses classes;
  private final RecentAttempts recentAttempts;
  private final AttemptOutcomes outcomes;
  private final RandomGenerator random;

  /** The attempts that have not ended, in order of their start. */
  private final Set<JobAttempt> openAttempts = new LinkedHashSet<>();

  private final long maxOpenPayloadBytes;

  /** Payload bytes of {@link #openAttempts}. */
  private long openPayloadBytes;

  private EventLoop.Timer timer;
  private long nextRunAt = Long.MAX_VALUE;
  private boolean isDraining;

  /**
   * Creates a scheduler that is idle until {@link #wakeUp}.
   *
   * @param random source of the ids of attempts, shared with the caller
   */
  public JobScheduler(
      Dispatcher dispatcher,
      JobQueue queue,
      WeightedRoundRobin turns,
      ConcurrencyLimiter limiter,
      JobPersistence persistence,
      JobClasses classes,
      RecentAttempts recentAttempts,
      AttemptOutcomes outcomes,
      RandomGenerator random) {
    this.dispatcher = dispatcher;
    this.loop = dispatcher.loop();
    this.queue = queue;
    this.turns = turns;
    this.limiter = limiter;
    this.persistence = persistence;
    this.classes = classes;
    this.recentAttempts = recentAttempts;
    this.outcomes = outcomes;
    this.random = random;
    maxOpenPayloadBytes = (long) (loop.pool().scarceBytes() * MAX_BUFFER_FRACTION);
  }

  /** Runs in this turn of the loop or the next. */
  public void wakeUp() {
    wakeUpAt(loop.now());
  }

  /** Runs at a time, or earlier where that is planned already. */
  public void wakeUpAt(long time) {
    if (time < nextRunAt) {
      if (timer != null) {
        timer.cancel();
      }
      nextRunAt = time;
      timer = loop.schedule(time, this::run);
    }
  }

  private void run() {
    nextRunAt = Long.MAX_VALUE;
    long now = loop.now();
    queue.processDue(now);
    // The next process runs what is stored.
    boolean startsAttempts = !(isDraining && persistence.outlivesProcess());
    if (startsAttempts) {
      startAttempts(now);
    }
    if (startsAttempts && queue.hasReady()) {
      wakeUpUnlessNever(limiter.resumesAt(queue.readyQueues(), now));
    }
    wakeUpUnlessNever(queue.nextDueMicros());
    if (persistence.reclaimSpace()) {
      wakeUpAt(now);
    }
  }

  private void wakeUpUnlessNever(long time) {
    if (time < Long.MAX_VALUE) {
      wakeUpAt(time);
    }
  }

  private void startAttempts(long now) {
    int started = 0;
    boolean hasCapacity = true;
    while (started < MAX_STARTS_PER_TURN && queue.hasReady()) {
      hasCapacity = dispatcher.hasCapacity() && openPayloadBytes < maxOpenPayloadBytes;
      Optional<String> next = hasCapacity ? nextQueue(now) : Optional.empty();
      if (next.isEmpty()) {
        break;
      }
      started++;
      limiter.recordStart(next.get());
      start(queue.startNext(next.get(), now));
    }
    if (started == MAX_STARTS_PER_TURN) {
      wakeUpAt(now);
    } else if (!hasCapacity) {
      wakeUpAt(now + CAPACITY_RETRY_MICROS);
    }
  }

  private Optional<String> nextQueue(long now) {
    return turns.next(queue.readyQueues(), name -> limiter.mayStart(name, now));
  }

  /** Where the job must not run twice, it is submitted once the attempt is safely recorded. */
  private void start(Job job) {
    JobAttempt attempt = new JobAttempt(job, this, outcomes, persistence);
    openAttempts.add(attempt);
    openPayloadBytes += job.payload().length;
    int requestClass = job.spec().requestClass();
    persistence.whenDurable(
        !classes.isIdempotent(requestClass) && persistence.isSynced(requestClass),
        () -> submit(attempt));
  }

  private void submit(JobAttempt attempt) {
    if (!openAttempts.contains(attempt)) {
      return;
    }
    Job job = attempt.job();
    JobSpec spec = job.spec();
    String id = newAttemptId();
    recentAttempts.add(id, job);
    Settings.RequestClass requestClass = classes.get(spec.requestClass());
    long deadline = Math.min(loop.now() + requestClass.deadline(), spec.deadline());
    ByteQueue body = new ByteQueue(loop.pool());
    body.append(job.payload());
    Rpc rpc =
        new Rpc(
            id,
            spec.requestClass(),
            "/" + requestClass.name() + "/" + spec.type() + "?jid=" + spec.jid(),
            JobPayloadReader.JOB_CONTENT_TYPE,
            spec.jid(),
            body,
            deadline,
            attempt,
            dispatcher.metrics());
    attempt.submitted(rpc);
    dispatcher.accept(rpc, arrival(id, job, deadline));
  }

  private static Event.RequestArrived arrival(String id, Job job, long deadline) {
    JobSpec spec = job.spec();
    boolean isRetry = job.failures() > 0;
    boolean hasIdempotencyKey = true;
    return new Event.RequestArrived(
        id,
        spec.key(),
        Math.max(1, spec.slots()),
        spec.requestClass(),
        spec.tenant(),
        deadline,
        isRetry,
        spec.work(),
        spec.queue(),
        hasIdempotencyKey);
  }

  private String newAttemptId() {
    String id;
    do {
      id = HexFormat.of().toHexDigits(random.nextLong());
    } while (dispatcher.inUse(id) || recentAttempts.contains(id));
    return id;
  }

  /** Removes an attempt that has its outcome. */
  void ended(JobAttempt attempt) {
    if (openAttempts.remove(attempt)) {
      openPayloadBytes -= attempt.job().payload().length;
    }
  }

  /**
   * Starts no attempt that the next process can make: attempts of which nothing was sent are
   * returned to the queue where that is stored, and the others are awaited.
   */
  public void beginDrain() {
    isDraining = true;
    if (persistence.outlivesProcess()) {
      List.copyOf(openAttempts).stream()
          .filter(attempt -> !attempt.isSent())
          .forEach(this::returnToQueue);
      persistence.write();
    }
    wakeUp();
  }

  private void returnToQueue(JobAttempt attempt) {
    ended(attempt);
    limiter.recordFailed(attempt.job().spec().queue());
    if (attempt.rpc() != null) {
      dispatcher.cancel(attempt.rpc());
    }
    queue.withdrawAttempt(attempt.job(), loop.now());
  }

  /** Whether {@link #beginDrain} was called. */
  public boolean isDraining() {
    return isDraining;
  }

  /** Whether jobs are still awaited: active ones, and without storage the ready ones. */
  public boolean hasPendingWork() {
    return queue.size(Job.State.ACTIVE) > 0 || (!persistence.outlivesProcess() && queue.hasReady());
  }
}
