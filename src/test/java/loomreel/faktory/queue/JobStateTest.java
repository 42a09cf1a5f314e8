package loomreel.faktory.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import loomreel.faktory.queue.Job.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The states of a job: their transitions, and their names, which stand in stored records. */
class JobStateTest {
  private static final Set<State> WAITING_ENDS =
      EnumSet.of(State.DEAD, State.EXPIRED, State.CANCELLED);

  /** The table in the Javadoc of {@link State}, by the state before. */
  private static final Map<State, Set<State>> TRANSITIONS =
      Map.of(
          State.SCHEDULED, with(WAITING_ENDS, State.ENQUEUED),
          State.ENQUEUED, with(WAITING_ENDS, State.ACTIVE),
          State.ACTIVE,
              EnumSet.of(State.ENQUEUED, State.RETRY, State.DONE, State.DEAD, State.EXPIRED),
          State.RETRY, with(WAITING_ENDS, State.ENQUEUED),
          State.DONE, Set.of(),
          State.DEAD, Set.of(State.ENQUEUED),
          State.EXPIRED, Set.of(),
          State.CANCELLED, Set.of());

  private static Set<State> with(Set<State> states, State more) {
    Set<State> all = EnumSet.copyOf(states);
    all.add(more);
    return all;
  }

  @ParameterizedTest
  @EnumSource(State.class)
  void onlyTheTransitionsOfTheTableAreAllowed(State from) {
    Set<State> allowed =
        Arrays.stream(State.values()).filter(from::canBecome).collect(Collectors.toSet());

    assertEquals(TRANSITIONS.get(from), allowed);
  }

  @Test
  void doneDeadExpiredAndCancelledAreFinal() {
    Set<State> finals =
        Arrays.stream(State.values()).filter(State::isFinal).collect(Collectors.toSet());

    assertEquals(EnumSet.of(State.DONE, State.DEAD, State.EXPIRED, State.CANCELLED), finals);
  }

  /** Stored records are read back by these names. */
  @Test
  void namesInStoredRecordsStayAsTheyAre() {
    assertEquals(
        Set.of("SCHEDULED", "ENQUEUED", "ACTIVE", "RETRY", "DONE", "DEAD", "EXPIRED", "CANCELLED"),
        Arrays.stream(State.values()).map(State::name).collect(Collectors.toSet()));
  }
}
