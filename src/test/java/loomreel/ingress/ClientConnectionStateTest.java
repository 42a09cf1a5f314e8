package loomreel.ingress;

import static loomreel.ingress.ClientConnectionState.CLOSED;
import static loomreel.ingress.ClientConnectionState.HALF_CLOSED;
import static loomreel.ingress.ClientConnectionState.PAUSED;
import static loomreel.ingress.ClientConnectionState.PAUSED_FINAL;
import static loomreel.ingress.ClientConnectionState.PROCESSING;
import static loomreel.ingress.ClientConnectionState.PROCESSING_FINAL;
import static loomreel.ingress.ClientConnectionState.READING;
import static loomreel.ingress.ClientConnectionState.RESPONDING;
import static loomreel.ingress.ClientConnectionState.RESPONDING_ERROR;
import static loomreel.ingress.ClientConnectionState.RESPONDING_FINAL;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import loomreel.ingress.ClientConnectionState.Event;
import org.junit.jupiter.api.Test;

/** Tests each entry of the transition table of {@link ClientConnectionState}. */
class ClientConnectionStateTest {
  private static final Map<ClientConnectionState, Map<Event, ClientConnectionState>> TABLE =
      new EnumMap<>(ClientConnectionState.class);

  static {
    // The arguments are the state, the event and the next state.
    put(READING, Event.REQUEST_RECEIVED, PROCESSING);
    put(READING, Event.FINAL_RESPONSE_STARTED, RESPONDING_FINAL);
    put(READING, Event.OUTPUT_SHUT_DOWN, HALF_CLOSED);
    put(PROCESSING, Event.CLOSE_REQUESTED, PROCESSING_FINAL);
    put(PROCESSING, Event.RESPONSE_STARTED, RESPONDING);
    put(PROCESSING, Event.ERROR_RESPONSE_STARTED, RESPONDING_ERROR);
    put(PROCESSING, Event.FINAL_RESPONSE_STARTED, RESPONDING_FINAL);
    put(PROCESSING_FINAL, Event.CLOSE_REQUESTED, PROCESSING_FINAL);
    put(PROCESSING_FINAL, Event.FINAL_RESPONSE_STARTED, RESPONDING_FINAL);
    put(RESPONDING, Event.RESPONSE_WRITTEN, READING);
    put(RESPONDING, Event.CLOSE_REQUESTED, RESPONDING_FINAL);
    put(RESPONDING_ERROR, Event.RESPONSE_WRITTEN, PAUSED);
    put(RESPONDING_ERROR, Event.CLOSE_REQUESTED, RESPONDING_FINAL);
    put(RESPONDING_FINAL, Event.CLOSE_REQUESTED, RESPONDING_FINAL);
    put(RESPONDING_FINAL, Event.RESPONSE_WRITTEN, HALF_CLOSED);
    put(PAUSED, Event.PAUSE_ENDED, READING);
    put(PAUSED, Event.CLOSE_REQUESTED, PAUSED_FINAL);
    put(PAUSED_FINAL, Event.CLOSE_REQUESTED, PAUSED_FINAL);
    put(PAUSED_FINAL, Event.PAUSE_ENDED, HALF_CLOSED);
    for (ClientConnectionState state : ClientConnectionState.values()) {
      put(state, Event.CLOSED, CLOSED);
    }
  }

  private static void put(ClientConnectionState state, Event event, ClientConnectionState next) {
    TABLE.computeIfAbsent(state, key -> new EnumMap<>(Event.class)).put(event, next);
  }

  @Test
  void eachEventInTheTableLeadsToTheNextState() {
    TABLE.forEach(
        (state, transitions) ->
            transitions.forEach(
                (event, next) -> assertEquals(next, state.on(event), event + " in " + state)));
  }

  @Test
  void eachEventOutsideTheTableIsRejected() {
    for (ClientConnectionState state : ClientConnectionState.values()) {
      for (Event event : EnumSet.complementOf(EnumSet.copyOf(TABLE.get(state).keySet()))) {
        IllegalStateException error =
            assertThrows(
                IllegalStateException.class, () -> state.on(event), event + " in " + state);
        assertEquals(event + " in state " + state, error.getMessage());
      }
    }
  }

  @Test
  void theOutputIsOpenUnlessTheConnectionIsHalfClosedOrClosed() {
    for (ClientConnectionState state : ClientConnectionState.values()) {
      assertEquals(state != HALF_CLOSED && state != CLOSED, state.isOutputOpen(), state.toString());
    }
  }

  @Test
  void aConnectionIsFinalOnlyInTheFinalStates() {
    EnumSet<ClientConnectionState> finalStates =
        EnumSet.of(PROCESSING_FINAL, RESPONDING_FINAL, PAUSED_FINAL);
    for (ClientConnectionState state : ClientConnectionState.values()) {
      assertEquals(finalStates.contains(state), state.isFinal(), state.toString());
    }
  }

  @Test
  void aConnectionIsRespondingOnlyInTheRespondingStates() {
    EnumSet<ClientConnectionState> responding =
        EnumSet.of(RESPONDING, RESPONDING_ERROR, RESPONDING_FINAL);
    for (ClientConnectionState state : ClientConnectionState.values()) {
      assertEquals(responding.contains(state), state.isResponding(), state.toString());
    }
  }
}
