package loomreel.faktory;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import loomreel.core.Dispatcher;
import loomreel.core.Ingress;
import loomreel.core.WorkerPool;
import loomreel.decision.Settings;
import loomreel.faktory.payload.JobPayloadReader;
import loomreel.faktory.payload.WorkerPayloads;
import loomreel.faktory.protocol.PasswordChallenges;
import loomreel.faktory.queue.ConcurrencyLimiter;
import loomreel.faktory.queue.HeapLimits;
import loomreel.faktory.queue.JobQueue;
import loomreel.faktory.queue.QueueLimits;
import loomreel.faktory.queue.QueueWeights;
import loomreel.faktory.queue.WeightedRoundRobin;
import loomreel.faktory.scheduling.AttemptOutcomes;
import loomreel.faktory.scheduling.JobClasses;
import loomreel.faktory.scheduling.JobScheduler;
import loomreel.faktory.scheduling.RecentAttempts;
import loomreel.faktory.storage.JobPersistence;
import loomreel.faktory.storage.SpoolPersistence;
import loomreel.faktory.worker.AttemptReports;
import loomreel.faktory.worker.FaktoryWorkerPool;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.settings.FaktorySettings;

/**
 * The Faktory protocol's side of the dispatcher, composed of its parts. A client's job waits in the
 * {@link JobQueue} until it is due and the {@link ConcurrencyLimiter} admits it; the {@link
 * JobScheduler} makes each attempt an RPC, for which the decision module decides as for any other.
 */
public final class FaktoryIngress implements Ingress {
  private final EventLoop loop;
  private final FaktorySettings settings;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.faktory.ingress");
  private final JobQueue queue;
  private final ConcurrencyLimiter limiter;
  private final FaktoryWorkerPool workers;
  private final JobPersistence persistence;
  private final JobScheduler scheduler;
  private final PasswordChallenges challenges;
  private final FaktoryListener listener;
  private final IngressReport report;
  private final CommandDispatcher commands;

  /**
   * Restores the jobs of an earlier process and opens the port; connections are accepted once the
   * loop runs.
   *
   * @param model the classes and tenants that jobs may belong to
   * @param seed for the spread of retries and the ids of attempts
   * @throws IOException if the port cannot be opened, or the spool cannot be read
   */
  public FaktoryIngress(Dispatcher dispatcher, FaktorySettings settings, Settings model, long seed)
      throws IOException {
    this.settings = settings;
    loop = dispatcher.loop();
    SplittableRandom random = new SplittableRandom(seed);
    JobClasses classes = new JobClasses(model.classes(), settings);
    JobPayloadReader payloads = payloadReader(settings, model);
    queue = new JobQueue(queueLimits(settings), settings.queues().keySet(), random);
    QueueWeights weights = queueWeights(settings);
    limiter = new ConcurrencyLimiter(weights);
    RecentAttempts recentAttempts =
        new RecentAttempts(loop, queue, log, Runtime.getRuntime().maxMemory());
    workers =
        new FaktoryWorkerPool(
            dispatcher,
            settings.workers(),
            new WorkerPayloads(settings.queues()),
            model.classes(),
            model.zone());
    persistence = openPersistence(classes, payloads);
    scheduler =
        new JobScheduler(
            dispatcher,
            queue,
            new WeightedRoundRobin(weights),
            limiter,
            persistence,
            classes,
            recentAttempts,
            new AttemptOutcomes(loop, queue, limiter, classes, log),
            random);
    challenges =
        new PasswordChallenges(loop, settings.password(), settings.passwordHashIterations());
    listener =
        new FaktoryListener(
            loop, settings.listenAddress(), settings.maxConnections(), this::connect, log);
    report = new IngressReport(loop, queue, workers, listener, settings.queues().keySet());
    commands = commands(classes, payloads, recentAttempts);
    // Restored jobs must not wait until something else happens.
    scheduler.wakeUp();
  }

  private static JobPayloadReader payloadReader(FaktorySettings settings, Settings model) {
    Map<String, Integer> classes = new HashMap<>();
    model.classes().forEach(requestClass -> classes.put(requestClass.name(), classes.size()));
    Map<String, Integer> tenants = new HashMap<>();
    model.tenants().forEach(tenant -> tenants.put(tenant.name(), tenants.size()));
    return new JobPayloadReader(settings, classes, tenants);
  }

  private static QueueLimits queueLimits(FaktorySettings settings) {
    return new QueueLimits(
        settings.backlog().maxJobs(),
        settings.backlog().maxSize().bytes(),
        settings.initialBackoff().micros(),
        settings.endedJobRetention().micros(),
        settings.maxRetainedJobs(),
        HeapLimits.of(Runtime.getRuntime().maxMemory()));
  }

  private static QueueWeights queueWeights(FaktorySettings settings) {
    Map<String, Integer> weights = new HashMap<>();
    settings.queues().forEach((name, queue) -> weights.put(name, queue.weight()));
    return new QueueWeights(weights);
  }

  private JobPersistence openPersistence(JobClasses classes, JobPayloadReader payloads)
      throws IOException {
    if (settings.spoolDirectory().equals(FaktorySettings.NO_SPOOL)) {
      log.warn("spool disabled: waiting jobs are lost when this process ends");
      return JobPersistence.NONE;
    }
    return SpoolPersistence.open(loop, settings, classes, queue, payloads, log);
  }

  private CommandDispatcher commands(
      JobClasses classes, JobPayloadReader payloads, RecentAttempts attempts) {
    AttemptReports reports = new AttemptReports(workers, attempts::recordEvidence);
    JobIntake intake = new JobIntake(loop, queue, persistence, payloads, scheduler, log);
    CommandLimits limits =
        CommandLimits.of(Runtime.getRuntime().maxMemory(), settings.maxCommandSize().bytes());
    return new CommandDispatcher(
        settings,
        limits,
        workers,
        new ProducerCommands(loop, intake, limits),
        new ConsumerCommands(workers, reports, settings.workers(), scheduler, persistence),
        new TrackCommands(attempts, reports),
        new AdminCommands(
            loop, queue.administration(), classes, scheduler, report, settings.allowsMutation()),
        report,
        log);
  }

  private FaktoryConnection connect(SocketChannel channel) throws IOException {
    return new FaktoryConnection(
        loop,
        channel,
        challenges.next(),
        new FaktoryConnection.Context(
            commands, workers, listener, settings.passwordHashIterations(), log));
  }

  /** The workers that fetch jobs here. */
  public WorkerPool workers() {
    return workers;
  }

  /**
   * Sets how many RPCs the dispatcher may hold.
   *
   * @param openRpcs of all clients; the settings limit the fraction of them that may be Faktory
   *     jobs
   */
  public void setCapacity(int openRpcs) {
    limiter.setCapacity((int) (openRpcs * settings.maxCapacityFraction()));
  }

  @Override
  public void beginDrain() {
    scheduler.beginDrain();
  }

  @Override
  public boolean hasPendingWork() {
    return scheduler.hasPendingWork();
  }

  @Override
  public void close() {
    listener.close();
    try {
      persistence.close();
    } catch (IOException e) {
      log.error("spool close failed: waiting jobs may be lost", e);
      return;
    }
    if (persistence.outlivesProcess()) {
      log.info("spool closed waiting_jobs=" + queue.liveCount());
    } else if (queue.liveCount() > 0) {
      log.warn("spool disabled: waiting jobs lost jobs=" + queue.liveCount());
    }
  }

  @Override
  public String summary() {
    return report.summary();
  }
}
