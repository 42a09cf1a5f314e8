package loomreel.io;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * A single-threaded event loop with one selector, one clock and a queue of timers. All handlers and
 * tasks of a dispatcher run on the thread that calls {@link #run()}. Other threads may call only
 * {@link #execute}. The loop owns the selector. {@link #close} closes the selector and every
 * channel that is registered with the selector.
 */
public final class EventLoop implements Closeable {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long NANOS_PER_MICRO = 1_000;

  /** The maximum time, in microseconds, that an iteration waits while no timer is scheduled. */
  private static final long MAX_WAIT_MICROS = 1_000_000;

  /**
   * Handles the events of a channel. The handler is the attachment of the channel's selection key.
   */
  public interface Handler {
    /** Called when the channel is ready for at least one operation in the key's interest set. */
    void ready(SelectionKey key);
  }

  /**
   * A task that is scheduled for a point in time. Timers run in the order of their due times.
   * Timers with the same due time run in the order in which they were scheduled.
   */
  public static final class Timer implements Comparable<Timer> {
    private final TimerQueue queue;
    private final long dueAtMicros;
    private final long sequenceNumber;

    /** The task to run; null once the timer has run or is cancelled. */
    private Runnable task;

    Timer(TimerQueue queue, long dueAtMicros, long sequenceNumber, Runnable task) {
      this.queue = queue;
      this.dueAtMicros = dueAtMicros;
      this.sequenceNumber = sequenceNumber;
      this.task = task;
    }

    /** Cancels the timer. Has no effect if its task has already run. */
    public void cancel() {
      if (task != null) {
        task = null;
        queue.cancelled();
      }
    }

    /** Returns whether the timer has run or is cancelled. */
    public boolean isDone() {
      return task == null;
    }

    long dueAtMicros() {
      return dueAtMicros;
    }

    /** Takes the task of a timer that is due; null if the timer is cancelled. */
    Runnable takeTask() {
      Runnable taken = task;
      task = null;
      return taken;
    }

    /**
     * Returns whether the timer is due and has a sequence number below a limit.
     *
     * @param now the current time, in microseconds of the loop's clock
     * @param sequenceLimit the limit of the sequence number, exclusive
     */
    boolean isDue(long now, long sequenceLimit) {
      return dueAtMicros <= now && sequenceNumber < sequenceLimit;
    }

    @Override
    public int compareTo(Timer other) {
      return dueAtMicros != other.dueAtMicros
          ? Long.compare(dueAtMicros, other.dueAtMicros)
          : Long.compare(sequenceNumber, other.sequenceNumber);
    }
  }

  private final Selector selector;
  private final BufferPool pool;

  /** The writer of trace lines; null if tracing is off. */
  private final TraceWriter trace;

  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(BufferPool.SIZE);
  private final StalledConnections stalledConnections;
  private final TimerQueue timers = new TimerQueue();
  private final Consumer<Runnable> guardedRunner = this::runGuarded;
  private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.io.loop");

  /**
   * The difference between Unix time and the monotonic clock at the time when the loop is created,
   * in microseconds.
   */
  private final long clockOffsetMicros =
      System.currentTimeMillis() * MICROS_PER_MILLI - System.nanoTime() / NANOS_PER_MICRO;

  private long now = readClock();
  private boolean stopped;
  private long longestIterationMicros;

  /**
   * Creates a loop without tracing. It does not run before {@link #run()}.
   *
   * @throws IOException if no selector can be opened
   */
  public EventLoop(BufferPool pool) throws IOException {
    this(pool, Optional.empty());
  }

  /**
   * Creates a loop. It does not run before {@link #run()}.
   *
   * @param trace the writer of trace lines; empty if tracing is off
   * @throws IOException if no selector can be opened
   */
  public EventLoop(BufferPool pool, Optional<TraceWriter> trace) throws IOException {
    this.pool = pool;
    stalledConnections = new StalledConnections(pool);
    this.trace = trace.orElse(null);
    selector = Selector.open();
  }

  /**
   * Returns the time of the loop's clock, in microseconds. The loop reads the clock once per
   * iteration, after the wait for events. The clock equals Unix time when the loop is created, and
   * is monotonic from then on. Therefore the time can be compared with the start times that workers
   * report.
   */
  public long now() {
    return now;
  }

  private long readClock() {
    return clockOffsetMicros + System.nanoTime() / NANOS_PER_MICRO;
  }

  /**
   * Schedules a task.
   *
   * @param dueAtMicros the earliest time at which the task runs, in microseconds of this loop's
   *     clock; the task may run later
   * @return the timer, which can be cancelled
   */
  public Timer schedule(long dueAtMicros, Runnable task) {
    return timers.schedule(dueAtMicros, task);
  }

  /**
   * Schedules a task that runs on the loop's thread, in the next iteration at the latest. Returns
   * without waiting for the task. May be called on any thread.
   */
  public void execute(Runnable task) {
    postedTasks.add(task);
    selector.wakeup();
  }

  /** Makes {@link #run()} return after the current iteration. */
  public void stop() {
    stopped = true;
  }

  /**
   * Runs iterations until {@link #stop} is called.
   *
   * @throws IOException if the selector fails
   */
  public void run() throws IOException {
    while (!stopped) {
      runIteration();
    }
  }

  private void runIteration() throws IOException {
    select();
    now = readClock();
    runPostedTasks();
    handleReadyChannels();
    timers.runDue(now, guardedRunner);
    if (trace != null) {
      trace.flush();
    }
    longestIterationMicros = Math.max(longestIterationMicros, readClock() - now);
  }

  /**
   * Waits until a channel is ready, a timer is due or a task is posted. If no timer is scheduled,
   * waits for at most {@link #MAX_WAIT_MICROS}.
   */
  private void select() throws IOException {
    timers.removeCancelled();
    long waitMicros = timers.isEmpty() ? MAX_WAIT_MICROS : timers.firstDueAtMicros() - readClock();
    if (waitMicros <= 0) {
      selector.selectNow();
    } else {
      selector.select((waitMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
    }
  }

  private void runPostedTasks() {
    for (Runnable task = postedTasks.poll(); task != null; task = postedTasks.poll()) {
      runGuarded(task);
    }
  }

  private void handleReadyChannels() {
    for (SelectionKey key : selector.selectedKeys()) {
      if (key.isValid()) {
        runGuarded(() -> ((Handler) key.attachment()).ready(key));
      }
      if (pool.isScarce()) {
        runGuarded(stalledConnections::evictExcess);
      }
    }
    selector.selectedKeys().clear();
  }

  /** Closes every registered channel and the selector. To be called after {@link #run()}. */
  @Override
  public void close() throws IOException {
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
  }

  /**
   * Returns the duration, in microseconds, of the longest iteration since the last call of this
   * method, and starts a new measurement. The wait for events does not count. Returns 0 if no
   * iteration has completed since the last call.
   */
  public long takeLongestIteration() {
    long longest = longestIterationMicros;
    longestIterationMicros = 0;
    return longest;
  }

  /**
   * Runs the handler of a ready channel, the task of a due timer, or a task that was posted with
   * {@link #execute}. If the task throws a {@link RuntimeException}, logs the exception and
   * continues, because the process also serves other calls.
   */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.error("unexpected exception in event loop task", e);
    }
  }

  /** Returns the selector with which channels are registered. */
  public Selector selector() {
    return selector;
  }

  /** Returns the buffer pool that all connections of this loop share. */
  public BufferPool pool() {
    return pool;
  }

  /** Returns the connections that may be evicted while buffers of the pool are scarce. */
  public StalledConnections stalledConnections() {
    return stalledConnections;
  }

  /** Returns the writer of trace lines, or null if tracing is off, which is the default. */
  public TraceWriter trace() {
    return trace;
  }

  /**
   * Returns the read buffer that all connections of this loop share. The next read of any
   * connection may overwrite its content.
   */
  public ByteBuffer readBuffer() {
    return readBuffer;
  }
}
