package loomreel.core;

import loomreel.decision.AttemptOutcome;
import loomreel.decision.WorkerLoad;
import loomreel.io.EventLoop;

/**
 * One attempt of a call at one worker, in one of the {@link CallAttemptState}s. It ends once and
 * then reports its outcome to the {@link Dispatcher}. Times are microseconds of the loop's clock.
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

  /** Null until the attempt has ended. */
  private AttemptOutcome outcome;

  /** Carries the attempt; null before the start, and where it ended during the start. */
  private Subchannel.ActiveCall activeCall;

  /** Enforces the deadline in state ACCEPTED; null before. */
  private EventLoop.Timer deadlineTimer;

  /** Not part of the state: a worker may accept a request before its last byte is written. */
  private boolean requestWritten;

  /** Not part of the state: it matters for status updates after the attempt's end. */
  private boolean returnedUnstarted;

  /**
   * Creates an attempt with the next number of its call.
   *
   * @param subchannel the subchannel to the worker; null where none of that id is listed
   * @param deadline when to stop waiting for the outcome
   * @param writeDeadline when to abort a request that is not completely written
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

  /** Whether the outcome is known; it does not change any more. */
  public boolean hasEnded() {
    return state == CallAttemptState.ENDED;
  }

  /** The outcome, or null before the end. */
  AttemptOutcome outcome() {
    return outcome;
  }

  /** Its position among the attempts of its call, from 0. */
  int number() {
    return number;
  }

  /** The id of the worker. */
  public String worker() {
    return worker;
  }

  /** Whether the request may be sent; to be called before its first byte is written. */
  public boolean mayStart() {
    return rpc.attemptStarting();
  }

  /** Records that the last byte of the request is written: from here on the job may run. */
  public void requestWritten() {
    if (!requestWritten) {
      requestWritten = true;
      dispatcher.metrics().recordUpstreamCall();
    }
  }

  /** Records that the worker has accepted the job; its end is reported later or times out. */
  public void accepted() {
    if (transitionTo(CallAttemptState.ACCEPTED)) {
      deadlineTimer = dispatcher.loop().schedule(deadline, () -> end(AttemptOutcome.TIMEOUT, null));
    }
  }

  /** Records that the job has started to run or has made progress. */
  public void progressed() {
    if (!hasEnded()) {
      dispatcher.attemptProgressed(this);
    }
  }

  /**
   * Records that the worker has completed the job, and answers the call.
   *
   * @param load the worker's load, or null where it was not reported
   */
  public void completed(byte[] result, WorkerLoad load) {
    if (!hasEnded()) {
      rpc.serve(result);
      end(AttemptOutcome.OK, load);
    }
  }

  /**
   * Records that the worker has returned the job unstarted. Status updates may be repeated: a
   * second return by the same worker may be a repeat of the first, and proves nothing for this
   * attempt.
   *
   * @param load the worker's load, or null where it was not reported
   */
  public void returnedUnstarted(WorkerLoad load) {
    boolean repeated = rpc.wasReturnedBy(worker);
    returnedUnstarted = true;
    end(repeated ? AttemptOutcome.RESET : AttemptOutcome.REJECTED, load);
  }

  /** Whether the worker has returned the job unstarted. */
  boolean wasReturnedUnstarted() {
    return returnedUnstarted;
  }

  /**
   * Ends the attempt; does nothing if it has ended.
   *
   * @param load the worker's load, or null where it was not reported
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

  private boolean transitionTo(CallAttemptState next) {
    boolean possible = state.canBecome(next);
    if (possible) {
      state = next;
    }
    return possible;
  }

  /**
   * Aborts the attempt if its request is not completely written, so that the job cannot have run:
   * the client may have disconnected, or the worker takes no new jobs, and a request written later
   * would start the job then.
   */
  void abortIfUnsent() {
    if (!hasEnded() && activeCall != null && activeCall.abortIfUnsent()) {
      end(AttemptOutcome.NOT_ATTEMPTED, null);
    }
  }

  /** Cancels the attempt; the job may have run. */
  void cancel() {
    if (!hasEnded()) {
      if (activeCall != null) {
        activeCall.cancel();
      }
      end(AttemptOutcome.CANCELLED, null);
    }
  }

  /** The call that this is an attempt of. */
  public Rpc rpc() {
    return rpc;
  }

  /** When it was passed to its subchannel. */
  public long sentAt() {
    return sentAt;
  }

  /** When to stop waiting for the outcome. */
  public long deadline() {
    return deadline;
  }

  /** When to abort a request that is not completely written. */
  public long writeDeadline() {
    return writeDeadline;
  }
}
