package loomreel.core;

import loomreel.decision.AttemptOutcome;
import loomreel.decision.WorkerLoad;
import loomreel.io.EventLoop;

/**
 * One attempt to have a call processed by one worker. {@link CallAttemptState} describes the states
 * of an attempt. An attempt ends exactly once. When the attempt ends, it reports its outcome to the
 * {@link Dispatcher}.
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
   * The handle with which the subchannel's request can be cancelled or aborted. Null before the
   * attempt is started, and if the attempt ended while it was being started.
   */
  private Subchannel.ActiveCall activeCall;

  /**
   * The timer that enforces the deadline in state {@link CallAttemptState#ACCEPTED}; null until the
   * attempt enters that state.
   */
  private EventLoop.Timer deadlineTimer;

  /**
   * Whether the last byte of the request has been written. This flag is not part of the state,
   * because a worker may accept a job before the last byte of the request is written.
   */
  private boolean requestWritten;

  /**
   * Whether the worker has returned the job unstarted. This flag is not part of the state, because
   * it is needed after the attempt has ended: it shows whether a later status update that returns
   * the job may be a repetition.
   */
  private boolean returnedUnstarted;

  /**
   * Whether the worker has reported that the job has started or has made progress. An outcome which
   * says that the job never ran then proves nothing.
   */
  private boolean startReported;

  /**
   * Creates an attempt. Its number is the number of attempts that the call already has.
   *
   * @param worker the id of the worker
   * @param subchannel the subchannel to the worker, or null if no worker with that id is listed; an
   *     attempt without a subchannel must not be started
   * @param sentAt the time at which the attempt is passed to the subchannel
   * @param deadline the time at which to stop waiting for the outcome
   * @param writeDeadline the time at which to abort the request if it has not been completely
   *     written
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

  /** Starts the attempt on its subchannel. The attempt may end during this call. */
  void start() {
    Subchannel.ActiveCall started = subchannel.start(this);
    activeCall = hasEnded() ? null : started;
  }

  /** Returns whether the attempt has ended. The outcome of an ended attempt does not change. */
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
   * Notifies the {@link Rpc.Caller} that the request is about to be sent, and returns whether the
   * request may be sent. The subchannel must call this method before it writes the first byte of
   * the request.
   */
  public boolean mayStart() {
    return rpc.attemptStarting();
  }

  /**
   * Records that the last byte of the request has been written. From this point on the job may run.
   * Only the first invocation has an effect.
   */
  public void requestWritten() {
    if (!requestWritten) {
      requestWritten = true;
      dispatcher.metrics().recordUpstreamCall();
    }
  }

  /**
   * Records that the worker has accepted the job. The worker reports the end of the job later. If
   * the worker has not reported the end by the deadline, the attempt ends with {@link
   * AttemptOutcome#TIMEOUT}. Does nothing unless the attempt is in state {@link
   * CallAttemptState#OPEN}.
   */
  public void accepted() {
    if (transitionTo(CallAttemptState.ACCEPTED)) {
      deadlineTimer = dispatcher.loop().schedule(deadline, () -> end(AttemptOutcome.TIMEOUT, null));
    }
  }

  /**
   * Reports to the dispatcher that the job has started to run or has made progress. Does nothing if
   * the attempt has ended.
   */
  public void progressed() {
    if (!hasEnded()) {
      startReported = true;
      dispatcher.attemptProgressed(this);
    }
  }

  /**
   * Records that the worker has completed the job: answers the call with the result of the job,
   * unless the call has already been answered or cancelled, and ends the attempt with {@link
   * AttemptOutcome#OK}. Does nothing if the attempt has ended.
   *
   * @param load the load that the worker reported, or null if none was reported
   */
  public void completed(byte[] result, WorkerLoad load) {
    if (!hasEnded()) {
      rpc.serve(result);
      end(AttemptOutcome.OK, load);
    }
  }

  /**
   * Ends the attempt because the worker has returned the job unstarted. The outcome is {@link
   * AttemptOutcome#REJECTED}. However, if the same worker has already returned the job in an
   * earlier attempt of the call, the outcome is {@link AttemptOutcome#RESET}. Workers may repeat
   * status updates, so the second return may be a duplicate of the first return and does not prove
   * that the job did not run in this attempt.
   *
   * @param load the load that the worker reported, or null if none was reported
   */
  public void returnedUnstarted(WorkerLoad load) {
    boolean repeated = rpc.wasReturnedBy(worker);
    returnedUnstarted = true;
    end(repeated ? AttemptOutcome.RESET : AttemptOutcome.REJECTED, load);
  }

  /** Returns whether the worker has returned the job of this attempt unstarted. */
  boolean wasReturnedUnstarted() {
    return returnedUnstarted;
  }

  /**
   * Ends the attempt with an outcome and reports the outcome to the dispatcher. Does nothing if the
   * attempt has ended. If the worker has reported a start of the job before, an outcome which says
   * that the job never ran becomes {@link AttemptOutcome#RESET}.
   *
   * @param load the load that the worker reported, or null if none was reported
   */
  public void end(AttemptOutcome finalOutcome, WorkerLoad load) {
    if (!transitionTo(CallAttemptState.ENDED)) {
      return;
    }
    outcome = startReported && finalOutcome.neverRan() ? AttemptOutcome.RESET : finalOutcome;
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    dispatcher.attemptEnded(this, outcome, load);
  }

  /**
   * Enters the given state if {@link CallAttemptState#canBecome} allows the transition.
   *
   * @return whether the state was entered
   */
  private boolean transitionTo(CallAttemptState next) {
    boolean isAllowed = state.canBecome(next);
    if (isAllowed) {
      state = next;
    }
    return isAllowed;
  }

  /**
   * Aborts the attempt if its request has not been completely written. In this case the job cannot
   * have run, so the outcome is {@link AttemptOutcome#NOT_ATTEMPTED}. Without the abort, the rest
   * of the request could be written later and would start the job.
   *
   * <p>This method is called when the call is completed, for example because the client has
   * disconnected, and when the worker accepts no new jobs.
   */
  void abortIfUnsent() {
    if (!hasEnded() && activeCall != null && activeCall.abortIfUnsent()) {
      end(AttemptOutcome.NOT_ATTEMPTED, null);
    }
  }

  /**
   * Cancels the attempt if it has not ended. The job may nevertheless have run, or may still run.
   */
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

  /** Returns the time at which to abort the request if it has not been completely written. */
  public long writeDeadline() {
    return writeDeadline;
  }
}
