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
 * dispatcher writes to its trace. The test can wait for a step, or plan an action that runs when
 * the dispatcher reaches a step. A planned action runs on the event loop thread, which does nothing
 * else until the action returns.
 */
public final class StepControlledServer extends DispatcherHarness {
  /**
   * The number of readiness checks that {@link #awaitPendingInputRead} makes, one after the other,
   * to wait until the event loop has read all input that was sent before. Each check takes at least
   * one iteration of the event loop. The number of checks is larger than the number of iterations
   * that can be needed to read this input.
   */
  private static final int REQUESTS_AFTER_PENDING_INPUT = 20;

  /** An action that a test runs at a step, or while the event loop is paused. */
  public interface StepAction {
    /** Runs the action once. */
    void run() throws Exception;
  }

  /** The steps that tests wait for or plan actions for, each with its event name in the trace. */
  public enum Step {
    JOB_ARRIVED("arrival"),
    JOB_CANCELLED("withdrawn"),
    JOB_FAILED("fail"),
    ATTEMPT_STARTED("send"),
    ATTEMPT_ENDED("end"),
    /** The dispatcher sends a cancellation to the worker of an attempt. */
    CANCELLATION_SENT("cancel"),
    /** The dispatcher applies a complete endpoint list. A list of changes is another event. */
    LIST_APPLIED("list"),
    /**
     * A call for the endpoint list has failed, and the dispatcher classifies the failure as:
     * discovery is down or overloaded ({@code WatchTimeouts.Failure.UNAVAILABLE}). The last list
     * stays valid. After other failures, for example an invalid list or a call without response,
     * this step does not occur. In discovery mode {@link TestConfiguration.DiscoveryMode#PUSH}, it
     * never occurs.
     */
    WATCH_FAILED("listlost"),
    SHUTDOWN_REQUESTED("drain"),
    LOOP_STOPPED("stop"),
    /**
     * The dispatcher intends to close an idle client connection. First, it reads the input that has
     * arrived on this connection. If a job has arrived completely, the dispatcher processes the job
     * and does not close the connection at this point. If only a part of a request has arrived, the
     * dispatcher may also keep the connection open.
     */
    IDLE_CONNECTION_CLOSING("letgo"),
    /**
     * The dispatcher shuts down its output on a client connection. From this step on, it discards
     * the input of this connection.
     */
    OUTPUT_SHUT("shut");

    private final String traceName;

    Step(String traceName) {
      this.traceName = traceName;
    }
  }

  /**
   * A step that the dispatcher reached. There is a reached step for each event in the trace, also
   * for events that {@link Step} does not contain.
   *
   * @param traceName the event name in the trace
   * @param fields the fields of the event, as alternating names and values
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

  /** An action and the step at which it runs. */
  private record PlannedAction(Step step, StepAction action) {}

  private final Server server;
  private final Thread loopThread;

  /** The steps that neither {@link #awaitStep} nor {@link #drainSteps} has removed yet. */
  private final BlockingQueue<ReachedStep> unreadSteps = new LinkedBlockingQueue<>();

  private final List<ReachedStep> allSteps = Collections.synchronizedList(new ArrayList<>());
  private final BlockingQueue<PlannedAction> plannedActions = new LinkedBlockingQueue<>();

  /** Errors of the event loop thread and of planned actions. {@link #awaitStep} reports them. */
  private final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();

  private final int port;

  /** Starts a dispatcher with the standard configuration. */
  public StepControlledServer(int workerCount) throws Exception {
    this(workerCount, new TestConfiguration());
  }

  /**
   * Starts a dispatcher. The configuration of the dispatcher contains an initial endpoint list. By
   * default, stub discovery confirms this list: it responds to the dispatcher's first call that the
   * list is still current. In this case, the constructor also waits until the dispatcher has
   * applied the list. {@link TestConfiguration#isInitialListConfirmed} specifies when stub
   * discovery confirms the list.
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
    if (configuration.isInitialListConfirmed()) {
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

  /** A trace writer that records steps and runs planned actions instead of writing a trace. */
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
   * Plans an action that runs once, when the dispatcher reaches a step and before this step takes
   * effect. Planned actions form a queue, and only the first action in the queue can run. While the
   * step of the first action has not occurred, it blocks all later actions, even if their steps
   * occur. Each occurrence of a step triggers at most one action.
   */
  public void onStep(Step step, StepAction action) {
    plannedActions.add(new PlannedAction(step, action));
  }

  /**
   * Waits for the next unread occurrence of a step, and skips the unread steps before it.
   *
   * @throws AssertionError if the event loop or a planned action has failed, or if the step does
   *     not occur within {@link HttpIo#TIMEOUT_MILLIS}
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

  /**
   * Waits for the next unread step {@link Step#ATTEMPT_STARTED}, as {@link #awaitStep} does.
   *
   * @return the index of the worker to which the attempt is sent
   */
  public int awaitAttemptWorker() throws Exception {
    String worker = (String) awaitStep(Step.ATTEMPT_STARTED).field("worker");
    return Integer.parseInt(worker.substring(1));
  }

  /**
   * Returns all unread steps in the order in which the dispatcher reached them. These steps are not
   * unread any more, so that {@link #awaitStep} does not return them.
   */
  public List<ReachedStep> drainSteps() {
    List<ReachedStep> steps = new ArrayList<>();
    unreadSteps.drainTo(steps);
    return steps;
  }

  /**
   * Returns how many times the dispatcher has reached a step since it was started. Unread steps and
   * steps that {@link #awaitStep} skipped count, too.
   */
  public long stepCount(Step step) {
    return List.copyOf(allSteps).stream().filter(reached -> reached.is(step)).count();
  }

  /**
   * Pauses the event loop in its next iteration, runs an action on the calling thread, and resumes
   * the event loop. The pause simulates a process that gets no CPU time. If the action throws an
   * exception, the event loop stays paused.
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
   * Waits until the event loop has read all bytes that were sent before this call. For this
   * purpose, makes {@link #REQUESTS_AFTER_PENDING_INPUT} readiness checks one after the other. The
   * event loop answers each check in a later iteration than the previous check, and in each
   * iteration it reads one buffer from each connection.
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
   * @return true if the event loop has ended; false if it still runs after {@link
   *     HttpIo#TIMEOUT_MILLIS}
   */
  public boolean awaitLoopEnd() throws InterruptedException {
    loopThread.join(HttpIo.TIMEOUT_MILLIS);
    return !loopThread.isAlive();
  }

  /**
   * Makes the dispatcher use discovery at another address, as a configuration reload does. The
   * event loop makes the change; this method does not wait for the change.
   */
  public void moveDiscovery(InetSocketAddress address) {
    server.loop().execute(() -> server.configReloader().moveDiscovery(address));
  }

  /**
   * Disables a worker, as an operator does through the management API. The event loop makes the
   * change; this method does not wait for the change.
   */
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
