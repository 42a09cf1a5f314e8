package loomreel.process;

import static loomreel.process.ClientDrainState.ACCEPTING;
import static loomreel.process.ClientDrainState.NOTIFYING;
import static loomreel.process.ClientDrainState.REJECTING;
import static loomreel.process.ClientDrainState.Trigger.DRAIN_STARTED;
import static loomreel.process.ClientDrainState.Trigger.DRAIN_STOPPED;
import static loomreel.process.ClientDrainState.Trigger.NOTICE_PERIOD_ENDED;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import loomreel.process.ClientDrainState.Trigger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Verifies the transitions of {@link ClientDrainState} for each state and each trigger. */
class ClientDrainStateTest {
  /**
   * The transition table of {@link ClientDrainState}: the next state by state and trigger. A
   * trigger that has no entry for a state leaves the state unchanged.
   */
  private static final Map<ClientDrainState, Map<Trigger, ClientDrainState>> TRANSITIONS =
      Map.of(
          ACCEPTING, Map.of(DRAIN_STARTED, NOTIFYING),
          NOTIFYING, Map.of(NOTICE_PERIOD_ENDED, REJECTING, DRAIN_STOPPED, ACCEPTING),
          REJECTING, Map.of(DRAIN_STOPPED, ACCEPTING));

  @ParameterizedTest
  @EnumSource
  void eachTriggerLeadsToTheStateInTheTransitionTable(ClientDrainState state) {
    for (Trigger trigger : Trigger.values()) {
      assertEquals(
          TRANSITIONS.get(state).getOrDefault(trigger, state), state.next(trigger), trigger.name());
    }
  }
}
