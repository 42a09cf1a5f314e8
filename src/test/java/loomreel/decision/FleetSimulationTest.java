package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loomreel.decision.Endpoint.State;
import loomreel.decision.Event.EndpointUpdate;
import loomreel.decision.Settings.Limits;
import loomreel.decision.Settings.LoadReporting;
import loomreel.decision.Settings.RequestClass;
import loomreel.decision.Settings.Rules;
import loomreel.decision.Settings.Tenant;
import org.junit.jupiter.api.Test;

/**
 * Tests the combined behavior of 14 dispatchers that share workers in a {@link FleetSimulation}.
 */
class FleetSimulationTest {
  private static final long SECOND = FleetSimulation.SECOND;
  private static final int DISPATCHER_COUNT = 14;
  private static final int SLOTS_PER_WORKER = 4;
  private static final int KEY_COUNT = 150;

  /** The mean run time of a job at a warm worker of speed 1, in microseconds. */
  private static final double MEAN_WORK_MICROS = SECOND / 4.0;

  /** The number of jobs of mean work that one slot of a warm worker completes per second. */
  private static final double JOBS_PER_SLOT_SECOND = 1 / 0.25;

  private static final List<RequestClass> CLASSES =
      DispatcherHarness.CLASSES.stream()
          .map(FleetSimulationTest::withShortLatencyObjective)
          .toList();

  /**
   * The settings of each dispatcher. The drain grace is 3 s and the poll interval 10 s. A worker
   * starts with at least 0.2 of its capacity and has its full capacity after 20 s. The overload
   * multiple is 2.5 and the overload window is 3 s. A request may have 4 attempts. Hedging,
   * cancellation and health checks are allowed. A rejection may give a retry delay of up to 1 s.
   * {@link Rules} and {@link Limits} define these terms.
   */
  private static final Settings SETTINGS =
      Settings.builder()
          .rules(new Rules(3 * SECOND, 10 * SECOND, 0.2, 20 * SECOND, 2.5, 3 * SECOND))
          .limits(new Limits(4, true, true, true, true, SECOND))
          .dispatchers(DISPATCHER_COUNT)
          .zone("north")
          .classes(CLASSES)
          .pollsEndpoints(true)
          .loadReporting(LoadReporting.WITH_HEALTH_CHECKS)
          .tick(4000)
          .build();

  /**
   * Returns a copy of a request class with a latency objective of 0.2 s plus 2.5 times the work of
   * the job, and with a deadline of 5 s. In the copy, an answer after the latency objective has no
   * value.
   */
  private static RequestClass withShortLatencyObjective(RequestClass original) {
    return new RequestClass(
        original.name(),
        original.workerKind(),
        0,
        2.5,
        SECOND / 5,
        5 * SECOND,
        original.priorityWeight(),
        0,
        original.idempotency(),
        original.deduplicationScope(),
        original.deduplicationWindow());
  }

  /**
   * Adds {@code count} workers to the simulation, but not to the endpoint lists of the dispatchers.
   * A worker that has the same number as an added worker is replaced.
   *
   * @param firstNumber the number of the first worker; the numbers are consecutive
   * @param startedAtMicros the time at which all these workers started, in microseconds; 0 for warm
   *     workers
   */
  private static List<SimulatedWorker> addWorkers(
      FleetSimulation fleet, int firstNumber, int count, long startedAtMicros) {
    return IntStream.range(firstNumber, firstNumber + count)
        .mapToObj(number -> addWorker(fleet, number, startedAtMicros))
        .toList();
  }

  private static SimulatedWorker addWorker(
      FleetSimulation fleet, int number, long startedAtMicros) {
    Endpoint endpoint = DispatcherHarness.endpoint(number, State.READY, startedAtMicros);
    SimulatedWorker worker = new SimulatedWorker(endpoint, SLOTS_PER_WORKER, 1);
    fleet.workers.put(endpoint.id(), worker);
    return worker;
  }

  private static List<Endpoint> endpoints(List<SimulatedWorker> workers) {
    return workers.stream().map(worker -> worker.endpoint).toList();
  }

