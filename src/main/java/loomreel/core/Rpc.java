package loomreel.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import loomreel.decision.AttemptOutcome;
import loomreel.io.ByteQueue;
import loomreel.io.EventLoop;

/**
 * A call: the request of a client to have a job processed, together with the attempts to process
 * the job at a worker. In this package, the term <em>call</em> always refers to an object of this
 * type. Owns the request body, which is released when the call is completed.
 *
 * <p>A call is active from its acceptance until it is done:
 *
 * <ul>
 *   <li>The call is <em>completed</em> when it is answered or cancelled. See {@link #isCompleted}.
 *   <li>The call is <em>done</em> when it is completed and all of its attempts have ended. See
 *       {@link #isDone}. Some attempts may end only after the call is completed.
 * </ul>
 */
public final class Rpc {
  /**
   * Receives the answer to a call. If the call is cancelled before it is answered, no answer is
   * delivered. Otherwise exactly one of {@link #served}, {@link #rejected} and {@link #failed} is
   * called, and only once.
   */
  public interface Caller {
    /** Called when a worker has completed the job with this result. */
    void served(byte[] result);

    /**
     * Called when the call is rejected. A retry by the client is safe, because the job has not run
     * or because running it twice does no harm.
     */
    void rejected(UnavailableStatus status);

    /**
     * Called before the request of an attempt is sent to a worker. If this method returns true, the
     * job may run from this point on. By default returns true.
     *
     * @return whether the request may be sent
     */
    default boolean attemptStarting() {
      return true;
    }

    /**
     * Called when the call has failed. {@link Rpc#mayHaveRun()} returns whether the job may have
     * run.
     */
    void failed();
  }

  private final String id;
  private final int requestClass;
  private final String target;
  private final String contentType;
  private final String idempotencyKey;
  private final ByteQueue body;
  private final long deadline;
  private final Caller caller;
  private final DispatcherMetrics metrics;
  private final List<CallAttempt> attempts = new ArrayList<>(2);
  private boolean completed;

  /** The timer that fails this call if it has no answer in time; null before it is set. */
  private EventLoop.Timer overdueTimer;

  /**
   * Creates a call that has not been accepted. The accessors of this class describe the other
   * parameters.
   *
   * @param caller the receiver of the answer
   * @param metrics the counters in which the answer is counted
   */
  public Rpc(
      String id,
      int requestClass,
      String target,
      String contentType,
      String idempotencyKey,
      ByteQueue body,
      long deadline,
      Caller caller,
      DispatcherMetrics metrics) {
    this.id = id;
    this.requestClass = requestClass;
    this.target = target;
    this.contentType = contentType;
    this.idempotencyKey = idempotencyKey;
    this.body = body;
    this.deadline = deadline;
    this.caller = caller;
    this.metrics = metrics;
  }

  /**
   * Notifies the {@link Caller} that the request of an attempt is about to be sent, and returns
   * whether the request may be sent.
   */
  boolean attemptStarting() {
    return caller.attemptStarting();
  }

  /**
   * Returns whether the call has been answered or cancelled. Attempts of a completed call may not
   * have ended; {@link #isDone} also checks the attempts.
   */
  public boolean isCompleted() {
    return completed;
  }

  /** Returns whether the call is completed and all of its attempts have ended. */
  boolean isDone() {
    return completed && attempts.stream().allMatch(CallAttempt::hasEnded);
  }

  /**
   * Returns whether the job may have run or may still run. Returns false only if each attempt of
   * the call has ended with an outcome which proves that the job did not run in that attempt.
   */
  public boolean mayHaveRun() {
    return attempts.stream().anyMatch(Rpc::mayHaveRun);
  }

  /** Returns whether an attempt of the call has not ended. */
  public boolean hasOpenAttempt() {
    return attempts.stream().anyMatch(attempt -> !attempt.hasEnded());
  }

  private static boolean mayHaveRun(CallAttempt attempt) {
    AttemptOutcome outcome = attempt.outcome();
    return outcome == null || !outcome.neverRan();
  }

