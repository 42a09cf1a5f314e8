package loomreel.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The states of a connection and the table of their transitions. */
class FaktoryConnectionStateTest {
  private static Set<FaktoryConnectionState> parse(String names) {
    return Arrays.stream(names.split(" "))
        .map(FaktoryConnectionState::valueOf)
        .collect(Collectors.toCollection(() -> EnumSet.noneOf(FaktoryConnectionState.class)));
  }

  @ParameterizedTest
  @CsvSource({
    "AWAITING_HELLO, READY CLOSING CLOSED",
    "READY, PERSISTING_PUSH IN_BATCH AWAITING_JOB CLOSING CLOSED",
    "PERSISTING_PUSH, READY CLOSED",
    "IN_BATCH, READY CLOSED",
    "AWAITING_JOB, READY CLOSED",
    "CLOSING, CLOSING CLOSED",
    "CLOSED, CLOSED"
  })
  void transitionsAreThoseOfTheTable(FaktoryConnectionState from, String successors) {
    Set<FaktoryConnectionState> allowed = parse(successors);
    for (FaktoryConnectionState next : FaktoryConnectionState.values()) {
      assertEquals(allowed.contains(next), from.canBecome(next), from + " to " + next);
      if (allowed.contains(next)) {
        assertEquals(next, from.become(next));
      } else {
        assertThrows(IllegalStateException.class, () -> from.become(next));
      }
    }
  }

  @ParameterizedTest
  @EnumSource
  void aCommandIsUnderWayInThreeStates(FaktoryConnectionState state) {
    assertEquals(parse("PERSISTING_PUSH IN_BATCH AWAITING_JOB").contains(state), state.isBusy());
  }

  @Test
  void inputIsIgnoredOnceTheConnectionCloses() {
    assertFalse(FaktoryConnectionState.CLOSING.acceptsInput());
    assertFalse(FaktoryConnectionState.CLOSED.acceptsInput());
    assertTrue(FaktoryConnectionState.AWAITING_HELLO.acceptsInput());
    assertTrue(FaktoryConnectionState.AWAITING_JOB.acceptsInput());
  }
}