  /**
   * Returns the request rate at each dispatcher, per second, that makes the jobs of all dispatchers
   * together occupy a fraction of all slots.
   *
   * @param slotFraction the fraction of the slots that are occupied on average, from 0 to 1
   * @param workerCount the number of workers, which are warm and have speed 1
   */
  private static double requestsPerSecond(double slotFraction, int workerCount) {
    return slotFraction * workerCount * SLOTS_PER_WORKER * JOBS_PER_SLOT_SECOND / DISPATCHER_COUNT;
  }

  /** Delivers an endpoint update to every dispatcher. */
  private static void updateEndpoints(FleetSimulation fleet, List<Endpoint> endpoints) {
    fleet.forEachDispatcher(dispatcher -> fleet.deliver(dispatcher, new EndpointUpdate(endpoints)));
  }

  /**
   * Asserts that each worker gets less work than the overload limit in each time window of 3 s. The
   * limit is the overload multiple times the work that the worker can do in the window. A window
   * starts every 0.5 s, the first at {@code fromMicros} and the last 6.5 s later.
   */
  private static void assertNotOverloaded(
      List<SimulatedWorker> workers, long fromMicros, long seed) {
    for (SimulatedWorker worker : workers) {
      for (long windowStartMicros = fromMicros;
          windowStartMicros < fromMicros + 7 * SECOND;
          windowStartMicros += SECOND / 2) {
        double workMicros =
            worker.workSentMicros(windowStartMicros, windowStartMicros + 3 * SECOND);
        double capacityMicros =
            worker.capacityMicros(
                windowStartMicros, windowStartMicros + 3 * SECOND, SETTINGS.rules());
        double limitMicros = SETTINGS.rules().overloadMultiple() * capacityMicros;
        assertTrue(
            workMicros < limitMicros,
            "seed "
                + seed
                + ": "
                + worker.endpoint.id()
                + " got work of "
                + workMicros
                + ", overload limit "
                + limitMicros);
      }
    }
  }

  /**
   * Verifies that dispatchers that start at the same time each poll the endpoint list once within 2
   * s, and that at most half of them poll within the same 0.2 s. A dispatcher polls soon after its
   * start because a restarted dispatcher has an old endpoint list.
   */
  @Test
  void dispatchersThatStartTogetherPollWithinTwoSecondsAtDifferentTimes() {
    FleetSimulation fleet = new FleetSimulation(SETTINGS, 3);

    fleet.start(DISPATCHER_COUNT, List.of());
    fleet.run(fleet.nowMicros + 2 * SECOND);

    assertEquals(DISPATCHER_COUNT, fleet.pollTimesMicros.size(), "each dispatcher polls once");
    for (long pollTime : fleet.pollTimesMicros) {
      long pollsInWindow =
          fleet.pollTimesMicros.stream()
              .filter(other -> other >= pollTime && other < pollTime + SECOND / 5)
              .count();
      assertTrue(pollsInWindow <= DISPATCHER_COUNT / 2, pollsInWindow + " polls within 0.2 s");
    }
  }

  /**
   * Verifies that cold workers that replace 12 of 20 workers get requests at once and are not
   * overloaded. When the cold workers join, no dispatcher has a load report of them yet.
   */
  @Test
  void coldWorkersThatReplaceOthersAreUsedAtOnceAndNotOverloaded() {
    for (long seed = 1; seed <= 4; seed++) {
      FleetSimulation fleet = new FleetSimulation(SETTINGS, seed);
      List<SimulatedWorker> oldWorkers = addWorkers(fleet, 0, 20, 0);
      fleet.start(DISPATCHER_COUNT, endpoints(oldWorkers));
      fleet.addLoad(
          requestsPerSecond(0.6, 20), KEY_COUNT, MEAN_WORK_MICROS, fleet.nowMicros + 18 * SECOND);
      fleet.run(fleet.nowMicros + 8 * SECOND);

      long replacedAtMicros = fleet.nowMicros;
      List<SimulatedWorker> coldWorkers = replace(fleet, oldWorkers.subList(0, 12));
      fleet.run(replacedAtMicros + 3 * SECOND);
      double meanOfferedLoad =
          coldWorkers.stream()
              .mapToDouble(
                  worker -> offeredLoad(worker, replacedAtMicros, replacedAtMicros + 3 * SECOND))
              .average()
              .orElse(0);
      fleet.run(replacedAtMicros + 10 * SECOND);

      assertTrue(
          meanOfferedLoad > 0.7,
          "seed " + seed + ": cold workers got " + meanOfferedLoad + " of their capacity");
      assertNotOverloaded(coldWorkers, replacedAtMicros, seed);
    }
  }

