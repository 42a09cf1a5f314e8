package loomreel.faktory.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import loomreel.faktory.protocol.Handshake;
import loomreel.faktory.worker.WorkerRegistry.Phase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Which workers are connected, and which of them may be given jobs. */
class WorkerRegistryTest {
  /** The table in the Javadoc of {@link Phase}, by the phase before. */
  private static final Map<Phase, Set<Phase>> TRANSITIONS =
      Map.of(
          Phase.CONNECTED, EnumSet.of(Phase.SERVING, Phase.DRAINING, Phase.DISCONNECTED),
          Phase.SERVING, EnumSet.of(Phase.DRAINING, Phase.DISCONNECTED),
          Phase.DRAINING, EnumSet.of(Phase.DISCONNECTED),
          Phase.DISCONNECTED, EnumSet.noneOf(Phase.class));

  private final WorkerRegistry registry =
      new WorkerRegistry(new WorkerRegistry.Limits(100, 2, true, 50));
  private final WorkerConnection one = new UnusedConnection();
  private final WorkerConnection two = new UnusedConnection();

  /** The registry compares connections and never calls them. */
  private static final class UnusedConnection implements WorkerConnection {
    @Override
    public void offer() {
      throw new AssertionError("called by the registry");
    }

    @Override
    public void answerFetchWithoutJob() {
      throw new AssertionError("called by the registry");
    }

    @Override
    public void close() {
      throw new AssertionError("called by the registry");
    }
  }

  private static Handshake handshake(String wid) {
    return new Handshake(wid, Map.of());
  }

  @ParameterizedTest
  @EnumSource(Phase.class)
  void onlyTheTransitionsOfTheTableAreAllowed(Phase from) {
    Set<Phase> allowed =
        Arrays.stream(Phase.values()).filter(from::canBecome).collect(Collectors.toSet());

    assertEquals(TRANSITIONS.get(from), allowed);
  }

  @Test
  void aProcessIsOneWorkerWithManyConnections() {
    WorkerRegistry.Worker worker =
        registry.connect(new Handshake("w", Map.of("slots", "7")), one, 0);
    assertEquals(worker, registry.connect(handshake("w"), two, 50));
    assertEquals(7, worker.slots.slots(20, 50), "the number in its labels");
    assertFalse(worker.mayTake(), "it has not fetched");
    assertTrue(registry.recordFetch(worker, List.of("q")));
    assertFalse(registry.recordFetch(worker, List.of("r")));
    assertTrue(worker.mayTake());
    assertFalse(registry.disconnect(worker, one));
    assertTrue(worker.mayTake());
    assertTrue(registry.disconnect(worker, two));
    assertFalse(worker.mayTake());
  }

  @Test
  void aWorkerWithoutHeartbeatIsRemoved() {
    WorkerRegistry.Worker worker = registry.connect(handshake("w"), one, 0);
    registry.recordFetch(worker, List.of("q"));
    registry.recordHeartbeat(worker, null, 60);

    assertTrue(registry.removeLapsed(159).isEmpty());
    assertEquals(List.of(worker), registry.removeLapsed(160));

    assertFalse(worker.mayTake());
    assertNull(registry.find("w"));
    assertFalse(registry.disconnect(worker, one), "it is disconnected already");
  }

  @Test
  void aDrainingWorkerTakesNothingAndNothingLeadsBack() {
    WorkerRegistry.Worker worker = registry.connect(handshake("w"), one, 0);
    registry.recordFetch(worker, List.of("q"));

    assertTrue(registry.recordHeartbeat(worker, "quiet", 1));

    assertFalse(worker.mayTake());
    assertFalse(registry.recordHeartbeat(worker, "terminate", 2), "it was draining before");
    registry.recordFetch(worker, List.of("q"));
    registry.connect(handshake("w"), two, 3);
    assertFalse(worker.mayTake());
  }

  @Test
  void aDisabledWorkerTakesNothingUntilItIsEnabled() {
    WorkerRegistry.Worker worker = registry.connect(handshake("w"), one, 0);
    registry.recordFetch(worker, List.of("q"));

    registry.setDisabled("w", true);
    assertFalse(worker.mayTake());
    registry.setDisabled("w", false);
    assertTrue(worker.mayTake());
  }

  @Test
  void aDisabledWidHoldsForWorkersThatConnectLater() {
    registry.setDisabled("w", true);

    WorkerRegistry.Worker worker = registry.connect(handshake("w"), two, 4);
    registry.recordFetch(worker, List.of("q"));

    assertFalse(worker.mayTake());
  }
}
