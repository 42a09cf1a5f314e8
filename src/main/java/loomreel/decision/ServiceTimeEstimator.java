package loomreel.decision;

import java.util.Arrays;
import loomreel.decision.Settings.RequestClass;

/**
 * Estimates the run times of jobs, the delays before jobs start, and the durations of health
 * checks. The initial estimates are derived from the latency objectives and the tick of the
 * dispatcher. Times are in microseconds.
 */
final class ServiceTimeEstimator {
  /** The weight of a new sample in the mean run time of a class. */
  private static final double RUN_TIME_WEIGHT = 0.03;

  /** The weight of a new sample in the mean start delay and its deviation. */
  private static final double START_DELAY_WEIGHT = 0.05;

  /** The weight of a new sample in the mean duration of a health check. */
  private static final double HEALTH_CHECK_WEIGHT = 0.05;

  /**
   * The number of mean absolute deviations above the mean start delay at which a start is overdue.
   */
  private static final double START_TIMEOUT_DEVIATIONS = 4;

  /**
   * The initial estimate of the start delay is the shortest latency objective divided by this
   * number.
   */
  private static final double INITIAL_START_DELAY_DIVISOR = 16;

  /**
   * The minimum of the timeout that is derived from the mean duration of health checks, in ticks.
   */
  private static final double MIN_HEALTH_CHECK_TIMEOUT_TICKS = 4;

  /** The timeout of a health check as a multiple of the mean duration. */
  private static final double HEALTH_CHECK_TIMEOUT_FACTOR = 4;

  /**
   * The maximum timeout of a health check is the latency objective of the request's class divided
   * by this number.
   */
  private static final double HEALTH_CHECK_OBJECTIVE_DIVISOR = 8;

  /** The initial estimate of the duration of a health check, in ticks. */
  private static final int INITIAL_HEALTH_CHECK_TICKS = 2;

  /** The run time, in microseconds, that is assumed if there are no request classes. */
  private static final double DEFAULT_RUN_TIME_MICROS = 1;

  /** The latency objective, in microseconds, that is assumed if there are no request classes. */
  private static final long DEFAULT_OBJECTIVE_MICROS = 1_000_000;

  private final long tick;
  private final long shortestObjective;

  /** The mean run time of each class, by the index of the class. */
  private final double[] meanRunTime;

  private double meanStartDelay;

  /** The mean absolute deviation of the start delay. */
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

  /** Returns the shortest latency objective of all classes. */
  long shortestObjective() {
    return shortestObjective;
  }

  /** Returns the mean run time of the jobs of a class. */
  double meanRunTime(int classIndex) {
    return meanRunTime[classIndex];
  }

  /** Returns the unweighted mean of the classes' mean run times. */
  double meanRunTime() {
    return Arrays.stream(meanRunTime).average().orElse(DEFAULT_RUN_TIME_MICROS);
  }

  /** Returns the mean run time of the class whose jobs take longest. */
  double longestMeanRunTime() {
    return Arrays.stream(meanRunTime).max().orElse(DEFAULT_RUN_TIME_MICROS);
  }

  /**
   * Returns the work that a request is expected to take, as the number of its slots multiplied by
   * the mean run time of its class.
   */
  double expectedWork(PendingRequest request) {
    return request.arrival.slots() * meanRunTime[request.arrival.classIndex()];
  }

  /** Records the time that a job of a request took. */
  void recordRunTime(PendingRequest request, double duration) {
    int classIndex = request.arrival.classIndex();
    meanRunTime[classIndex] += RUN_TIME_WEIGHT * (duration - meanRunTime[classIndex]);
  }

  /**
   * Records the start of a job.
   *
   * @param startDelay the time from the send of the attempt to the start of the job
   */
  void recordStartDelay(double startDelay) {
    startDelayDeviation +=
        START_DELAY_WEIGHT * (Math.abs(startDelay - meanStartDelay) - startDelayDeviation);
    meanStartDelay += START_DELAY_WEIGHT * (startDelay - meanStartDelay);
  }

  /**
   * Returns the time after which the start of a job is overdue. It is derived from the start delays
   * at all workers.
   */
  double startTimeout() {
    return meanStartDelay + START_TIMEOUT_DEVIATIONS * startDelayDeviation;
  }

  /** Records the duration of a health check that was answered. */
  void recordHealthCheck(long duration) {
    meanHealthCheckDuration += HEALTH_CHECK_WEIGHT * (duration - meanHealthCheckDuration);
  }

  /** Returns the maximum time that a request waits for the answer to a health check. */
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
