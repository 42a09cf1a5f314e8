package loomreel.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.RejectionReason;
import org.junit.jupiter.api.Test;

/**
 * Tests that the external names are those of version 0.2, which are part of trace lines and of the
 * reply to Faktory's TRACK command.
 */
class ExternalNamesTest {
  @Test
  void attemptOutcomesHaveTheirTraceNames() {
    assertEquals(
        List.of(
            "OK",
            "ERROR",
            "INVALID",
            "FULL",
            "TIMEOUT",
            "CONNECT_FAILED",
            "RESET",
            "CANCELLED",
            "MOOT"),
        Arrays.stream(AttemptOutcome.values()).map(ExternalNames::of).toList());
  }

  @Test
  void endpointStatesHaveTheirTraceNames() {
    assertEquals(
        List.of("READY", "DRAINING", "GONE"),
        Arrays.stream(Endpoint.State.values()).map(ExternalNames::of).toList());
  }

  @Test
  void rejectionReasonsHaveTheirTraceNames() {
    assertEquals(
        List.of(
            "CAME_TOO_LATE",
            "OVER_SHARE",
            "NO_WORKER",
            "NO_ROOM_IN_TIME",
            "NOT_STARTED_IN_TIME",
            "NO_OTHER_ATTEMPT",
            "CLIENT_LEAVES"),
        Arrays.stream(RejectionReason.values()).map(ExternalNames::of).toList());
  }

  @Test
  void rejectionReasonTextIsLowerCaseWithSpaces() {
    assertEquals("came too late", ExternalNames.toText(RejectionReason.ARRIVED_TOO_LATE));
    assertEquals("no worker", ExternalNames.toText(RejectionReason.NO_ELIGIBLE_WORKER));
  }
}
