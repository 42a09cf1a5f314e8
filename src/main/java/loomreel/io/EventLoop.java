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
 * A single-threaded event loop: one selector, one clock and the timers. Everything that belongs to
 * a dispatcher is used on the thread that calls {@link #run()}; only {@link #execute} may be called
 * on any thread. Owns the selector and, on {@link #close}, every channel registered with it.
 */
public final class EventLoop implements Closeable {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long NANOS_PER_MICRO = 1_000;

  /** How long an iteration may wait for a channel when no timer is set. */
  private static final long MAX_WAIT_MICROS = 1_000_000;

  /** Handles the events of a channel; attached to the channel's selection key. */
  public interface Handler {
    /** Called when the channel is ready for at least one operation of the key's interest set. */
    void ready(SelectionKey key);
  }

  /** A scheduled task. Timers run in the order of their time, then in the order of scheduling. */
  public static final class Timer implements Comparable<Timer> {
    private final long dueAt;
    private final long sequence;

    /** Null once the timer is cancelled. */
    private Runnable task;

    Timer(long dueAt, long sequence, Runnable task) {
      this.dueAt = dueAt;
      this.sequence = sequence;
      this.task = task;
    }

    /** Cancels the task; does nothing if it has run. */
    public void cancel() {
      task = null;
    }

    boolean isCancelled() {
      return task == null;
    }

    long dueAt() {
      return dueAt;
    }

    /** The task, or null once the timer is cancelled. */
    Runnable task() {
      return task;
    }

    /** Whether it is due and was scheduled before the timer with a sequence number. */
    boolean isDue(long now, long endSequence) {
      return dueAt <= now && sequence < endSequence;
    }

    @Override
    public int compareTo(Timer other) {
      return dueAt != other.dueAt
          ? Long.compare(dueAt, other.dueAt)
          : Long.compare(sequence, other.sequence);
    }
  }

  private final Selector selector;
  private final BufferPool pool;

  /** Null where tracing is off, which is checked for each event. */
  private final TraceWriter trace;

  private final ByteBuffer scratch = ByteBuffer.allocateDirect(BufferPool.SIZE);
  private final TimerQueue timers = new TimerQueue();
  private final Consumer<Runnable> guardedRunner = this::runGuarded;
  private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.io.loop");

  /** Added to the monotonic clock, it gives Unix time. */
  private final long clockOffsetMicros =
      System.currentTimeMillis() * MICROS_PER_MILLI - System.nanoTime() / NANOS_PER_MICRO;

  private long now = readClock();
  private boolean stopped;
  private long longestIterationMicros;

  /**
   * Creates a loop that does not run yet and traces nothing.
   *
   * @throws IOException if no selector can be opened
   */
  public EventLoop(BufferPool pool) throws IOException {
    this(pool, Optional.empty());
  }

  /**
   * Creates a loop that does not run yet.
   *
   * @param trace where events are traced
   * @throws IOException if no selector can be opened
   */
  public EventLoop(BufferPool pool, Optional<TraceWriter> trace) throws IOException {
    this.pool = pool;
    this.trace = trace.orElse(null);
    selector = Selector.open();
  }

  /**
   * The time in microseconds, read once per iteration. It is Unix time when the loop is created and
   * monotonic from then on, so that it is comparable with the start times that workers report.
   */
  public long now() {
    return now;
  }

  private long readClock() {
    return clockOffsetMicros + System.nanoTime() / NANOS_PER_MICRO;
  }

  /** Schedules a task for a time in microseconds of this loop's clock; it may run later. */
  public Timer schedule(long dueAt, Runnable task) {
    return timers.schedule(dueAt, task);
  }

  /** Runs a task on the loop's thread in its next iteration. May be called on any thread. */
  public void execute(Runnable task) {
    postedTasks.add(task);
    selector.wakeup();
  }

  /** Makes {@link #run()} return after the current iteration. */
  public void stop() {
    stopped = true;
  }

  /**
   * Runs until it is stopped.
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

  /** Waits until a channel is ready, a timer is due or a task is posted. */
  private void select() throws IOException {
    timers.removeCancelled();
    long waitMicros = timers.isEmpty() ? MAX_WAIT_MICROS : timers.firstDueAt() - readClock();
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
    }
    selector.selectedKeys().clear();
  }

  /** Closes every registered channel, and the selector; to be called after {@link #run()}. */
  @Override
  public void close() throws IOException {
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
  }

  /** The longest iteration in microseconds, waiting excluded, since the last call. */
  public long takeLongestIteration() {
    long longest = longestIterationMicros;
    longestIterationMicros = 0;
    return longest;
  }

  /**
   * Runs a task of one connection or timer. An exception is logged and does not end the process,
   * which serves other calls.
   */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.error("unexpected exception in event loop task", e);
    }
  }

  /** The selector with which channels are registered. */
  public Selector selector() {
    return selector;
  }

  /** The buffers of all connections of this loop. */
  public BufferPool pool() {
    return pool;
  }

  /** The writer of trace lines; null where tracing is off, the default. */
  public TraceWriter trace() {
    return trace;
  }

  /** The shared read buffer; its content is valid only during one read. */
  public ByteBuffer scratch() {
    return scratch;
  }
}
