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
  private static final double MIN_TIMEOUT_TICKS = 4;

  /** The usual timeout of a health check, in mean durations. */
  private static final double TIMEOUT_FACTOR = 4;

  /** A health check takes no more than this part of the latency objective. */
  private static final double OBJECTIVE_DIVISOR = 8;

  private static final int INITIAL_HEALTH_CHECK_TICKS = 2;

  /** Stands for a run time where there are no request classes. */
  private static final double UNKNOWN_RUN_TIME_MICROS = 1;

  private static final long DEFAULT_OBJECTIVE_MICROS = 1_000_000;

  private final long tick;
  private final long shortestObjective;

  /** Mean run time of each class. */
  private final double[] meanRunTime;

  private double meanStartDelay;
  private double startDelayDeviation;
  private double meanHealthCheckTime;

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
    meanHealthCheckTime = tick * INITIAL_HEALTH_CHECK_TICKS;
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
    return Arrays.stream(meanRunTime).average().orElse(UNKNOWN_RUN_TIME_MICROS);
  }

  /** The work of a mean request of the heaviest class. */
  double largestMeanWork() {
    return Arrays.stream(meanRunTime).max().orElse(UNKNOWN_RUN_TIME_MICROS);
  }

  /** The work that a request is expected to take: slots times time. */
  double expectedWork(PendingRequest request) {
    return request.arrival.slots() * meanRunTime[request.arrival.classIndex()];
  }

  /** A job has run for a time. */
  void recordRunTime(PendingRequest request, double time) {
    int classIndex = request.arrival.classIndex();
    meanRunTime[classIndex] += RUN_TIME_WEIGHT * (time - meanRunTime[classIndex]);
  }

  /** A job has started; the delay counts from its send. */
  void recordStartDelay(double delay) {
    startDelayDeviation +=
        START_DELAY_WEIGHT * (Math.abs(delay - meanStartDelay) - startDelayDeviation);
    meanStartDelay += START_DELAY_WEIGHT * (delay - meanStartDelay);
  }

  /**
   * How long a job's start may take before its worker counts as silent, by the delays at all
   * workers.
   */
  double startTimeout() {
    return meanStartDelay + START_TIMEOUT_DEVIATIONS * startDelayDeviation;
  }

  /** A health check has been answered after a time. */
  void recordHealthCheck(long time) {
    meanHealthCheckTime += HEALTH_CHECK_WEIGHT * (time - meanHealthCheckTime);
  }

  /** How long a request waits for the answer to a health check. */
  long healthCheckTimeout(PendingRequest request) {
    double usual = Math.max(MIN_TIMEOUT_TICKS * tick, TIMEOUT_FACTOR * meanHealthCheckTime);
    return (long) Math.min(request.requestClass.latencyObjective() / OBJECTIVE_DIVISOR, usual);
  }
}