  /**
   * Drains the old workers, so that they reject jobs from now on, and adds the same number of cold
   * workers, whose numbers start at 20. Delivers one endpoint update with the old and the cold
   * workers to every dispatcher.
   *
   * @return the cold workers
   */
  private static List<SimulatedWorker> replace(
      FleetSimulation fleet, List<SimulatedWorker> oldWorkers) {
    List<SimulatedWorker> coldWorkers = addWorkers(fleet, 20, oldWorkers.size(), fleet.nowMicros);
    List<Endpoint> changes = new ArrayList<>();
    for (SimulatedWorker worker : oldWorkers) {
      worker.mode = SimulatedWorker.Mode.REJECTING;
      changes.add(worker.endpoint.withState(State.DRAINING));
    }
    changes.addAll(endpoints(coldWorkers));
    updateEndpoints(fleet, changes);
    return coldWorkers;
  }

  /**
   * Returns the work that was sent to a worker between two times, divided by the work that the
   * worker can do in that time. The result may exceed 1.
   */
  private static double offeredLoad(SimulatedWorker worker, long fromMicros, long toMicros) {
    return worker.workSentMicros(fromMicros, toMicros)
        / worker.capacityMicros(fromMicros, toMicros, SETTINGS.rules());
  }

  /**
   * Verifies that no request stays without an answer and more than four in five are served when a
   * third of the workers fail and restart, and that the restarted workers are used but not
   * overloaded. In this test, workers 0 to 6 of 21 become unreachable. The endpoint list drops
   * these workers 1.5 s later. After another 4 s, the list contains them again, as cold workers.
   */
  @Test
  void workersThatFailAndRestartLeaveNoRequestUnansweredAndAreNotOverloaded() {
    for (long seed = 1; seed <= 3; seed++) {
      FleetSimulation fleet = new FleetSimulation(SETTINGS, seed);
      List<SimulatedWorker> allWorkers = addWorkers(fleet, 0, 21, 0);
      List<SimulatedWorker> failingWorkers = allWorkers.subList(0, 7);
      fleet.start(DISPATCHER_COUNT, endpoints(allWorkers));
      long endMicros = fleet.nowMicros + 21 * SECOND;
      fleet.addLoad(requestsPerSecond(0.5, 21), KEY_COUNT, MEAN_WORK_MICROS, endMicros);
      fleet.run(fleet.nowMicros + 5 * SECOND);

      failingWorkers.forEach(worker -> worker.mode = SimulatedWorker.Mode.UNREACHABLE);
      fleet.run(fleet.nowMicros + 3 * SECOND / 2);
      updateEndpoints(
          fleet,
          failingWorkers.stream().map(worker -> worker.endpoint.withState(State.REMOVED)).toList());
      fleet.run(fleet.nowMicros + 4 * SECOND);
      long restartedAtMicros = fleet.nowMicros;
      List<SimulatedWorker> coldWorkers =
          addWorkers(fleet, 0, failingWorkers.size(), restartedAtMicros);
      updateEndpoints(fleet, endpoints(coldWorkers));
      fleet.run(endMicros + 6 * SECOND);

      assertEquals(0, fleet.unansweredCount(), "every request is answered");
      assertTrue(
          fleet.servedCount > 4 * (fleet.rejectedCount + fleet.failedCount),
          "seed " + seed + ": " + answerCounts(fleet));
      assertTrue(
          coldWorkers.stream()
              .allMatch(worker -> worker.workSentMicros(restartedAtMicros, endMicros) > 0),
          "all restarted workers are used");
      assertNotOverloaded(coldWorkers, restartedAtMicros, seed);
    }
  }

