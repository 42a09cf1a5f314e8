package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loomreel.decision.Endpoint.State;
import loomreel.decision.Event.EndpointUpdate;
import loomreel.decision.FleetSimulation.Machine;
import loomreel.decision.Settings.Limits;
import loomreel.decision.Settings.LoadReporting;
import loomreel.decision.Settings.RequestClass;
import loomreel.decision.Settings.Rules;
import loomreel.decision.Settings.Tenant;
import org.junit.jupiter.api.Test;

/** What is fine at one node and does harm when 14 do it: sums over the nodes on one clock. */
class FleetSimulationTest {
  private static final long SECOND = FleetSimulation.SECOND;
  private static final int NODES = 14;
  private static final List<RequestClass> CLASSES =
      DispatcherHarness.CLASSES.stream()
          .map(
              c ->
                  new RequestClass(
                      c.name(),
                      c.workerKind(),
                      0,
                      2.5,
                      SECOND / 5,
                      5 * SECOND,
                      c.priorityWeight(),
                      0,
                      c.idempotency(),
                      c.deduplicationScope(),
                      c.deduplicationWindow()))
          .toList();
  private static final Settings SETTINGS =
      Settings.builder()
          .rules(new Rules(3 * SECOND, 10 * SECOND, 0.2, 20 * SECOND, 2.5, 3 * SECOND))
          .limits(new Limits(4, true, true, true, true, SECOND))
          .dispatchers(NODES)
          .zone("north")
          .classes(CLASSES)
          .pollsEndpoints(true)
          .loadReporting(LoadReporting.WITH_HEALTH_CHECKS)
          .tick(4000)
          .build();

  private static Machine machine(FleetSimulation fleet, int number, long startedAt) {
    Machine m = new Machine(DispatcherHarness.worker(number, State.READY, startedAt), 4, 1);
    fleet.machines.put(m.entry.id(), m);
    return m;
  }

  /** So many machines from a number on, all started at one time. */
  private static List<Machine> machines(
      FleetSimulation fleet, int first, int count, long startedAt) {
    return IntStream.range(first, first + count)
        .mapToObj(i -> machine(fleet, i, startedAt))
        .toList();
  }

  private static List<Endpoint> entries(List<Machine> machines) {
    return machines.stream().map(m -> m.entry).toList();
  }

  /**
   * Nodes that were killed at once come back with an old list: each asks soon, and they do not ask
   * together.
   */
  @Test
  void nodesThatStartTogetherAskForTheListSoonAndOneAfterTheOther() {
    FleetSimulation fleet = new FleetSimulation(SETTINGS, 3);
    fleet.start(NODES, List.of());
    long start = fleet.now;
    fleet.run(start + 2 * SECOND);
    List<Long> calls = fleet.listCalls;
    assertEquals(NODES, calls.size(), "each node has asked once");
    for (long call : calls) {
      long together = calls.stream().filter(c -> c >= call && c < call + SECOND / 5).count();
      assertTrue(together <= NODES / 2, together + " calls within 0.2 s");
    }
  }

