package loomreel.program.harness;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loomreel.config.ServeConfig;
import loomreel.config.ServeConfigReader;
import loomreel.io.TraceWriter;
import loomreel.server.Server;

/**
 * A dispatcher that runs in the process of the test, with real sockets. A step is an event that the
 * dispatcher writes to its trace. The test can wait for a step, or plan an action for it. The
 * action runs on the event loop thread, which does nothing else until the action returns.
 */
public final class StepControlledServer extends DispatcherHarness {
  /**
   * The number of requests that {@link #awaitPendingInputRead} makes. It is larger than the number
   * of event loop iterations that can be needed to read all input that was sent before.
   */
  private static final int REQUESTS_AFTER_PENDING_INPUT = 20;

  /** An action that a test runs at a step, or while the event loop is paused. */
  public interface StepAction {
    /** Runs the action once. */
    void run() throws Exception;
  }

  /** The steps that tests wait for, each with its event name in the trace. */
  public enum Step {
    JOB_ARRIVED("arrival"),
    JOB_CANCELLED("withdrawn"),
    JOB_FAILED("fail"),
    ATTEMPT_STARTED("send"),
    ATTEMPT_ENDED("end"),
    /** The dispatcher sends a cancellation to the worker of an attempt. */
    CANCELLATION_SENT("cancel"),
    LIST_APPLIED("list"),
    WATCH_FAILED("listlost"),
    SHUTDOWN_REQUESTED("drain"),
    LOOP_STOPPED("stop"),
    /** An idle client connection is about to be closed. Its input is still read and processed. */
    IDLE_CONNECTION_CLOSING("letgo"),
    /** The output of a client connection is shut down. Its input is discarded from now on. */
    OUTPUT_SHUT("shut");

    private final String traceName;

    Step(String traceName) {
      this.traceName = traceName;
    }
  }

  /**
   * A step that the dispatcher reached.
   *
   * @param traceName the event name in the trace
   * @param fields the traced fields, as alternating names and values
   */
  public record ReachedStep(String traceName, List<Object> fields) {
    /** Returns whether this is an occurrence of {@code step}. */
    public boolean is(Step step) {
      return traceName.equals(step.traceName);
    }

    /** Returns the value of a field, or null if there is no field with this name. */
    public Object field(String name) {
      int index = fields.indexOf(name);
      return index < 0 ? null : fields.get(index + 1);
    }
  }

  private record PlannedAction(Step step, StepAction action) {}

  private final Server server;
  private final Thread loopThread;
  /** The steps that {@link #awaitStep} and {@link #drainSteps} have not returned or skipped yet. */
  private final BlockingQueue<ReachedStep> unreadSteps = new LinkedBlockingQueue<>();
  private final List<ReachedStep> allSteps = Collections.synchronizedList(new ArrayList<>());
  private final BlockingQueue<PlannedAction> plannedActions = new LinkedBlockingQueue<>();
  /** Errors of the event loop thread and of planned actions, which {@link #awaitStep} reports. */
  private final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();
  private final int port;

  /** Starts a dispatcher with the standard configuration. */
  public StepControlledServer(int workerCount) throws Exception {
    this(workerCount, new TestConfiguration());
  }

  /**
   * Starts a dispatcher. If stub discovery confirms the initial endpoint list, also waits until the
   * dispatcher has applied its first list.
   */
  public StepControlledServer(int workerCount, TestConfiguration configuration) throws Exception {
    super(workerCount);
    Path file = Files.createTempFile("loomreel", ".json");
    Files.writeString(file, prepareConfiguration(configuration).toJson());
    ServeConfig config = ServeConfigReader.read(Map.of("BALANCER_CONFIG", file.toString()));
    Files.delete(file);
    server = new Server(config, Optional.empty(), Optional.of(new StepRecorder()));
    port = server.port();
    loopThread = new Thread(this::runLoop, "step-controlled server");
    loopThread.setDaemon(true);
    loopThread.start();
    if (configuration.isKnownListConfirmed()) {
      awaitFirstList();
    }
  }

