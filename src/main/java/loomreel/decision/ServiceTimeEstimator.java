package loomreel.decision;

import java.util.Arrays;
import loomreel.decision.Settings.RequestClass;

/**
 * Learns how long jobs run, how long they wait for their start and how long health checks take. The
 * latency objectives are the first estimates. Times are microseconds.
 */
final class ServiceTimeEstimator {
  private static final double RUN_TIME_WEIGHT = 0.03;
  private static final double START_DELAY_WEIGHT = 0.05;
  private static final double HEALTH_CHECK_WEIGHT = 0.05;

  /** Deviations from the mean start delay after which a start counts as overdue. */
  private static final double START_TIMEOUT_DEVIATIONS = 4;

  /** The first estimate of the start delay is this part of the shortest latency objective. */
  private static final double INITIAL_START_DELAY_DIVISOR = 16;

  /** The least timeout of a health check, in ticks. */
  private static final double MIN_HEALTH_CHECK_TIMEOUT_TICKS = 4;

  /** The usual timeout of a health check, in mean durations. */
  private static final double HEALTH_CHECK_TIMEOUT_FACTOR = 4;

  /** A health check takes no more than this part of the latency objective. */
  private static final double HEALTH_CHECK_OBJECTIVE_DIVISOR = 8;

  private static final int INITIAL_HEALTH_CHECK_TICKS = 2;

  /** Stands for a run time where there are no request classes. */
  private static final double DEFAULT_RUN_TIME_MICROS = 1;

  private static final long DEFAULT_OBJECTIVE_MICROS = 1_000_000;

  private final long tick;
  private final long shortestObjective;

  /** Mean run time of each class. */
  private final double[] meanRunTime;

  private double meanStartDelay;
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

  /** The shortest latency objective of all classes. */
  long shortestObjective() {
    return shortestObjective;
  }

  /** The mean run time of a class. */
  double meanRunTime(int classIndex) {
    return meanRunTime[classIndex];
  }

  /** The mean of the classes' run times. */
  double meanRunTime() {
    return Arrays.stream(meanRunTime).average().orElse(DEFAULT_RUN_TIME_MICROS);
  }

  /** The work of a mean request of the heaviest class. */
  double longestMeanRunTime() {
    return Arrays.stream(meanRunTime).max().orElse(DEFAULT_RUN_TIME_MICROS);
  }

  /** The work that a request is expected to take: slots times time. */
  double expectedWork(PendingRequest request) {
    return request.arrival.slots() * meanRunTime[request.arrival.classIndex()];
  }

  /** A job has run for a time. */
  void recordRunTime(PendingRequest request, double duration) {
    int classIndex = request.arrival.classIndex();
    meanRunTime[classIndex] += RUN_TIME_WEIGHT * (duration - meanRunTime[classIndex]);
  }

  /** A job has started; the delay counts from its send. */
  void recordStartDelay(double startDelay) {
    startDelayDeviation +=
        START_DELAY_WEIGHT * (Math.abs(startDelay - meanStartDelay) - startDelayDeviation);
    meanStartDelay += START_DELAY_WEIGHT * (startDelay - meanStartDelay);
  }

  /**
   * How long a job's start may take before its worker counts as silent, by the delays at all
   * workers.
   */
  double startTimeout() {
    return meanStartDelay + START_TIMEOUT_DEVIATIONS * startDelayDeviation;
  }

  /** A health check has been answered after a time. */
  void recordHealthCheck(long duration) {
    meanHealthCheckDuration += HEALTH_CHECK_WEIGHT * (duration - meanHealthCheckDuration);
  }

  /** How long a request waits for the answer to a health check. */
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
