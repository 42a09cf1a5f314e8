package loomreel.server;

import static loomreel.server.ServerState.CLOSING;
import static loomreel.server.ServerState.DRAINING;
import static loomreel.server.ServerState.DRAINING_UNOPENED;
import static loomreel.server.ServerState.HANDING_OVER;
import static loomreel.server.ServerState.SERVING;
import static loomreel.server.ServerState.STARTING;
import static loomreel.server.ServerState.STOPPED;
import static loomreel.server.ServerState.Trigger.EMPTIED;
import static loomreel.server.ServerState.Trigger.ENDPOINTS_KNOWN;
import static loomreel.server.ServerState.Trigger.GRACE_PERIOD_ENDED;
import static loomreel.server.ServerState.Trigger.HANDOVER_REQUESTED;
import static loomreel.server.ServerState.Trigger.SHUTDOWN_REQUESTED;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import loomreel.server.ServerState.Trigger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Verifies the transitions of {@link ServerState} for each state and each trigger. */
class ServerStateTest {
  /**
   * The transition table of {@link ServerState}: the next state by state and trigger. A trigger
   * that has no entry for a state leaves the state unchanged.
   */
  private static final Map<ServerState, Map<Trigger, ServerState>> TRANSITIONS =
      Map.of(
          STARTING,
          Map.of(
              ENDPOINTS_KNOWN, SERVING,
              SHUTDOWN_REQUESTED, DRAINING_UNOPENED,
              HANDOVER_REQUESTED, HANDING_OVER),
          SERVING,
          Map.of(SHUTDOWN_REQUESTED, DRAINING, HANDOVER_REQUESTED, HANDING_OVER),
          DRAINING_UNOPENED,
          Map.of(ENDPOINTS_KNOWN, DRAINING, GRACE_PERIOD_ENDED, CLOSING),
          DRAINING,
          Map.of(GRACE_PERIOD_ENDED, CLOSING),
          HANDING_OVER,
          Map.of(GRACE_PERIOD_ENDED, CLOSING),
          CLOSING,
          Map.of(EMPTIED, STOPPED),
          STOPPED,
          Map.of());

  @ParameterizedTest
  @EnumSource
  void eachTriggerLeadsToTheStateInTheTransitionTable(ServerState state) {
    for (Trigger trigger : Trigger.values()) {
      assertEquals(
          TRANSITIONS.get(state).getOrDefault(trigger, state), state.next(trigger), trigger.name());
    }
  }

  @Test
  void onlyAServingOrDrainingProcessIsReady() {
    assertEquals(EnumSet.of(SERVING, DRAINING), statesThat(ServerState::isReady));
  }

  @Test
  void connectionsThatBecomeIdleAreClosedDuringAHandoverAndAfterTheGracePeriod() {
    assertEquals(
        EnumSet.of(HANDING_OVER, CLOSING, STOPPED),
        statesThat(ServerState::closesConnectionsWhenIdle));
  }

  @Test
  void aShutdownHasBeenRequestedInEachStateExceptStartingAndServing() {
    assertEquals(
        EnumSet.complementOf(EnumSet.of(STARTING, SERVING)),
        statesThat(ServerState::isShutdownRequested));
  }

  private static Set<ServerState> statesThat(Predicate<ServerState> predicate) {
    EnumSet<ServerState> states = EnumSet.noneOf(ServerState.class);
    Stream.of(ServerState.values()).filter(predicate).forEach(states::add);
    return states;
  }
}