  private void awaitFirstList() throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HttpIo.TIMEOUT_MILLIS);
    while (stepCount(Step.LIST_APPLIED) == 0) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("no endpoint list was applied");
      }
      Thread.sleep(1);
    }
  }

  private void runLoop() {
    try {
      server.run();
    } catch (IOException e) {
      failures.add(e);
    }
  }

  private final class StepRecorder extends TraceWriter {
    StepRecorder() {
      super(OutputStream.nullOutputStream());
    }

    @Override
    public void line(long atMicros, String event, Object... fields) {
      ReachedStep step = new ReachedStep(event, Arrays.asList(fields));
      allSteps.add(step);
      PlannedAction planned = plannedActions.peek();
      if (planned != null && step.is(planned.step)) {
        plannedActions.remove();
        runAction(planned.action);
      }
      unreadSteps.add(step);
    }
  }

  private void runAction(StepAction action) {
    try {
      action.run();
    } catch (Exception | AssertionError e) {
      failures.add(e);
    }
  }

  /**
   * Plans an action that runs at the next occurrence of a step, before the step takes effect.
   * Planned actions run in the order in which they were planned. A step triggers only the first
   * planned action that has not run yet.
   */
  public void onStep(Step step, StepAction action) {
    plannedActions.add(new PlannedAction(step, action));
  }

  /**
   * Waits for the next unread occurrence of a step, and skips the unread steps before it.
   *
   * @throws AssertionError if the event loop or a planned action has failed, or after {@link
   *     HttpIo#TIMEOUT_MILLIS}
   */
  public ReachedStep awaitStep(Step step) throws Exception {
    long deadlineNanos = System.nanoTime() + HttpIo.TIMEOUT_MILLIS * 1_000_000L;
    while (true) {
      long remainingNanos = Math.max(0, deadlineNanos - System.nanoTime());
      ReachedStep reached = unreadSteps.poll(remainingNanos, TimeUnit.NANOSECONDS);
      if (!failures.isEmpty()) {
        throw new AssertionError(failures.peek());
      }
      if (reached == null) {
        throw new AssertionError("step not reached: " + step);
      }
      if (reached.is(step)) {
        return reached;
      }
    }
  }

  /** Waits until an attempt is started, and returns the index of its worker. */
  public int awaitAttemptWorker() throws Exception {
    String worker = (String) awaitStep(Step.ATTEMPT_STARTED).field("worker");
    return Integer.parseInt(worker.substring(1));
  }

  /** Removes all unread steps and returns them, ordered by time. */
  public List<ReachedStep> drainSteps() {
    List<ReachedStep> steps = new ArrayList<>();
    unreadSteps.drainTo(steps);
    return steps;
  }

  /** Returns how many times a step was reached since the start, whether read or not. */
  public long stepCount(Step step) {
    return List.copyOf(allSteps).stream().filter(reached -> reached.is(step)).count();
  }

  /**
   * Pauses the event loop between two iterations, runs an action on the calling thread, and resumes
   * the event loop. This simulates a process that gets no CPU time.
   */
  public void whileLoopIsPaused(StepAction action) throws Exception {
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch resumed = new CountDownLatch(1);
    server.loop().execute(() -> pauseLoop(paused, resumed));
    paused.await();
    action.run();
    resumed.countDown();
  }

  private void pauseLoop(CountDownLatch paused, CountDownLatch resumed) {
    paused.countDown();
    try {
      resumed.await();
    } catch (InterruptedException e) {
      failures.add(e);
    }
  }

  /**
   * Waits until the event loop has read all bytes that were sent before. It makes readiness checks
   * one after the other: in each iteration the loop reads one buffer of each connection, and each
   * check is answered in a later iteration than the check before it.
   */
  public void awaitPendingInputRead() throws Exception {
    for (int i = 0; i < REQUESTS_AFTER_PENDING_INPUT; i++) {
      request(READINESS_HEAD, "");
    }
  }

  /** Requests a graceful shutdown, as SIGTERM does. */
  public void requestShutdown() {
    server.shutDown();
  }

  /**
   * Waits until the event loop has ended.
   *
   * @return false if it still runs after {@link HttpIo#TIMEOUT_MILLIS}
   */
  public boolean awaitLoopEnd() throws InterruptedException {
    loopThread.join(HttpIo.TIMEOUT_MILLIS);
    return !loopThread.isAlive();
  }

  /** Makes the dispatcher use discovery at another address, as a configuration reload does. */
  public void moveDiscovery(InetSocketAddress address) {
    server.loop().execute(() -> server.configReloader().moveDiscovery(address));
  }

  /** Disables a worker, as an operator does through the management API. */
  public void disableWorker(String worker) {
    server.loop().execute(() -> setDisabled(worker));
  }

  private void setDisabled(String worker) {
    try {
      server.adminOperations().setWorkerDisabled(worker, true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public int port() {
    return port;
  }

  @Override
  public void close() throws IOException {
    server.loop().execute(server.loop()::stop);
    try {
      loopThread.join(HttpIo.TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    server.loop().close();
    super.close();
  }
}
