package loomreel.decision;

import java.util.Arrays;
import loomreel.decision.Settings.RequestClass;

/**
 * Estimates three durations: the run times of jobs, the delays between the send of an attempt and
 * the start of its job, and the durations of health checks. The initial estimates of run times and
 * start delays are derived from the latency objectives. The initial estimate of the duration of
 * health checks is derived from the tick of the dispatcher. Times are in microseconds.
 */
final class ServiceTimeEstimator {
  /** The weight of a new sample in the mean run time of a class. */
  private static final double RUN_TIME_WEIGHT = 0.03;

  /** The weight of a new sample in the mean start delay and in the deviation of the start delay. */
  private static final double START_DELAY_WEIGHT = 0.05;

  /** The weight of a new sample in the mean duration of a health check. */
  private static final double HEALTH_CHECK_WEIGHT = 0.05;

  /**
   * The start of a job is overdue if its delay exceeds the mean start delay by more than this
   * number of mean absolute deviations.
   */
  private static final double START_TIMEOUT_DEVIATIONS = 4;

  /**
   * The initial estimate of the start delay is the shortest latency objective divided by this
   * number.
   */
  private static final double INITIAL_START_DELAY_DIVISOR = 16;

  /**
   * The minimum, in ticks, of the timeout that is computed from the mean duration of health checks.
   * A request whose class has a short latency objective may wait for less time than this, because
   * {@link #HEALTH_CHECK_OBJECTIVE_DIVISOR} limits the wait.
   */
  private static final double MIN_HEALTH_CHECK_TIMEOUT_TICKS = 4;

  /**
   * The timeout of a health check, as a multiple of the mean duration of health checks. {@link
   * #MIN_HEALTH_CHECK_TIMEOUT_TICKS} and {@link #HEALTH_CHECK_OBJECTIVE_DIVISOR} limit the timeout.
   */
  private static final double HEALTH_CHECK_TIMEOUT_FACTOR = 4;

  /**
   * A request waits for a health check at most for the latency objective of its class divided by
   * this number.
   */
  private static final double HEALTH_CHECK_OBJECTIVE_DIVISOR = 8;

  /** The initial estimate of the mean duration of a health check, in ticks. */
  private static final int INITIAL_HEALTH_CHECK_TICKS = 2;

  /** The run time, in microseconds, that is assumed if there are no request classes. */
  private static final double DEFAULT_RUN_TIME_MICROS = 1;

  /** The latency objective, in microseconds, that is assumed if there are no request classes. */
  private static final long DEFAULT_OBJECTIVE_MICROS = 1_000_000;

  private final long tick;
  private final long shortestObjective;

  /**
   * The mean run time of each class, by the index of the class. The initial values are the latency
   * objectives of the classes.
   */
  private final double[] meanRunTime;

  private double meanStartDelay;

  /** The mean absolute deviation of the start delay from its mean. */
  private double startDelayDeviation;

  private double meanHealthCheckDuration;

  ServiceTimeEstimator(Settings settings) {
    tick = settings.tick();
    meanRunTime = settings.classes().stream().mapToDouble(RequestClass::latencyObjective).toArray();
    shortestObjective =
        settings.classes().stream()
            .mapToLong(RequestClass::latencyObjective)
            .min()
            .orElse(DEFAULT_OBJECTIVE_MICROS);
    meanStartDelay = shortestObjective / INITIAL_START_DELAY_DIVISOR;
    startDelayDeviation = meanStartDelay;
    meanHealthCheckDuration = tick * INITIAL_HEALTH_CHECK_TICKS;
  }

  /**
   * Returns the shortest of the latency objectives of all classes. The part of an objective that
   * grows with the work of a job is not included.
   */
  long shortestObjective() {
    return shortestObjective;
  }

  /** Returns the mean run time of the jobs of a class. */
  double meanRunTime(int classIndex) {
    return meanRunTime[classIndex];
  }

  /** Returns the mean of the mean run times of the classes. All classes have the same weight. */
  double meanRunTime() {
    return Arrays.stream(meanRunTime).average().orElse(DEFAULT_RUN_TIME_MICROS);
  }

  /** Returns the longest of the mean run times of the classes. */
  double longestMeanRunTime() {
    return Arrays.stream(meanRunTime).max().orElse(DEFAULT_RUN_TIME_MICROS);
  }

  /**
   * Returns the work that a request is expected to need: the number of its slots multiplied by the
   * mean run time of its class. The result does not depend on the work that the request announces,
   * {@link Event.RequestArrived#expectedWork()}, which does not include the slots.
   */
  double expectedWork(PendingRequest request) {
    return request.arrival.slots() * meanRunTime[request.arrival.classIndex()];
  }

  /**
   * Records the run time of a job that was served.
   *
   * @param duration the run time of the job
   */
  void recordRunTime(PendingRequest request, double duration) {
    int classIndex = request.arrival.classIndex();
    meanRunTime[classIndex] += RUN_TIME_WEIGHT * (duration - meanRunTime[classIndex]);
  }

  /**
   * Records a start delay.
   *
   * @param startDelay the time from the send of the attempt to the start of the job; if the attempt
   *     ended without a start, the time to its end
   */
  void recordStartDelay(double startDelay) {
    startDelayDeviation +=
        START_DELAY_WEIGHT * (Math.abs(startDelay - meanStartDelay) - startDelayDeviation);
    meanStartDelay += START_DELAY_WEIGHT * (startDelay - meanStartDelay);
  }

  /**
   * Returns the time after the send of an attempt at which the start of its job is overdue. The
   * same time applies to all workers, because it is derived from the start delays at all of them.
   */
  double startTimeout() {
    return meanStartDelay + START_TIMEOUT_DEVIATIONS * startDelayDeviation;
  }

  /** Records the duration of a health check that succeeded. */
  void recordHealthCheck(long duration) {
    meanHealthCheckDuration += HEALTH_CHECK_WEIGHT * (duration - meanHealthCheckDuration);
  }

  /** Returns the maximum time that a request waits for the answer to one health check. */
  long healthCheckTimeout(PendingRequest request) {
    double timeoutByMeanDuration =
        Math.max(
            MIN_HEALTH_CHECK_TIMEOUT_TICKS * tick,
            HEALTH_CHECK_TIMEOUT_FACTOR * meanHealthCheckDuration);
    return (long)
        Math.min(
            request.requestClass.latencyObjective() / HEALTH_CHECK_OBJECTIVE_DIVISOR,
            timeoutByMeanDuration);
  }
}
