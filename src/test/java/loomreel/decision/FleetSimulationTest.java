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

/** What 14 dispatchers do together: sums over all of them on one clock. */
class FleetSimulationTest {
  private static final long SECOND = FleetSimulation.SECOND;
  private static final int DISPATCHERS = 14;
  private static final int SLOTS = 4;
  private static final int KEYS = 150;
  private static final double MEAN_WORK = SECOND / 4.0;
  private static final double JOBS_PER_SLOT_SECOND = 1 / 0.25;
  private static final List<RequestClass> CLASSES =
      DispatcherHarness.CLASSES.stream().map(FleetSimulationTest::withShortObjective).toList();
  private static final Settings SETTINGS =
      Settings.builder()
          .rules(new Rules(3 * SECOND, 10 * SECOND, 0.2, 20 * SECOND, 2.5, 3 * SECOND))
          .limits(new Limits(4, true, true, true, true, SECOND))
          .dispatchers(DISPATCHERS)
          .zone("north")
          .classes(CLASSES)
          .pollsEndpoints(true)
          .loadReporting(LoadReporting.WITH_HEALTH_CHECKS)
          .tick(4000)
          .build();

  private static RequestClass withShortObjective(RequestClass original) {
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

  /** Adds workers with numbers from the first on, all started at one time. */
  private static List<SimulatedWorker> addWorkers(
      FleetSimulation fleet, int first, int count, long startedAt) {
    return IntStream.range(first, first + count)
        .mapToObj(number -> addWorker(fleet, number, startedAt))
        .toList();
  }

  private static SimulatedWorker addWorker(FleetSimulation fleet, int number, long startedAt) {
    Endpoint endpoint = DispatcherHarness.endpoint(number, State.READY, startedAt);
    SimulatedWorker worker = new SimulatedWorker(endpoint, SLOTS, 1);
    fleet.workers.put(endpoint.id(), worker);
    return worker;
  }

  private static List<Endpoint> endpoints(List<SimulatedWorker> workers) {
    return workers.stream().map(worker -> worker.endpoint).toList();
  }

  /** The requests per second and dispatcher that use this fraction of the workers' slots. */
  private static double rate(double fraction, int workers) {
    return fraction * workers * SLOTS * JOBS_PER_SLOT_SECOND / DISPATCHERS;
  }

  private static void update(FleetSimulation fleet, List<Endpoint> endpoints) {
    fleet.forEachDispatcher(dispatcher -> fleet.deliver(dispatcher, new EndpointUpdate(endpoints)));
  }

  /** In the ten seconds from a time on, all that was sent in any three stays below the overload. */
  private static void assertNotOverloaded(List<SimulatedWorker> workers, long from, long seed) {
    for (SimulatedWorker worker : workers) {
      for (long at = from; at < from + 7 * SECOND; at += SECOND / 2) {
        double sent = worker.workSent(at, at + 3 * SECOND);
        double capacity = worker.capacity(at, at + 3 * SECOND, SETTINGS.rules());
        double overload = SETTINGS.rules().overloadMultiple() * capacity;
        assertTrue(
            sent < overload,
            "seed " + seed + ": " + worker.endpoint.id() + " got " + sent + " of " + overload);
      }
    }
  }

  /** Restarted dispatchers have old lists. */
  @Test
  void dispatchersThatStartTogetherPollSoonButNotTogether() {
    FleetSimulation fleet = new FleetSimulation(SETTINGS, 3);

    fleet.start(DISPATCHERS, List.of());
    fleet.run(fleet.now + 2 * SECOND);

    assertEquals(DISPATCHERS, fleet.polls.size(), "each dispatcher has polled once");
    for (long poll : fleet.polls) {
      long together =
          fleet.polls.stream().filter(other -> other >= poll && other < poll + SECOND / 5).count();
      assertTrue(together <= DISPATCHERS / 2, together + " polls within 0.2 s");
    }
  }

  /** Six in ten workers are replaced by cold ones, which have reported no load yet. */
  @Test
  void coldWorkersOfAReplacedFleetAreUsedAtOnceAndNotOverloaded() {
    for (long seed = 1; seed <= 4; seed++) {
      FleetSimulation fleet = new FleetSimulation(SETTINGS, seed);
      List<SimulatedWorker> old = addWorkers(fleet, 0, 20, 0);
      fleet.start(DISPATCHERS, endpoints(old));
      fleet.addLoad(rate(0.6, 20), KEYS, MEAN_WORK, fleet.now + 18 * SECOND);
      fleet.run(fleet.now + 8 * SECOND);

      long replacedAt = fleet.now;
      List<SimulatedWorker> cold = replace(fleet, old.subList(0, 12));
      fleet.run(replacedAt + 3 * SECOND);
      double used =
          cold.stream()
              .mapToDouble(worker -> utilization(worker, replacedAt, replacedAt + 3 * SECOND))
              .average()
              .orElse(0);
      fleet.run(replacedAt + 10 * SECOND);

      assertTrue(used > 0.7, "seed " + seed + ": cold workers got " + used + " of their capacity");
      assertNotOverloaded(cold, replacedAt, seed);
    }
  }

  /** Drains workers, which reject jobs from now on, and lists as many cold ones from w20 on. */
  private static List<SimulatedWorker> replace(FleetSimulation fleet, List<SimulatedWorker> old) {
    List<SimulatedWorker> cold = addWorkers(fleet, 20, old.size(), fleet.now);
    List<Endpoint> changes = new ArrayList<>();
    for (SimulatedWorker worker : old) {
      worker.mode = SimulatedWorker.Mode.REJECTING;
      changes.add(worker.endpoint.withState(State.DRAINING));
    }
    changes.addAll(endpoints(cold));
    update(fleet, changes);
    return cold;
  }

  private static double utilization(SimulatedWorker worker, long from, long to) {
    return worker.workSent(from, to) / worker.capacity(from, to, SETTINGS.rules());
  }

  /**
   * A third of the workers becomes unreachable, the list removes them 1.5 s later, and 4 s after
   * that they are listed again, cold.
   */
  @Test
  void aZoneThatFailsAndRestartsCostsNoRequestAndIsNotOverloaded() {
    for (long seed = 1; seed <= 3; seed++) {
      FleetSimulation fleet = new FleetSimulation(SETTINGS, seed);
      List<SimulatedWorker> all = addWorkers(fleet, 0, 21, 0);
      List<SimulatedWorker> zone = all.subList(0, 7);
      fleet.start(DISPATCHERS, endpoints(all));
      long end = fleet.now + 21 * SECOND;
      fleet.addLoad(rate(0.5, 21), KEYS, MEAN_WORK, end);
      fleet.run(fleet.now + 5 * SECOND);

      zone.forEach(worker -> worker.mode = SimulatedWorker.Mode.UNREACHABLE);
      fleet.run(fleet.now + 3 * SECOND / 2);
      update(fleet, zone.stream().map(worker -> worker.endpoint.withState(State.REMOVED)).toList());
      fleet.run(fleet.now + 4 * SECOND);
      long restartedAt = fleet.now;
      List<SimulatedWorker> cold = addWorkers(fleet, 0, zone.size(), restartedAt);
      update(fleet, endpoints(cold));
      fleet.run(end + 6 * SECOND);

      assertEquals(0, fleet.unansweredCount(), "every request has its answer");
      assertTrue(
          fleet.served > 4 * (fleet.rejected + fleet.failed),
          "seed " + seed + ": " + answers(fleet));
      assertTrue(
          cold.stream().allMatch(worker -> worker.workSent(restartedAt, end) > 0),
          "all restarted workers are used");
      assertNotOverloaded(cold, restartedAt, seed);
    }
  }

  private static String answers(FleetSimulation fleet) {
    return fleet.served + " served, " + fleet.rejected + " rejected, " + fleet.failed + " failed";
  }

  /** Two dispatchers get four times the traffic of the others; there is enough capacity. */
  @Test
  void aTenantWithinItsQuotaIsServedWhereItsTrafficIsUneven() {
    Settings settings = SETTINGS.toBuilder().tenants(List.of(new Tenant("t", 300))).build();
    for (long seed = 1; seed <= 3; seed++) {
      FleetSimulation fleet = new FleetSimulation(settings, seed);
      List<SimulatedWorker> all = addWorkers(fleet, 0, 20, 0);
      fleet.start(DISPATCHERS, endpoints(all));
      double rate = 240.0 / (DISPATCHERS - 2 + 2 * 4);
      long end = fleet.now + 15 * SECOND;
      for (int dispatcher = 0; dispatcher < DISPATCHERS; dispatcher++) {
        fleet.addLoad(dispatcher, dispatcher < 2 ? 4 * rate : rate, KEYS, MEAN_WORK, end);
      }

      fleet.run(end + 6 * SECOND);

      assertTrue(fleet.rejected < 0.03 * fleet.served, "seed " + seed + ": " + answers(fleet));
      assertEquals(0, fleet.failed);
    }
  }

  /** A cold worker whose allowance is used up gets no request, whatever its load. */
  @Test
  void noDispatcherChecksAWorkerThatItWouldNotSendTo() {
    FleetSimulation fleet = new FleetSimulation(SETTINGS, 5);
    List<SimulatedWorker> warm = addWorkers(fleet, 0, 5, 0);
    List<SimulatedWorker> cold = addWorkers(fleet, 5, 5, fleet.now);
    fleet.start(
        DISPATCHERS, Stream.of(warm, cold).flatMap(list -> endpoints(list).stream()).toList());
    fleet.addLoad(5, 50, MEAN_WORK, fleet.now + 10 * SECOND);

    fleet.run(fleet.now + 10 * SECOND);

    long warmChecks = warm.stream().mapToLong(worker -> worker.healthChecks.size()).sum();
    long coldChecks = cold.stream().mapToLong(worker -> worker.healthChecks.size()).sum();
    long coldSends = cold.stream().mapToLong(SimulatedWorker::sendTimes).sum();
    assertTrue(
        coldChecks * 10 < coldSends * 11, coldChecks + " checks, " + coldSends + " jobs sent");
    assertTrue(coldChecks < warmChecks, coldChecks + " cold, " + warmChecks + " warm");
    assertTrue(coldChecks > 0, "the cold workers are used");
  }
}
