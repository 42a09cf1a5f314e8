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
 * A dispatcher in the test's process, on real sockets, that the test controls at its steps. A step
 * is an event that the dispatcher traces. An action of the test at a step runs on the thread of the
 * event loop, which does nothing else meanwhile.
 */
public final class StepControlledServer extends DispatcherHarness {
  /** More requests than the loop can have iterations left for reading what was sent before. */
  private static final int REQUESTS_AFTER_PENDING_INPUT = 20;

  /** What a test does at a step. */
  public interface StepAction {
    /** Runs the action once. */
    void run() throws Exception;
  }

  /** The steps that tests wait for, with the names that they have in the trace. */
  public enum Step {
    JOB_ARRIVED("arrival"),
    JOB_CANCELLED("withdrawn"),
    JOB_FAILED("fail"),
    ATTEMPT_STARTED("send"),
    ATTEMPT_ENDED("end"),
    /** A cancellation goes out to the worker of an attempt. */
    CANCELLATION_SENT("cancel"),
    LIST_APPLIED("list"),
    WATCH_FAILED("listlost"),
    SHUTDOWN_REQUESTED("drain"),
    LOOP_STOPPED("stop"),
    /** An idle client connection is about to be closed; input is still read and served. */
    IDLE_CONNECTION_CLOSING("letgo"),
    /** The output side of a client connection is shut; input is discarded from now on. */
    OUTPUT_SHUT("shut");

    private final String traceName;

    Step(String traceName) {
      this.traceName = traceName;
    }
  }

  /** A step that was reached, with its traced fields: alternating names and values. */
  public record ReachedStep(String traceName, List<Object> fields) {
    /** Whether this is the step. */
    public boolean is(Step step) {
      return traceName.equals(step.traceName);
    }

    /** The value of a field; null without it. */
    public Object field(String name) {
      int index = fields.indexOf(name);
      return index < 0 ? null : fields.get(index + 1);
    }
  }

  private record PlannedAction(Step step, StepAction action) {}

  private final Server server;
  private final Thread loopThread;
  private final BlockingQueue<ReachedStep> unreadSteps = new LinkedBlockingQueue<>();
  private final List<ReachedStep> allSteps = Collections.synchronizedList(new ArrayList<>());
  private final BlockingQueue<PlannedAction> plannedActions = new LinkedBlockingQueue<>();
  private final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();
  private final int port;

  /** A dispatcher with the standard configuration. */
  public StepControlledServer(int workerCount) throws Exception {
    this(workerCount, new TestConfiguration());
  }

  /** A dispatcher with a configuration of the test. */
  public StepControlledServer(int workerCount, TestConfiguration configuration) throws Exception {
    super(workerCount);
    Path file = Files.createTempFile("loomreel", ".json");
    Files.writeString(file, complete(configuration).toJson());
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
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HttpIo.TIMEOUT_MILLIS);
    while (stepCount(Step.LIST_APPLIED) == 0) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("no endpoint list");
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
   * Plans an action for the next time that a step is reached, before the step takes effect. Planned
   * actions run in their order.
   */
  public void onStep(Step step, StepAction action) {
    plannedActions.add(new PlannedAction(step, action));
  }

  /** Waits until a step is reached, and skips the unread ones before it. */
  public ReachedStep awaitStep(Step step) throws Exception {
    long deadline = System.nanoTime() + HttpIo.TIMEOUT_MILLIS * 1_000_000L;
    while (true) {
      long remaining = Math.max(0, deadline - System.nanoTime());
      ReachedStep reached = unreadSteps.poll(remaining, TimeUnit.NANOSECONDS);
      if (!failures.isEmpty()) {
        throw new AssertionError(failures.peek());
      }
      if (reached == null) {
        throw new AssertionError("never reached: " + step);
      }
      if (reached.is(step)) {
        return reached;
      }
    }
  }

  /** Waits until an attempt is started; the index of its worker. */
  public int awaitAttemptWorker() throws Exception {
    String worker = (String) awaitStep(Step.ATTEMPT_STARTED).field("worker");
    return Integer.parseInt(worker.substring(1));
  }

  /** Takes the unread steps. */
  public List<ReachedStep> drainSteps() {
    List<ReachedStep> steps = new ArrayList<>();
    unreadSteps.drainTo(steps);
    return steps;
  }

  /** How often a step was reached since the start. */
  public long stepCount(Step step) {
    return List.copyOf(allSteps).stream().filter(reached -> reached.is(step)).count();
  }

  /**
   * Pauses the event loop between two iterations for an action, like a process without CPU time.
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
   * Waits until all bytes that were sent before have been read. The loop reads one buffer of each
   * connection in an iteration, and later requests are answered in later iterations.
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

  /** Waits for the end of the event loop; whether it has ended. */
  public boolean awaitLoopEnd() throws InterruptedException {
    loopThread.join(HttpIo.TIMEOUT_MILLIS);
    return !loopThread.isAlive();
  }

  /** Has the dispatcher watch the discovery at another address, as a configuration reload does. */
  public void moveDiscovery(InetSocketAddress address) {
    server.loop().execute(() -> server.configReloader().moveDiscovery(address));
  }

  /** Takes a worker out of use, as an operator does. */
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
