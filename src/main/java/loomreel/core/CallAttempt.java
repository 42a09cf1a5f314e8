package loomreel.core;

import loomreel.decision.AttemptOutcome;
import loomreel.decision.WorkerLoad;
import loomreel.io.EventLoop;

/**
 * One attempt to have a call processed by one worker. {@link CallAttemptState} describes its
 * states. An attempt ends exactly once and then reports its outcome to the {@link Dispatcher}.
 *
 * <p>All times are in microseconds of the event loop's clock.
 */
public final class CallAttempt {
  private final Dispatcher dispatcher;
  private final Rpc rpc;
  private final int number;
  private final String worker;
  private final Subchannel subchannel;
  private final long sentAt;
  private final long deadline;
  private final long writeDeadline;

  private CallAttemptState state = CallAttemptState.OPEN;

  /** The final outcome; null until the attempt has ended. */
  private AttemptOutcome outcome;

  /**
   * The call on the subchannel; null before the start, and if the attempt ended during the start.
   */
  private Subchannel.ActiveCall activeCall;

  /** The timer that enforces the deadline in state ACCEPTED; null until that state is entered. */
  private EventLoop.Timer deadlineTimer;

  /**
   * Whether the last byte of the request has been written. This is not part of the state, because a
   * worker may accept a request before its last byte is written.
   */
  private boolean requestWritten;

  /**
   * Whether the worker has returned the job unstarted. This is not part of the state, because it is
   * needed after the end of the attempt, to detect a repeated status update.
   */
  private boolean returnedUnstarted;

  /**
   * Creates an attempt whose number is the number of attempts that its call has so far.
   *
   * @param worker the id of the worker
   * @param subchannel the subchannel to the worker, or null if no worker with that id is listed; an
   *     attempt without a subchannel must not be started
   * @param sentAt the time at which the attempt is passed to the subchannel
   * @param deadline the time at which to stop waiting for the outcome
   * @param writeDeadline the time at which to abort a request that is not completely written
   */
  CallAttempt(
      Dispatcher dispatcher,
      Rpc rpc,
      String worker,
      Subchannel subchannel,
      long sentAt,
      long deadline,
      long writeDeadline) {
    this.dispatcher = dispatcher;
    this.rpc = rpc;
    this.number = rpc.attemptCount();
    this.worker = worker;
    this.subchannel = subchannel;
    this.sentAt = sentAt;
    this.deadline = deadline;
    this.writeDeadline = writeDeadline;
  }

  /** Starts the attempt on its subchannel. */
  void start() {
    Subchannel.ActiveCall started = subchannel.start(this);
    activeCall = hasEnded() ? null : started;
  }

  /** Returns whether the attempt has ended. Its outcome is final then. */
  public boolean hasEnded() {
    return state == CallAttemptState.ENDED;
  }

  /** Returns the outcome, or null if the attempt has not ended. */
  AttemptOutcome outcome() {
    return outcome;
  }

  /** Returns the position of this attempt among the attempts of its call, starting at 0. */
  int number() {
    return number;
  }

  /** Returns the id of the worker. */
  public String worker() {
    return worker;
  }

  /**
   * Notifies the caller that the request is about to be sent, and returns whether it may be sent.
   * The subchannel must call this before it writes the first byte of the request.
   */
  public boolean mayStart() {
    return rpc.attemptStarting();
  }

  /**
   * Records that the last byte of the request has been written. From this point on the job may run.
   */
  public void requestWritten() {
    if (!requestWritten) {
      requestWritten = true;
      dispatcher.metrics().recordUpstreamCall();
    }
  }

  /**
   * Records that the worker has accepted the job. The worker reports the end of the job later; if
   * it does not do so by the deadline, the attempt ends with {@link AttemptOutcome#TIMEOUT}. Does
   * nothing unless the attempt is in state {@link CallAttemptState#OPEN}.
   */
  public void accepted() {
    if (transitionTo(CallAttemptState.ACCEPTED)) {
      deadlineTimer = dispatcher.loop().schedule(deadline, () -> end(AttemptOutcome.TIMEOUT, null));
    }
  }

  /** Reports that the job has started to run or has made progress. Ignored after the end. */
  public void progressed() {
    if (!hasEnded()) {
      dispatcher.attemptProgressed(this);
    }
  }

  /**
   * Answers the call with the result of the job and ends the attempt. Does nothing if the attempt
   * has ended.
   *
   * @param load the load of the worker, or null if it was not reported
   */
  public void completed(byte[] result, WorkerLoad load) {
    if (!hasEnded()) {
      rpc.serve(result);
      end(AttemptOutcome.OK, load);
    }
  }

  /**
   * Ends the attempt because the worker has returned the job unstarted. The outcome is {@link
   * AttemptOutcome#REJECTED}, unless the same worker has already returned the job in an earlier
   * attempt of the call. Workers may repeat status updates, so a second return may be a duplicate
   * of the first one and does not prove that this attempt did not run. The outcome is {@link
   * AttemptOutcome#RESET} then.
   *
   * @param load the load of the worker, or null if it was not reported
   */
  public void returnedUnstarted(WorkerLoad load) {
    boolean repeated = rpc.wasReturnedBy(worker);
    returnedUnstarted = true;
    end(repeated ? AttemptOutcome.RESET : AttemptOutcome.REJECTED, load);
  }

  /** Returns whether the worker has returned the job unstarted. */
  boolean wasReturnedUnstarted() {
    return returnedUnstarted;
  }

  /**
   * Ends the attempt with an outcome and reports it to the dispatcher. Does nothing if the attempt
   * has ended.
   *
   * @param load the load of the worker, or null if it was not reported
   */
  public void end(AttemptOutcome finalOutcome, WorkerLoad load) {
    if (!transitionTo(CallAttemptState.ENDED)) {
      return;
    }
    outcome = finalOutcome;
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    dispatcher.attemptEnded(this, finalOutcome, load);
  }

  /** Enters a state if the transition is allowed, and returns whether it was. */
  private boolean transitionTo(CallAttemptState next) {
    boolean isAllowed = state.canBecome(next);
    if (isAllowed) {
      state = next;
    }
    return isAllowed;
  }

  /**
   * Aborts the attempt if its request is not completely written, which means that the job cannot
   * have run. The client may have disconnected, or the worker may accept no new jobs; without the
   * abort, the rest of the request could be written later and would start the job.
   */
  void abortIfUnsent() {
    if (!hasEnded() && activeCall != null && activeCall.abortIfUnsent()) {
      end(AttemptOutcome.NOT_ATTEMPTED, null);
    }
  }

  /** Cancels the attempt if it has not ended. The job may have run, or may still run. */
  void cancel() {
    if (!hasEnded()) {
      if (activeCall != null) {
        activeCall.cancel();
      }
      end(AttemptOutcome.CANCELLED, null);
    }
  }

  /** Returns the call that this attempt belongs to. */
  public Rpc rpc() {
    return rpc;
  }

  /** Returns the time at which the attempt was passed to its subchannel. */
  public long sentAt() {
    return sentAt;
  }

  /** Returns the time at which to stop waiting for the outcome. */
  public long deadline() {
    return deadline;
  }

  /** Returns the time at which to abort a request that is not completely written. */
  public long writeDeadline() {
    return writeDeadline;
  }
}
