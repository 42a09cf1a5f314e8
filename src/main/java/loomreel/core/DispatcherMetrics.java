package loomreel.core;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loomreel.decision.Settings;

/**
 * The counters of a dispatcher since its start. The disposition of a call, which is the kind of its
 * answer, is counted once, when the call is answered.
 *
 * <p>Not thread-safe: used on the event loop's thread only.
 */
public final class DispatcherMetrics {
  /** The kinds of answers that a call can get. */
  public enum Disposition {
    /** A worker has completed the job. */
    SUCCESS,
    /**
     * The call was rejected. The client may safely retry the job, because the job has not run or
     * because running it twice does no harm.
     */
    BUSY,
    /** The call has failed. The job may have run. */
    FAILURE
  }

  private final List<Settings.RequestClass> classes;

  /** The number of answers by disposition and by index of the request class in the settings. */
  private final Map<Disposition, int[]> dispositions = new EnumMap<>(Disposition.class);

  private int acceptedCalls;
  private int cancelledCalls;
  private int upstreamCalls;
  private int healthChecks;
  private int failedHealthChecks;
  private int successfulReloads;
  private int failedReloads;

  /**
   * Creates counters whose values are 0.
   *
   * @param classes the request classes of the settings, in their order
   */
  public DispatcherMetrics(List<Settings.RequestClass> classes) {
    this.classes = classes;
    for (Disposition disposition : Disposition.values()) {
      dispositions.put(disposition, new int[classes.size()]);
    }
  }

  /**
   * Counts the answer to a call.
   *
   * @param requestClass the index of the request class in the settings
   */
  public void recordDisposition(int requestClass, Disposition disposition) {
    dispositions.get(disposition)[requestClass]++;
  }

  /** Counts an attempt whose request has been completely written. */
  public void recordUpstreamCall() {
    upstreamCalls++;
  }

  /**
   * Counts a reload of the configuration.
   *
   * @param successful true if the new configuration was applied, false if it was rejected
   */
  public void recordReload(boolean successful) {
    if (successful) {
      successfulReloads++;
    } else {
      failedReloads++;
    }
  }

  void recordAcceptedCall() {
    acceptedCalls++;
  }

  void recordCancelledCall() {
    cancelledCalls++;
  }

  void recordHealthCheck(boolean successful) {
    healthChecks++;
    failedHealthChecks += successful ? 0 : 1;
  }

  private int total(Disposition disposition) {
    return Arrays.stream(dispositions.get(disposition)).sum();
  }

  private Map<String, Integer> countsByClass(Disposition disposition) {
    int[] counts = dispositions.get(disposition);
    Map<String, Integer> countsByClass = new LinkedHashMap<>();
    for (int i = 0; i < classes.size(); i++) {
      countsByClass.put(classes.get(i).name(), counts[i]);
    }
    return countsByClass;
  }

  /**
   * Returns the metrics that operators query.
   *
   * @param unansweredCalls the current number of calls that are neither answered nor cancelled
   * @param listedWorkers the current number of workers in the endpoint lists
   * @param ejectedWorkers the current number of listed workers that are ejected or disabled
   */
  public MetricsSnapshot snapshot(int unansweredCalls, int listedWorkers, int ejectedWorkers) {
    return new MetricsSnapshot(
        countsByClass(Disposition.SUCCESS),
        countsByClass(Disposition.BUSY),
        countsByClass(Disposition.FAILURE),
        upstreamCalls,
        unansweredCalls,
        listedWorkers,
        ejectedWorkers,
        successfulReloads,
        failedReloads);
  }

  /**
   * Returns the counters and the given current values as key=value pairs for the log.
   *
   * @param activeCalls the current number of active calls
   * @param listedWorkers the current number of workers in the endpoint lists
   */
  String summary(int activeCalls, int listedWorkers) {
    return "active="
        + activeCalls
        + " accepted="
        + acceptedCalls
        + " served="
        + total(Disposition.SUCCESS)
        + " rejected="
        + total(Disposition.BUSY)
        + " failed="
        + total(Disposition.FAILURE)
        + " cancelled="
        + cancelledCalls
        + " workers="
        + listedWorkers
        + " health_checks="
        + healthChecks
        + " health_checks_failed="
        + failedHealthChecks;
  }
}
