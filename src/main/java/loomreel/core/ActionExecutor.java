package loomreel.core;

import loomreel.decision.Action;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Event;
import loomreel.decision.Settings;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Executes the actions that the decision module returns on the calls and workers of a dispatcher.
 */
final class ActionExecutor {
  private final RateLimitedLogger policyLog = new RateLimitedLogger("loomreel.decision");
  private final Dispatcher dispatcher;
  private final EventLoop loop;
  private final CallTable calls;
  private final WorkerPools pools;
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
    this.maxAttempts = limits.maxAttempts();
  }

  /**
   * Executes one action. An action for a call that is no longer active is ignored.
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
      setTimer(timer);
    } else if (action instanceof Action.PollEndpoints) {
      pools.pollEndpoints();
    } else if (action instanceof Action.Log line) {
      policyLog.info(line.text());
    } else {
      throw new IllegalStateException("unknown action: " + action);
    }
  }

  /**
   * Adds an attempt to the call and starts it, or ends it at once if it must not or cannot be
   * started. Such an attempt is added as well, because the policy and the dispatcher both number
   * the attempts of a call by counting these actions.
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
   * Returns the deadline of an attempt, in microseconds of the loop's clock. It is never later than
   * the deadline of the call, which also applies if the action has a timeout of 0.
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
      rpc.reject(
          new UnavailableStatus(reject.retryAfter(), ExternalNames.toText(reject.reason())));
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

  private void setTimer(Action.SetTimer timer) {
    loop.schedule(timer.time(), () -> dispatcher.submit(new Event.TimerFired(timer.token())));
  }
}