  /** Sets the timer that fails this call. It is cancelled when this call is completed. */
  void setOverdueTimer(EventLoop.Timer timer) {
    overdueTimer = timer;
  }

  void addAttempt(CallAttempt attempt) {
    attempts.add(attempt);
  }

  int attemptCount() {
    return attempts.size();
  }

  /**
   * Returns the attempt with this number.
   *
   * @throws IndexOutOfBoundsException if the call has no attempt with this number
   */
  CallAttempt attempt(int number) {
    return attempts.get(number);
  }

  /**
   * Returns the attempt at the given worker that has not ended, or null if there is none. The state
   * of this attempt is {@link CallAttemptState#OPEN} or {@link CallAttemptState#ACCEPTED}.
   */
  CallAttempt openAttemptAt(String worker) {
    for (CallAttempt attempt : attempts) {
      if (!attempt.hasEnded() && attempt.worker().equals(worker)) {
        return attempt;
      }
    }
    return null;
  }

  /**
   * Returns whether the given worker has returned the job unstarted in any attempt of this call.
   */
  boolean wasReturnedBy(String worker) {
    return attempts.stream()
        .anyMatch(attempt -> attempt.wasReturnedUnstarted() && attempt.worker().equals(worker));
  }

  /** Answers the call with the result of the job. Does nothing if the call is completed. */
  void serve(byte[] result) {
    if (complete()) {
      metrics.recordDisposition(requestClass, DispatcherMetrics.Disposition.SUCCESS);
      caller.served(result);
    }
  }

  /** Rejects the call. Does nothing if the call is completed. */
  void reject(UnavailableStatus status) {
    if (complete()) {
      metrics.recordDisposition(requestClass, DispatcherMetrics.Disposition.BUSY);
      caller.rejected(status);
    }
  }

  /** Fails the call. Does nothing if the call is completed. */
  void fail() {
    if (complete()) {
      metrics.recordDisposition(requestClass, DispatcherMetrics.Disposition.FAILURE);
      caller.failed();
    }
  }

  /**
   * Marks the call as completed, which means that the call is answered or cancelled. Does not
   * inform the {@link Caller}. Releases the request body, and aborts each attempt whose request has
   * not been completely written. The other attempts may end later; {@link #isDone} returns whether
   * all attempts have ended.
   *
   * @return true if this invocation has completed the call, false if the call was already completed
   */
  boolean complete() {
    boolean isFirstCompletion = !completed;
    completed = true;
    body.release();
    if (overdueTimer != null) {
      overdueTimer.cancel();
    }
    if (isFirstCompletion) {
      abortUnsent(attempt -> true);
    }
    return isFirstCompletion;
  }

  /** Aborts the selected attempts, except attempts whose request has been completely written. */
  void abortUnsent(Predicate<CallAttempt> selected) {
    // Iterates over a copy, because the end of an attempt may add another attempt.
    List.copyOf(attempts).stream().filter(selected).forEach(CallAttempt::abortIfUnsent);
  }

  /**
   * Returns the id of this call, which is sent to workers. A retry by the client is another call
   * with a different id.
   */
  public String id() {
    return id;
  }

  /** Returns the index of the request class in the settings. */
  public int requestClass() {
    return requestClass;
  }

  /** Returns the path and query of the request, which are forwarded unchanged. */
  public String target() {
    return target;
  }

  /** Returns the media type of the request body, or null if the ingress does not know it. */
  public String contentType() {
    return contentType;
  }

  /**
   * Returns the idempotency key, by which workers detect duplicates of a job, or null if the call
   * has no key. The key is forwarded unchanged.
   */
  public String idempotencyKey() {
    return idempotencyKey;
  }

  /** Returns the request body, which this call owns and releases on its completion. */
  public ByteQueue body() {
    return body;
  }

  /**
   * Returns the time at which the client stops waiting, in microseconds of the event loop's clock.
   */
  public long deadline() {
    return deadline;
  }
}
