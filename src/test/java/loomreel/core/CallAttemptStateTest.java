package loomreel.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the transition table of {@link CallAttemptState}. */
class CallAttemptStateTest {
  @ParameterizedTest
  // The columns are the state, the next state, and whether the transition is allowed.
  @CsvSource({
    "OPEN,OPEN,false",
    "OPEN,ACCEPTED,true",
    "OPEN,ENDED,true",
    "ACCEPTED,OPEN,false",
    "ACCEPTED,ACCEPTED,false",
    "ACCEPTED,ENDED,true",
    "ENDED,OPEN,false",
    "ENDED,ACCEPTED,false",
    "ENDED,ENDED,false"
  })
  void canBecomeAllowsOnlyTheDocumentedTransitions(
      CallAttemptState state, CallAttemptState next, boolean allowed) {
    assertEquals(allowed, state.canBecome(next));
  }
}
