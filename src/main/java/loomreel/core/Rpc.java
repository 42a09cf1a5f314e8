package loomreel.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import loomreel.decision.AttemptOutcome;
import loomreel.io.ByteQueue;

/**
 * A call of a client, from its acceptance until it is completed and all of its attempts have ended.
 * A call is completed when it is answered or cancelled. Owns the request body, which is released on
 * completion.
 */
public final class Rpc {
  /**
   * Receives the answer to a call. Exactly one of {@link #served}, {@link #rejected} and {@link
   * #failed} is called, once, unless the call is cancelled before.
   */
  public interface Caller {
    /** Called when a worker has completed the job with this result. */
    void served(byte[] result);

    /** Called when the call is rejected. The job has not run, and a retry is safe. */
    void rejected(UnavailableStatus status);

    /**
     * Called before an attempt is sent to a worker. From this point on the job may run.
     *
     * @return whether the attempt may be sent
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

  /**
   * Creates a call that has not been accepted. The accessors describe the parameters.
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
   * Notifies the caller that an attempt is about to be sent, and returns whether it may be sent.
   */
  boolean attemptStarting() {
    return caller.attemptStarting();
  }

  /** Returns whether the call has been answered or cancelled. */
  public boolean isCompleted() {
    return completed;
  }

  /** Returns whether the call is completed and all of its attempts have ended. */
  boolean isDone() {
    return completed && attempts.stream().allMatch(CallAttempt::hasEnded);
  }

  /**
   * Returns whether the job may have run or may still run. This is true unless each attempt has
   * ended with an outcome which proves that it did not run.
   */
  public boolean mayHaveRun() {
    return attempts.stream().anyMatch(Rpc::mayHaveRun);
  }

  private static boolean mayHaveRun(CallAttempt attempt) {
    AttemptOutcome outcome = attempt.outcome();
    return outcome == null || !outcome.neverRan();
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
   * @throws IndexOutOfBoundsException if the call has no such attempt
   */
  CallAttempt attempt(int number) {
    return attempts.get(number);
  }

  /** Returns the unfinished attempt at a worker, or null if there is none. */
  CallAttempt openAttemptAt(String worker) {
    for (CallAttempt attempt : attempts) {
      if (!attempt.hasEnded() && attempt.worker().equals(worker)) {
        return attempt;
      }
    }
    return null;
  }

  /** Returns whether a worker has returned the job unstarted in one of the attempts. */
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
   * Completes the call without informing its caller. Releases the request body and aborts the
   * attempts whose request is not completely written.
   *
   * @return true if this completed the call, false if the call was completed before
   */
  boolean complete() {
    boolean isFirstCompletion = !completed;
    completed = true;
    body.release();
    if (isFirstCompletion) {
      abortUnsent(attempt -> true);
    }
    return isFirstCompletion;
  }

  /** Aborts the selected attempts, except those whose request is completely written. */
  void abortUnsent(Predicate<CallAttempt> selected) {
    // Iterates over a copy, because the end of an attempt may add another attempt.
    List.copyOf(attempts).stream().filter(selected).forEach(CallAttempt::abortIfUnsent);
  }

  /** Returns the id that is sent to workers. A retry by the client has a different id. */
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
   * Returns the key by which workers detect duplicates, which is forwarded unchanged, or null if
   * the call has none.
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
