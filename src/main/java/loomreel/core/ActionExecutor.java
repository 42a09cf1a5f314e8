package loomreel.core;

import loomreel.decision.Action;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Event;
import loomreel.decision.Settings;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Executes the actions that the policy, {@link loomreel.decision.DispatchPolicy}, returns: starts
 * and cancels attempts, rejects and fails calls, checks the health of workers, sets timers, polls
 * endpoint lists, and logs lines.
 */
final class ActionExecutor {
  private final RateLimitedLogger policyLog = new RateLimitedLogger("loomreel.decision");
  private final Dispatcher dispatcher;
  private final EventLoop loop;
  private final CallTable calls;
  private final WorkerPools pools;
  private final PolicyTimers timers;
  private final int maxAttempts;

  ActionExecutor(
      Dispatcher dispatcher,
      EventLoop loop,
      CallTable calls,
      WorkerPools pools,
      Settings.Limits limits) {
    this.dispatcher = dispatcher;
    this.loop = loop;
    this.calls = calls;
    this.pools = pools;
    this.timers =
        new PolicyTimers(
            loop, token -> dispatcher.submit(new Event.TimerFired(token)), dispatcher::awaitsTimer);
    this.maxAttempts = limits.maxAttempts();
  }

  /**
   * Executes one action. An action on a call is ignored if the call is no longer in the {@link
   * CallTable}. The rejection or failure of a call is also ignored if the call is completed.
   *
   * @throws IllegalStateException if the type of the action is unknown
   */
  void execute(Action action) {
    if (action instanceof Action.StartAttempt start) {
      startAttempt(start);
    } else if (action instanceof Action.CancelAttempt cancel) {
      cancelAttempt(cancel);
    } else if (action instanceof Action.Reject reject) {
      reject(reject);
    } else if (action instanceof Action.Fail fail) {
      fail(fail);
    } else if (action instanceof Action.CheckHealth check) {
      checkHealth(check);
    } else if (action instanceof Action.SetTimer timer) {
      timers.set(timer.time(), timer.token());
    } else if (action instanceof Action.PollEndpoints) {
      pools.pollEndpoints();
    } else if (action instanceof Action.Log line) {
      policyLog.info(line.text());
    } else {
      throw new IllegalStateException("unknown action: " + action);
    }
  }

  /**
   * Adds an attempt to a call and starts the attempt.
   *
   * <p>In the following cases, the attempt is added to the call, but ends at once instead of being
   * started:
   *
   * <ul>
   *   <li>The call is completed.
   *   <li>The call already has the maximum number of attempts.
   *   <li>The deadline of the attempt has passed.
   *   <li>An earlier attempt of the call at the same worker has not ended.
   *   <li>No worker with the given id is listed.
   * </ul>
   *
   * <p>The attempt is added even in these cases, because the policy and the dispatcher both number
   * the attempts of a call by counting the {@link Action.StartAttempt} actions for the call.
   */
  private void startAttempt(Action.StartAttempt start) {
    Rpc rpc = calls.find(start.requestId());
    if (rpc == null) {
      return;
    }
    long deadline = attemptDeadline(start, rpc);
    Subchannel subchannel = pools.find(start.workerId());
    boolean mustNotStart =
        rpc.isCompleted()
            || rpc.attemptCount() >= maxAttempts
            || loop.now() >= deadline
            || rpc.openAttemptAt(start.workerId()) != null;
    CallAttempt attempt =
        new CallAttempt(
            dispatcher,
            rpc,
            start.workerId(),
            subchannel,
            loop.now(),
            deadline,
            Math.min(deadline, start.writeDeadline()));
    rpc.addAttempt(attempt);
    if (mustNotStart) {
      attempt.end(AttemptOutcome.NOT_ATTEMPTED, null);
    } else if (subchannel == null) {
      attempt.end(AttemptOutcome.CONNECT_FAILED, null);
    } else {
      attempt.start();
    }
  }

  /**
   * Returns the deadline of an attempt, in microseconds of the event loop's clock. The deadline is
   * the end of the action's timeout or the deadline of the call, whichever is earlier. A timeout of
   * 0 means that the action sets no timeout; the deadline of the call applies in this case.
   */
  private long attemptDeadline(Action.StartAttempt start, Rpc rpc) {
    return start.timeout() > 0
        ? Math.min(rpc.deadline(), loop.now() + start.timeout())
        : rpc.deadline();
  }

  private void cancelAttempt(Action.CancelAttempt cancel) {
    Rpc rpc = calls.find(cancel.requestId());
    if (rpc != null) {
      rpc.attempt(cancel.attemptNumber()).cancel();
    }
  }

  private void reject(Action.Reject reject) {
    Rpc rpc = calls.find(reject.requestId());
    if (rpc != null && !rpc.isCompleted()) {
      rpc.reject(new UnavailableStatus(reject.retryAfter(), ExternalNames.toText(reject.reason())));
      calls.removeIfDone(rpc);
    }
  }

  private void fail(Action.Fail fail) {
    Rpc rpc = calls.find(fail.requestId());
    if (rpc != null && !rpc.isCompleted()) {
      rpc.fail();
      calls.removeIfDone(rpc);
    }
  }

  private void checkHealth(Action.CheckHealth check) {
    Subchannel subchannel = pools.find(check.workerId());
    if (subchannel == null) {
      dispatcher.healthChecked(check.workerId(), AttemptOutcome.CONNECT_FAILED, loop.now(), null);
    } else {
      subchannel.checkHealth();
    }
  }
}
