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

  /** The mean run time of a job at a warm worker, in microseconds. */
  private static final double MEAN_WORK_MICROS = SECOND / 4.0;

  /** The number of jobs of mean work that one slot completes per second. */
  private static final double JOBS_PER_SLOT_SECOND = 1 / 0.25;

  private static final List<RequestClass> CLASSES =
      DispatcherHarness.CLASSES.stream()
          .map(FleetSimulationTest::withShortLatencyObjective)
          .toList();
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
   * Returns a copy of a class with a latency objective of 0.2 s plus 2.5 times the work of the job,
   * a deadline of 5 s, and no value of late answers.
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

  /** Adds workers with consecutive numbers that all started at the same time. */
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
   * Returns the requests per second at each dispatcher that together use a fraction of the slots of
   * the workers.
   */
  private static double requestsPerSecond(double fraction, int workers) {
    return fraction * workers * SLOTS_PER_WORKER * JOBS_PER_SLOT_SECOND / DISPATCHER_COUNT;
  }

  /** Delivers an endpoint update to every dispatcher. */
  private static void updateEndpoints(FleetSimulation fleet, List<Endpoint> endpoints) {
    fleet.forEachDispatcher(dispatcher -> fleet.deliver(dispatcher, new EndpointUpdate(endpoints)));
  }

  /**
   * Asserts for each worker that, in the 10 s after {@code fromMicros}, the work sent to it within
   * 3 s stays below the overload limit. The windows of 3 s start every 0.5 s.
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
                + " got "
                + workMicros
                + " of "
                + limitMicros);
      }
    }
  }

  /**
   * Verifies that dispatchers that start together poll soon, because a restarted dispatcher has an
   * old endpoint list, and that their polls are spread over time.
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
   * Verifies that cold workers get requests at once and are not overloaded when they replace 12 of
   * 20 workers. The cold workers have reported no load yet.
   */
  @Test
  void coldWorkersOfAReplacedFleetAreUsedAtOnceAndNotOverloaded() {
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
      double meanUtilization =
          coldWorkers.stream()
              .mapToDouble(
                  worker -> utilization(worker, replacedAtMicros, replacedAtMicros + 3 * SECOND))
              .average()
              .orElse(0);
      fleet.run(replacedAtMicros + 10 * SECOND);

      assertTrue(
          meanUtilization > 0.7,
          "seed " + seed + ": cold workers got " + meanUtilization + " of their capacity");
      assertNotOverloaded(coldWorkers, replacedAtMicros, seed);
    }
  }

  /**
   * Drains workers, which reject jobs from now on, and adds as many cold workers with numbers from
   * 20 on. Delivers both changes to every dispatcher.
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

  /** Returns the work sent to a worker between two times as a fraction of its capacity. */
  private static double utilization(SimulatedWorker worker, long fromMicros, long toMicros) {
    return worker.workSentMicros(fromMicros, toMicros)
        / worker.capacityMicros(fromMicros, toMicros, SETTINGS.rules());
  }

  /**
   * Verifies that every request is answered and that restarted workers are used but not overloaded.
   * A third of the workers becomes unreachable, the endpoint list removes them 1.5 s later, and 4 s
   * after that it contains them again as cold workers.
   */
  @Test
  void aZoneThatFailsAndRestartsLeavesNoRequestUnansweredAndIsNotOverloaded() {
    for (long seed = 1; seed <= 3; seed++) {
      FleetSimulation fleet = new FleetSimulation(SETTINGS, seed);
      List<SimulatedWorker> allWorkers = addWorkers(fleet, 0, 21, 0);
      List<SimulatedWorker> zone = allWorkers.subList(0, 7);
      fleet.start(DISPATCHER_COUNT, endpoints(allWorkers));
      long endMicros = fleet.nowMicros + 21 * SECOND;
      fleet.addLoad(requestsPerSecond(0.5, 21), KEY_COUNT, MEAN_WORK_MICROS, endMicros);
      fleet.run(fleet.nowMicros + 5 * SECOND);

      zone.forEach(worker -> worker.mode = SimulatedWorker.Mode.UNREACHABLE);
      fleet.run(fleet.nowMicros + 3 * SECOND / 2);
      updateEndpoints(
          fleet, zone.stream().map(worker -> worker.endpoint.withState(State.REMOVED)).toList());
      fleet.run(fleet.nowMicros + 4 * SECOND);
      long restartedAtMicros = fleet.nowMicros;
      List<SimulatedWorker> coldWorkers = addWorkers(fleet, 0, zone.size(), restartedAtMicros);
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
   * Verifies that hardly any request of a tenant within its quota is rejected although two
   * dispatchers get four times the traffic of the others. The workers have enough capacity.
   */
  @Test
  void aTenantWithinItsQuotaIsServedWhenItsTrafficIsUneven() {
    Settings settings = SETTINGS.toBuilder().tenants(List.of(new Tenant("t", 300))).build();
    for (long seed = 1; seed <= 3; seed++) {
      FleetSimulation fleet = new FleetSimulation(settings, seed);
      List<SimulatedWorker> allWorkers = addWorkers(fleet, 0, 20, 0);
      fleet.start(DISPATCHER_COUNT, endpoints(allWorkers));
      double requestsPerSecond = 240.0 / (DISPATCHER_COUNT - 2 + 2 * 4);
      long endMicros = fleet.nowMicros + 15 * SECOND;
      for (int dispatcher = 0; dispatcher < DISPATCHER_COUNT; dispatcher++) {
        fleet.addLoad(
            dispatcher,
            dispatcher < 2 ? 4 * requestsPerSecond : requestsPerSecond,
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
   * Verifies that dispatchers rarely check a cold worker whose slow-start allowance is used up. It
   * would get no request at any load.
   */
  @Test
  void aColdWorkerIsCheckedOnlyWhileItsAllowancePermitsARequest() {
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
    long coldSendCount = coldWorkers.stream().mapToLong(SimulatedWorker::sendTimeCount).sum();
    assertTrue(
        coldCheckCount * 10 < coldSendCount * 11,
        coldCheckCount + " checks, " + coldSendCount + " jobs sent");
    assertTrue(
        coldCheckCount < warmCheckCount, coldCheckCount + " cold, " + warmCheckCount + " warm");
    assertTrue(coldCheckCount > 0, "the cold workers are used");
  }
}