  private static String answerCounts(FleetSimulation fleet) {
    return fleet.servedCount
        + " served, "
        + fleet.rejectedCount
        + " rejected, "
        + fleet.failedCount
        + " failed";
  }

  /**
   * Verifies that a tenant within its quota is served although the dispatchers get uneven parts of
   * its traffic: fewer than 3 requests are rejected for every 100 that are served, and no request
   * fails. The tenant sends 240 requests per second and has a quota of 300. Two dispatchers each
   * get four times the traffic of an ordinary dispatcher. The workers have enough capacity for all
   * requests.
   */
  @Test
  void aTenantWithinItsQuotaIsServedWhenItsTrafficIsUneven() {
    Settings settings = SETTINGS.toBuilder().tenants(List.of(new Tenant("t", 300))).build();
    for (long seed = 1; seed <= 3; seed++) {
      FleetSimulation fleet = new FleetSimulation(settings, seed);
      List<SimulatedWorker> allWorkers = addWorkers(fleet, 0, 20, 0);
      fleet.start(DISPATCHER_COUNT, endpoints(allWorkers));
      // All dispatchers together get 240 requests per second. A dispatcher with ordinary traffic
      // counts once, and each of the two dispatchers with more traffic counts four times.
      double ordinaryRequestsPerSecond = 240.0 / (DISPATCHER_COUNT - 2 + 2 * 4);
      long endMicros = fleet.nowMicros + 15 * SECOND;
      for (int dispatcher = 0; dispatcher < DISPATCHER_COUNT; dispatcher++) {
        fleet.addLoad(
            dispatcher,
            dispatcher < 2 ? 4 * ordinaryRequestsPerSecond : ordinaryRequestsPerSecond,
            KEY_COUNT,
            MEAN_WORK_MICROS,
            endMicros);
      }

      fleet.run(endMicros + 6 * SECOND);

      assertTrue(
          fleet.rejectedCount < 0.03 * fleet.servedCount,
          "seed " + seed + ": " + answerCounts(fleet));
      assertEquals(0, fleet.failedCount);
    }
  }

  /**
   * Verifies that cold workers get fewer health checks than warm workers, and at most a tenth more
   * health checks than there are times at which jobs are sent to them. If the slow-start allowance
   * for a cold worker is used up, the worker gets no request, whatever load it reports. A health
   * check would then be of no use.
   */
  @Test
  void coldWorkersGetHardlyMoreHealthChecksThanJobs() {
    FleetSimulation fleet = new FleetSimulation(SETTINGS, 5);
    List<SimulatedWorker> warmWorkers = addWorkers(fleet, 0, 5, 0);
    List<SimulatedWorker> coldWorkers = addWorkers(fleet, 5, 5, fleet.nowMicros);
    fleet.start(
        DISPATCHER_COUNT,
        Stream.of(warmWorkers, coldWorkers).flatMap(list -> endpoints(list).stream()).toList());
    fleet.addLoad(5, 50, MEAN_WORK_MICROS, fleet.nowMicros + 10 * SECOND);

    fleet.run(fleet.nowMicros + 10 * SECOND);

    long warmCheckCount =
        warmWorkers.stream().mapToLong(worker -> worker.healthCheckTimesMicros.size()).sum();
    long coldCheckCount =
        coldWorkers.stream().mapToLong(worker -> worker.healthCheckTimesMicros.size()).sum();
    long coldSendTimeCount = coldWorkers.stream().mapToLong(SimulatedWorker::sendTimeCount).sum();
    assertTrue(
        coldCheckCount * 10 < coldSendTimeCount * 11,
        coldCheckCount + " checks, jobs sent at " + coldSendTimeCount + " times");
    assertTrue(
        coldCheckCount < warmCheckCount, coldCheckCount + " cold, " + warmCheckCount + " warm");
    assertTrue(coldCheckCount > 0, "the cold workers are used");
  }
}
