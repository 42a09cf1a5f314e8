package loomreel.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import loomreel.decision.AttemptOutcome;
import loomreel.io.ByteQueue;

/**
 * A client's call, from its acceptance until it is completed and its attempts have ended. Owns its
 * request body, which it releases on completion.
 */
public final class Rpc {
  /**
   * The client's side of a call. One of {@link #served}, {@link #rejected} and {@link #failed} is
   * called, once, unless the call is cancelled before.
   */
  public interface Caller {
    /** A worker has completed the job with this result. */
    void served(byte[] result);

    /** The call is rejected: nothing has run, and a retry is safe. */
    void rejected(UnavailableStatus status);

    /**
     * An attempt is about to be sent to a worker: from here on the job may run.
     *
     * @return false where it must not be sent
     */
    default boolean attemptStarting() {
      return true;
    }

    /** The call has failed; see {@link Rpc#mayHaveRun()} for whether the job may have run. */
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

  /** Creates a call that is not accepted yet; the parameters are those of the accessors. */
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

  /** Notifies the caller that an attempt is about to be sent; false where it must not be. */
  boolean attemptStarting() {
    return caller.attemptStarting();
  }

  /** Whether the call has its answer or is cancelled. */
  public boolean isCompleted() {
    return completed;
  }

  /** Whether the call is completed and every attempt of it has ended. */
  boolean isDone() {
    return completed && attempts.stream().allMatch(CallAttempt::hasEnded);
  }

  /**
   * Whether an attempt may have run, or may yet: true unless each has ended with proof that it did
   * not.
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
   * The attempt with that number.
   *
   * @throws IndexOutOfBoundsException if there is none
   */
  CallAttempt attempt(int number) {
    return attempts.get(number);
  }

  /** The attempt at a worker that has not ended, or null if there is none. */
  CallAttempt openAttemptAt(String worker) {
    for (CallAttempt attempt : attempts) {
      if (!attempt.hasEnded() && attempt.worker().equals(worker)) {
        return attempt;
      }
    }
    return null;
  }

  /** Whether a worker has returned the job unstarted in one of the attempts. */
  boolean wasReturnedBy(String worker) {
    return attempts.stream()
        .anyMatch(attempt -> attempt.wasReturnedUnstarted() && attempt.worker().equals(worker));
  }

  void serve(byte[] result) {
    if (complete()) {
      metrics.recordDisposition(requestClass, DispatcherMetrics.Disposition.SUCCESS);
      caller.served(result);
    }
  }

  void reject(UnavailableStatus status) {
    if (complete()) {
      metrics.recordDisposition(requestClass, DispatcherMetrics.Disposition.BUSY);
      caller.rejected(status);
    }
  }

  void fail() {
    if (complete()) {
      metrics.recordDisposition(requestClass, DispatcherMetrics.Disposition.FAILURE);
      caller.failed();
    }
  }

  /**
   * Completes the call without informing its caller: releases the body and aborts attempts whose
   * request is not completely written.
   *
   * @return whether it was not completed before
   */
  boolean complete() {
    boolean first = !completed;
    completed = true;
    body.release();
    if (first) {
      abortUnsent(attempt -> true);
    }
    return first;
  }

  /** Aborts those of the selected attempts whose request is not completely written. */
  void abortUnsent(Predicate<CallAttempt> selected) {
    // A copy, since the end of an attempt may add another one.
    List.copyOf(attempts).stream().filter(selected).forEach(CallAttempt::abortIfUnsent);
  }

  /** The id that workers see; a client's retry has another one. */
  public String id() {
    return id;
  }

  /** The position of its request class in the settings. */
  public int requestClass() {
    return requestClass;
  }

  /** Path and query, forwarded unchanged. */
  public String target() {
    return target;
  }

  /** The body's media type, or null where the ingress does not know it. */
  public String contentType() {
    return contentType;
  }

  /** The key by which workers detect duplicates, forwarded unchanged, or null. */
  public String idempotencyKey() {
    return idempotencyKey;
  }

  /** The request body; owned by this call and released on its completion. */
  public ByteQueue body() {
    return body;
  }

  /** When the client stops waiting, in microseconds of the loop's clock. */
  public long deadline() {
    return deadline;
  }
}