  /**
   * Six in ten copy workers are replaced: what the nodes send to the cold ones, which have told
   * nothing yet.
   */
  @Test
  void coldWorkersOfAReplacedFleetAreUsedFromTheFirstSecondAndNotPushedOver() {
    for (long seed = 1; seed <= 4; seed++) {
      FleetSimulation fleet = new FleetSimulation(SETTINGS, seed);
      List<Machine> old = machines(fleet, 0, 20, 0);
      fleet.start(NODES, entries(old));
      // Six tenths of what the slots are good for.
      fleet.load(0.6 * 20 * 4 / 0.25 / NODES, 150, SECOND / 4.0, fleet.now + 18 * SECOND);
      fleet.run(fleet.now + 8 * SECOND);
      List<Machine> cold = machines(fleet, 20, 12, fleet.now);
      List<Endpoint> changes = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        old.get(i).refuses = true;
        changes.add(DispatcherHarness.worker(i, State.DRAINING, 0));
      }
      changes.addAll(entries(cold));
      fleet.every(node -> fleet.tell(node, new EndpointUpdate(changes)));
      long from = fleet.now;
      fleet.run(from + 3 * SECOND);
      double used =
          cold.stream()
              .mapToDouble(
                  m ->
                      m.sent(from, from + 3 * SECOND)
                          / m.capacity(from, from + 3 * SECOND, SETTINGS.rules()))
              .average()
              .orElse(0);
      assertTrue(
          used > 0.7, "seed " + seed + ": the cold ones got " + used + " of what they can do");
      fleet.run(from + 10 * SECOND);
      assertNotTipped(cold, from, seed);
    }
  }

  /**
   * What all nodes sent to each in any 3 s of the 10 s from then on is less than what pushes it
   * over.
   */
  private static void assertNotTipped(List<Machine> cold, long from, long seed) {
    for (Machine m : cold) {
      for (long at = from; at < from + 7 * SECOND; at += SECOND / 2) {
        double sent = m.sent(at, at + 3 * SECOND);
        double tips =
            SETTINGS.rules().overloadMultiple() * m.capacity(at, at + 3 * SECOND, SETTINGS.rules());
        assertTrue(
            sent < tips, "seed " + seed + ": " + m.entry.id() + " got " + sent + " of " + tips);
      }
    }
  }

  /**
   * A third of the copy workers falls silent, the list tells 1.5 s later, and 4 s after that they
   * are back, cold.
   */
  @Test
  void aZoneThatFallsSilentAndComesBackColdCostsNoRequestAndIsNotPushedOver() {
    for (long seed = 1; seed <= 3; seed++) {
      FleetSimulation fleet = new FleetSimulation(SETTINGS, seed);
      List<Machine> all = machines(fleet, 0, 21, 0);
      List<Machine> zone = all.subList(0, 7);
      fleet.start(NODES, entries(all));
      long end = fleet.now + 21 * SECOND;
      fleet.load(0.5 * 21 * 4 / 0.25 / NODES, 150, SECOND / 4.0, end);
      fleet.run(fleet.now + 5 * SECOND);
      zone.forEach(m -> m.dead = true);
      fleet.run(fleet.now + 3 * SECOND / 2);
      List<Endpoint> gone = zone.stream().map(m -> m.entry.withState(State.REMOVED)).toList();
      fleet.every(node -> fleet.tell(node, new EndpointUpdate(gone)));
      fleet.run(fleet.now + 4 * SECOND);
      long back = fleet.now;
      List<Machine> cold = machines(fleet, 0, zone.size(), back);
      fleet.every(node -> fleet.tell(node, new EndpointUpdate(entries(cold))));
      fleet.run(end + 6 * SECOND);
      assertEquals(0, fleet.open(), "every request has its answer");
      assertTrue(
          fleet.served > 4 * (fleet.refused + fleet.failed),
          "seed "
              + seed
              + ": "
              + fleet.served
              + " served, "
              + fleet.refused
              + " refused, "
              + fleet.failed
              + " failed");
      assertTrue(cold.stream().allMatch(m -> m.sent(back, end) > 0), "all that came back are used");
      assertNotTipped(cold, back, seed);
    }
  }

  /**
   * Two nodes see four times the traffic of the others; the tenant is within its share, and the
   * fleet has room.
   */
  @Test
  void aTenantWithinItsShareIsServedWhereItsTrafficIsUneven() {
    for (long seed = 1; seed <= 3; seed++) {
      Settings settings = SETTINGS.toBuilder().tenants(List.of(new Tenant("t", 300))).build();
      FleetSimulation fleet = new FleetSimulation(settings, seed);
      List<Machine> all = machines(fleet, 0, 20, 0);
      fleet.start(NODES, entries(all));
      double part = 240.0 / (NODES - 2 + 2 * 4);
      long end = fleet.now + 15 * SECOND;
      for (int node = 0; node < NODES; node++) {
        fleet.load(node, node < 2 ? 4 * part : part, 150, SECOND / 4.0, end);
      }
      fleet.run(end + 6 * SECOND);
      assertTrue(
          fleet.refused < 0.03 * fleet.served,
          "seed "
              + seed
              + ": "
              + fleet.refused
              + " of "
              + (fleet.refused + fleet.served)
              + " refused");
      assertEquals(0, fleet.failed);
    }
  }

  /**
   * A cold copy worker whose share is spent would not be sent to: asking it for its load is work
   * for nothing.
   */
  @Test
  void noNodeAsksAWorkerThatItWouldNotSendTo() {
    FleetSimulation fleet = new FleetSimulation(SETTINGS, 5);
    List<Machine> warmOnes = machines(fleet, 0, 5, 0);
    List<Machine> coldOnes = machines(fleet, 5, 5, fleet.now);
    fleet.start(NODES, Stream.of(warmOnes, coldOnes).flatMap(m -> entries(m).stream()).toList());
    fleet.load(5, 50, SECOND / 4.0, fleet.now + 10 * SECOND);
    fleet.run(fleet.now + 10 * SECOND);
    long warm = warmOnes.stream().mapToLong(m -> m.probes.size()).sum();
    long cold = coldOnes.stream().mapToLong(m -> m.probes.size()).sum();
    long sent = coldOnes.stream().mapToLong(m -> m.work.size()).sum();
    assertTrue(
        cold * 10 < sent * 11, cold + " probes of cold ones, " + sent + " jobs sent to them");
    assertTrue(cold < warm, cold + " probes of cold ones, " + warm + " of warm ones");
    assertTrue(cold > 0, "the cold ones are used");
  }
}
