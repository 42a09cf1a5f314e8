package loomreel.faktory.queue;

import java.util.random.RandomGenerator;
import loomreel.faktory.queue.Job.State;

/**
 * Decides what follows an attempt that was not served: a retry, or the end of the job. Times are
 * microseconds of Unix time.
 */
final class JobRetryPolicy {
  /**
   * What becomes of a job.
   *
   * @param state RETRY, DEAD or EXPIRED
   * @param reason see {@link Job#reason()}
   * @param dueMicros when the next attempt is due; only valid for RETRY
   */
  record Decision(State state, String reason, long dueMicros) {
    private static Decision retry(String reason, long dueMicros) {
      return new Decision(State.RETRY, reason, dueMicros);
    }

    private static Decision end(State state, String reason) {
      return new Decision(state, reason, 0);
    }
  }

  private final RetryBackoff backoff;

  JobRetryPolicy(long baseBackoffMicros, RandomGenerator random) {
    backoff = new RetryBackoff(baseBackoffMicros, random);
  }

  /**
   * Decides after a rejection, of which nothing ran. That is no failure and uses up no retry; the
   * job waits for capacity, longer each time, so that it does not block other jobs of its queue.
   */
  Decision afterRejection(Job job, String why, long now) {
    long nextAttempt = now + backoff.afterRejection(job.rejections++);
    String reason = StateReasons.rejected(why);
    if (nextAttempt >= job.spec.deadline()) {
      return Decision.end(State.EXPIRED, StateReasons.deadlineBeforeNextAttempt(reason));
    }
    return Decision.retry(reason, nextAttempt);
  }

  /**
   * Decides after a failure.
   *
   * @param mayHaveRun whether the attempt may have run
   * @param isIdempotent whether the job may run again although it may have run
   */
  Decision afterFailure(Job job, boolean mayHaveRun, boolean isIdempotent, long now) {
    job.rejections = 0;
    job.mayHaveRun |= mayHaveRun;
    if (mayHaveRun && !isIdempotent) {
      return Decision.end(State.DEAD, StateReasons.MAY_HAVE_RUN);
    }
    String reason = mayHaveRun ? StateReasons.FAILED : StateReasons.FAILED_BEFORE_IT_RAN;
    // Drawn before the decision: the sequence of random numbers must not depend on it.
    long nextAttempt = now + backoff.afterFailure(job.failures);
    job.failures++;
    boolean hasRetry = job.failures <= job.spec.retry();
    long deadline = job.spec.deadline();
    if (now >= deadline || (hasRetry && nextAttempt >= deadline)) {
      return Decision.end(State.EXPIRED, StateReasons.deadlineBeforeNextAttempt(reason));
    }
    if (!hasRetry) {
      return Decision.end(State.DEAD, StateReasons.retriesExhausted(reason));
    }
    return Decision.retry(reason, nextAttempt);
  }
}
